/**
 * Builds the gateway for the platform that `deploy/system.toml` is written for and `platform/` adapts to. Each build has a
 * folder of its own, `target/build-HASH`: `program.cjs` (minified bundle), `program.cache` (V8 code cache) and
 * `load-platform.cjs`, which runs the bundle with the cache. The cache shortens the start on a small VM, which callers wait
 * for after a restart.
 *
 * `target/gateway.cjs` names the folder and is replaced in one step, so that a process that starts during a build has all
 * files of one build. V8 would accept the cache of another program of the same length.
 */
import {execFileSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {
	copyFileSync, existsSync, mkdirSync, readdirSync, readFileSync, renameSync, rmSync, statSync, utimesSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

/** Number of builds that are kept: the one in use, and those that starting processes may still read. */
const KEPT_BUILDS = 3;
const loaderFiles = ['load-platform.cjs', 'wrap-platform.cjs'];

mkdirSync('target', {recursive: true});
const unfinished = `target/unfinished-${process.pid}`;
mkdirSync(unfinished);
await build({
	entryPoints: ['platform/main.ts'],
	outfile: `${unfinished}/program.cjs`,
	bundle: true,
	minify: true,
	keepNames: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	logLevel: 'warning',
});
for (const file of loaderFiles) {
	copyFileSync(`scripts/${file}`, `${unfinished}/${file}`);
}

const [, flags] = /^run = "node (.*) target\/gateway\.cjs"$/mv.exec(readFileSync('deploy/system.toml', 'utf8'));
execFileSync(process.execPath, [...flags.split(' '), 'scripts/compile-platform.cjs', unfinished]);

const hash = createHash('sha256').update(process.version + process.arch + flags);
for (const file of ['program.cjs', ...loaderFiles]) {
	hash.update(readFileSync(`${unfinished}/${file}`));
}

const name = `build-${hash.digest('hex').slice(0, 16)}`;
if (existsSync(`target/${name}`)) {
	rmSync(unfinished, {recursive: true});
	utimesSync(`target/${name}`, new Date(), new Date());
} else {
	renameSync(unfinished, `target/${name}`);
}

const entry = `target/gateway.cjs.${process.pid}`;
writeFileSync(entry, readFileSync('scripts/start-platform.cjs', 'utf8').replace('BUILD_FOLDER', name));
renameSync(entry, 'target/gateway.cjs');

const builds = readdirSync('target').filter(file => file.startsWith('build-')).map(file => path.join('target', file));
builds.sort((a, b) => statSync(b).mtimeMs - statSync(a).mtimeMs);
for (const old of builds.slice(KEPT_BUILDS)) {
	rmSync(old, {recursive: true, force: true});
}
