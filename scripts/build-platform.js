/**
 * Builds the gateway for the platform that `deploy/system.toml` is written for and `platform/` adapts to:
 * `target/program.cjs` (minified bundle), `target/program.cache` (V8 code cache) and `target/gateway.cjs`, which runs the
 * bundle with the cache. The cache shortens the start on a small VM, which callers wait for after a restart.
 */
import {execFileSync} from 'node:child_process';
import {copyFileSync, mkdirSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

mkdirSync('target', {recursive: true});
await build({
	entryPoints: ['platform/main.ts'],
	outfile: 'target/program.cjs',
	bundle: true,
	minify: true,
	keepNames: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	logLevel: 'warning',
});
const [, flags] = /^run = "node (.*) target\/gateway\.cjs"$/mv.exec(readFileSync('deploy/system.toml', 'utf8'));
execFileSync(process.execPath, [...flags.split(' '), 'scripts/compile-platform.cjs']);
copyFileSync('scripts/wrap-platform.cjs', 'target/wrap-platform.cjs');
copyFileSync('scripts/load-platform.cjs', 'target/gateway.cjs');
