/**
 * The process of one VM of a `PlatformDeployment`.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {Spans} from '../standins/spans.js';
import {type VmAddresses} from '../test/support/address-layout.js';
import {SourceProgram, type VmProgram} from './vm-program.js';

/** Messages of the program about the leader. */
const LEADING_LINES = ['"link: This VM allocates."', '"link: Recorded again as the allocator."'];
const LINKED_LINE = '"link: Linked to the allocator."';
const UNLINKED_LINE = '"link: Link to the allocator lost."';
const STARTED_LINE = '"gateway: Started."';
const MAX_LOG_LINES = 20_000;
/** Log lines that are part of the description of an unexpected end. */
const LINES_OF_END = 6;
/** Message of the program about a violated promise. */
const VIOLATION = 'A promise was violated.';

/** The process of one VM. */
export class VmProcess {
	readonly name: string;
	readonly settingsPath: string;
	readonly program: VmProgram;
	/** Addresses as in the settings file. */
	addresses: VmAddresses;
	/** Whether a fault changes the settings or the addresses, so that no other one may. */
	isReserved = false;
	/** Called when a process ended without a reason from outside, with its last log lines. */
	onUnexpectedEnd: ((detail: string) => void) | undefined;
	/** When the process was killed or paused. */
	readonly disturbed = new Spans();
	/** When the process was stopped as planned, or was starting. */
	readonly restarting = new Spans();
	child: ChildProcess | undefined;
	/** Most recent lines of its output. */
	readonly log: string[] = [];
	/** Lines that report a violated promise. */
	readonly violationLines: string[] = [];
	/** Number of processes that a SIGHUP terminated while Node.js was starting, before the first line of the program ran. */
	earlyHupCount = 0;
	readonly #endedFromOutside = new WeakSet<ChildProcess>();
	#hasLogged = false;
	#endPause: (() => void) | undefined;

	constructor(name: string, settingsPath: string, addresses: VmAddresses, program: VmProgram = SourceProgram.create()) {
		this.name = name;
		this.settingsPath = settingsPath;
		this.addresses = addresses;
		this.program = program;
	}

	get front(): string {
		return this.addresses.front;
	}

	get ready(): string {
		return this.addresses.ready;
	}

	get directory(): string {
		return this.addresses.directory;
	}

	get metrics(): string {
		return this.addresses.metrics;
	}

	get control(): string {
		return this.addresses.control;
	}

	/** Starts the process unless it is running, as overlapping faults may each restart it. */
	start(): void {
		if (this.isRunning) {
			return;
		}

		const child = spawn(process.execPath, this.program.args, {
			env: {...process.env, REDWINGSPOOL_NODE_FILE: this.settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		this.restarting.begin()();
		this.#hasLogged = false;
		child.once('close', () => {
			this.#checkEnd(child);
		});
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', (text: string) => {
				const lines = text.split('\n').filter(line => line !== '');
				this.log.push(...lines);
				this.violationLines.push(...lines.filter(line => line.includes(VIOLATION)));
				this.log.splice(0, this.log.length - MAX_LOG_LINES);
				this.#hasLogged ||= this.child === child;
			});
		}
	}

	/** Name of the VM that allocates for this one, by the last line of its log about that; `undefined` if it allocates alone. */
	get leader(): string | undefined {
		for (const line of this.log.toReversed()) {
			if (LEADING_LINES.some(message => line.includes(message))) {
				return this.name;
			}

			if (line.includes(LINKED_LINE)) {
				return (JSON.parse(line) as {vm: string}).vm;
			}

			if (line.includes(UNLINKED_LINE) || line.includes(STARTED_LINE)) {
				return undefined;
			}
		}

		return undefined;
	}

	get isPaused(): boolean {
		return this.#endPause !== undefined;
	}

	get isRunning(): boolean {
		return this.child?.exitCode === null && this.child.signalCode === null;
	}

	/** Whether the process exited without a call of `terminate`. */
	get hasExitedUnexpectedly(): boolean {
		return this.child !== undefined && !this.isRunning;
	}

	signal(signal: NodeJS.Signals): void {
		if (signal === 'SIGHUP' && !this.#hasLogged) {
			this.#restartAfterEarlyHup();
		}

		if (signal === 'SIGSTOP') {
			this.#endPause ??= this.disturbed.begin();
		}

		this.child?.kill(signal);
		if (signal === 'SIGCONT') {
			this.#endPause?.();
			this.#endPause = undefined;
		}
	}

	/** Sends the signal and waits until the process has exited and its output is read. */
	async terminate(signal: NodeJS.Signals): Promise<void> {
		const {child} = this;
		if (child !== undefined && this.isRunning) {
			const ended = once(child, 'close');
			this.#endedFromOutside.add(child);
			const endDisturbance = (signal === 'SIGKILL' ? this.disturbed : this.restarting).begin();
			child.kill(signal);
			await ended;
			endDisturbance();
		}

		if (this.child === child) {
			this.child = undefined;
		}
	}

	/** A status other than 0 is a failure even of a process that was asked to stop. */
	#checkEnd(child: ChildProcess): void {
		const {exitCode, signalCode, pid} = child;
		if (!this.#endedFromOutside.has(child) || (exitCode !== null && exitCode !== 0)) {
			this.onUnexpectedEnd?.(`process ${pid} of ${this.name} ended by itself: status ${exitCode}, signal ${signalCode}; ${this.log.slice(-LINES_OF_END).join(' | ')}`);
		}
	}

	/**
	 * Restarts the process if the SIGHUP terminates it, as the platform does. A program cannot handle signals before Node.js
	 * runs its first line, and the default action of SIGHUP terminates the process. With a signal every 20 ms from process
	 * start, those in the first 70 ms (250 ms through tsx, as here) terminated the process; later ones never did.
	 */
	#restartAfterEarlyHup(): void {
		const {child} = this;
		child?.once('exit', (_status, signal) => {
			if (signal === 'SIGHUP' && this.child === child) {
				this.earlyHupCount += 1;
				this.#endedFromOutside.add(child);
				this.start();
			}
		});
	}
}
