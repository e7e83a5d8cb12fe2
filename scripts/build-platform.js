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
import {createHash, randomUUID} from 'node:crypto';
import {
	copyFileSync, existsSync, mkdirSync, readdirSync, readFileSync, renameSync, rmSync, statSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

/** Age in ms from which another build, finished or not, is taken for unused and removed. */
const MAX_UNUSED_MS = 3_600_000;
const loaderFiles = ['load-platform.cjs', 'wrap-platform.cjs'];
const unfinished = `target/unfinished-${randomUUID()}`;

/** @returns Name of the folder of the build. */
async function createBuild() {
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
	try {
		renameSync(unfinished, `target/${name}`);
	} catch (error) {
		if (!existsSync(`target/${name}/program.cache`)) {
			throw error;
		}
	}

	return name;
}

function useBuild(name) {
	const entry = `${unfinished}.cjs`;
	writeFileSync(entry, readFileSync('scripts/start-platform.cjs', 'utf8').replace('BUILD_FOLDER', name));
	renameSync(entry, 'target/gateway.cjs');
}

function removeUnusedBuilds(usedName) {
	for (const file of readdirSync('target').filter(name => /^(?:build|unfinished)-/v.test(name) && name !== usedName)) {
		const folder = path.join('target', file);
		const age = Date.now() - (statSync(folder, {throwIfNoEntry: false})?.mtimeMs ?? Date.now());
		if (age > MAX_UNUSED_MS) {
			rmSync(folder, {recursive: true, force: true});
		}
	}
}

mkdirSync(unfinished, {recursive: true});
try {
	const name = await createBuild();
	useBuild(name);
	removeUnusedBuilds(name);
} finally {
	rmSync(unfinished, {recursive: true, force: true});
}
