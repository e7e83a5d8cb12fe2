import {execFileSync, spawn} from 'node:child_process';
import {constants} from 'node:fs';
import {
	cp, mkdtemp, open, readdir, readFile, rename, rm, stat, symlink, writeFile,
} from 'node:fs/promises';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {eventually} from '../support/eventually.js';

/** Part of a message of the program that one build in these tests replaces. */
const MESSAGE = 'platform: ${problems}'; // eslint-disable-line no-template-curly-in-string -- source text
const SIGNAL_MS = 100;

describe('build of the platform program', function () {
	this.timeout(60_000);
	let folder: string;

	beforeEach(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'redwingspool-build-'));
		await Promise.all(['platform', 'src', 'scripts', 'deploy', 'package.json', 'tsconfig.json'].map(async name => cp(name, path.join(folder, name), {recursive: true})));
		await symlink(path.resolve('node_modules'), path.join(folder, 'node_modules'));
	});

	afterEach(async () => {
		await rm(folder, {recursive: true});
	});

	function build(): void {
		execFileSync(process.execPath, ['scripts/build-platform.js'], {cwd: folder});
	}

	async function run(entry: string): Promise<string> {
		const child = spawn(process.execPath, [entry], {cwd: folder, env: {}, stdio: ['ignore', 'ignore', 'pipe']});
		let text = '';
		child.stderr.on('data', (chunk: Uint8Array) => {
			text += new TextDecoder().decode(chunk);
		});
		await once(child, 'close');
		return text;
	}

	// Guards against a process that runs parts of two builds, or a half-written file, when a build runs beside its start (report FAULT).
	it('leaves a process that is starting all files of its own build', async () => {
		build();
		const entry = path.join(folder, 'target/gateway.cjs');
		const first = {text: await readFile(entry, 'utf8'), ...await stat(entry)};
		const program = path.join(folder, 'platform/program.ts');
		const source = await readFile(program, 'utf8');
		expect(source).to.include(MESSAGE);
		await writeFile(program, source.replace(MESSAGE, `second ${MESSAGE}`));
		build();
		// A file that is written in place can be read half written.
		const second = await stat(entry);
		expect(second.ino).to.not.equal(first.ino);
		await writeFile(path.join(folder, 'target/first.cjs'), first.text);
		expect(await run('target/first.cjs')).to.match(/^platform: /v);
		expect(await run('target/gateway.cjs')).to.match(/^second platform: /v);
	});

	// Guards against a SIGHUP that ends a process while its program is read and compiled (report FAULT).
	it('takes a SIGHUP before the program is loaded', async () => {
		build();
		const files = await readdir(path.join(folder, 'target'), {recursive: true});
		const program = path.join(folder, 'target', files.find(file => path.basename(file) === 'program.cjs')!);
		const text = await readFile(program);
		await rename(program, `${program}.read`);
		execFileSync('mkfifo', [program]);
		const child = spawn(process.execPath, ['target/gateway.cjs'], {cwd: folder, env: {}, stdio: 'ignore'});
		const ended = once(child, 'close');
		// The pipe can be opened for writing as soon as the process reads its program.
		let pipe: Awaited<ReturnType<typeof open>> | undefined;
		await eventually(async () => {
			try {
				pipe = await open(program, constants.O_WRONLY | constants.O_NONBLOCK); // eslint-disable-line no-bitwise -- flags of the system
				return true;
			} catch {
				return false;
			}
		});
		child.kill('SIGHUP');
		await sleep(SIGNAL_MS);
		const isEnded = child.signalCode !== null;
		if (!isEnded) {
			await writeFile(program, text);
		}

		await pipe!.close();
		await ended;
		expect(child.signalCode).to.equal(null);
	});
});
