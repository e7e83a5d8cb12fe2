/**
 * Builds `dist/redwingspool`, a single executable application that contains the program and the Node.js runtime.
 */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {readFile} from 'node:fs/promises';
import {build} from 'esbuild';
import {inject} from 'postject';

const bundlePath = 'dist/redwingspool.cjs';
const blobPath = 'dist/sea.blob';
const seaConfigPath = 'dist/sea.json';
const binaryPath = 'dist/redwingspool';
/** Sentinel fuse: the marker in the Node.js executable that makes it run the injected program. */
const seaFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/** Optional packages that Nest loads only if the application uses them. */
const optionalPackages = [
	'@nestjs/microservices',
	'@nestjs/websockets',
	'@nestjs/platform-express',
	'class-transformer',
	'class-validator',
	'@fastify/static',
	'@fastify/view',
	'@fastify/multipart',
];

mkdirSync('dist', {recursive: true});
await build({
	entryPoints: ['src/main.ts'],
	outfile: bundlePath,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	external: optionalPackages,
	// CommonJS has no `import.meta.url`, which some packages use to locate their own files.
	define: {'import.meta.url': 'importMetaUrl'},
	banner: {js: 'const importMetaUrl = require("node:url").pathToFileURL(__filename).href;'},
	logLevel: 'warning',
});
writeFileSync(seaConfigPath, JSON.stringify({
	main: bundlePath, output: blobPath, disableExperimentalSEAWarning: true,
}));
execFileSync(process.execPath, ['--experimental-sea-config', seaConfigPath], {stdio: ['ignore', 'ignore', 'inherit']});
rmSync(binaryPath, {force: true});
copyFileSync(process.execPath, binaryPath);
chmodSync(binaryPath, 0o755);
await inject(binaryPath, 'NODE_SEA_BLOB', await readFile(blobPath), {sentinelFuse: seaFuse});
console.log(`built ${binaryPath}`);
