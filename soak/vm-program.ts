/**
 * The program that the VM processes run: its sources, or the bundle as it is deployed.
 */
import {execFile} from 'node:child_process';
import {
	cp, mkdtemp, readFile, rm, symlink, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';

const ENTRY_SOURCE = 'platform/main.ts';
const linkedNames = ['src', 'scripts', 'deploy', 'node_modules', 'package.json', 'tsconfig.json'];

/** What a VM process runs. */
export abstract class VmProgram {
	/** Arguments for Node.js. */
	abstract readonly args: readonly string[];
	/** Whether its memory is that of the deployed program. */
	abstract get isDeployed(): boolean;

	/** Builds another version while processes may start. */
	abstract rebuild(): Promise<void>;
	abstract remove(): Promise<void>;
}

/** The sources, compiled while they load. */
export class SourceProgram extends VmProgram {
	static create(): SourceProgram {
		return new SourceProgram();
	}

	readonly args = ['--import', 'tsx', ENTRY_SOURCE];

	get isDeployed(): boolean {
		return false;
	}

	async rebuild(): Promise<void> {
		// Nothing is built.
	}

	async remove(): Promise<void> {
		// Nothing was written.
	}
}

/** The bundle in a folder of its own, with the flags of `deploy/system.toml`. */
export class BundleProgram extends VmProgram {
	static async create(): Promise<BundleProgram> {
		const folder = await mkdtemp(path.join(tmpdir(), 'redwingspool-build-'));
		await cp('platform', path.join(folder, 'platform'), {recursive: true});
		await Promise.all(linkedNames.map(async name => symlink(path.resolve(name), path.join(folder, name))));
		const [, flags] = /^run = "node (.*) target\/gateway\.cjs"$/mv.exec(await readFile('deploy/system.toml', 'utf8'))!;
		const program = new BundleProgram(folder, [...flags!.split(' '), path.join(folder, 'target/gateway.cjs')], await readFile(ENTRY_SOURCE, 'utf8'));
		await program.rebuild();
		return program;
	}

	readonly args: readonly string[];
	readonly #folder: string;
	readonly #entryText: string;
	#buildCount = 0;
	#lastBuild: Promise<unknown> = Promise.resolve();

	private constructor(folder: string, arguments_: readonly string[], entryText: string) {
		super();
		this.#folder = folder;
		this.args = arguments_;
		this.#entryText = entryText;
	}

	get isDeployed(): boolean {
		return true;
	}

	async rebuild(): Promise<void> {
		this.#lastBuild = this.#buildNext(this.#lastBuild);
		await this.#lastBuild;
	}

	async remove(): Promise<void> {
		await rm(this.#folder, {recursive: true, force: true});
	}

	async #buildNext(lastBuild: Promise<unknown>): Promise<void> {
		await lastBuild;
		this.#buildCount += 1;
		// Every other version has another order of its parts.
		const statement = `Object.assign(globalThis, {build: ${this.#buildCount}});\n`;
		const text = this.#buildCount % 2 === 0 ? `${this.#entryText}${statement}` : this.#entryText.replace('\nasync function', `\n${statement}\nasync function`);
		await writeFile(path.join(this.#folder, ENTRY_SOURCE), text);
		await promisify(execFile)(process.execPath, [path.resolve('scripts/build-platform.js')], {cwd: this.#folder});
	}
}
