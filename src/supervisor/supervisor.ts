/**
 * Starts parts in order, restarts a failed part without affecting the others, and stops the parts in reverse order.
 */
import {runInBackground} from '../base/background.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log, LogPrefix} from '../base/log.js';
import {Part} from './part.js';

const FIRST_RESTART_DELAY_MS = 100;
const MAX_RESTART_DELAY_MS = 10_000;
/** A part that ran longer than this before it failed is restarted after the first delay again. */
const STABLE_AFTER_MS = 60_000;

type Child = {
	readonly part: Part;
	restarts: number;
	startedAt: number;
	timer?: Timer;
	isRestarting: boolean;
};

/** Options of a supervisor. */
export type SupervisorOptions = {
	readonly name: string;
	readonly parts: readonly Part[];
	readonly clock: Clock;
	readonly log: Log;
};

/** A node of the supervisor tree. It is itself a part, so that supervisors can be nested. */
export class Supervisor extends Part {
	static create(options: SupervisorOptions): Supervisor {
		return new Supervisor(options);
	}

	readonly name: string;
	readonly #children: Child[];
	readonly #clock: Clock;
	readonly #log: Log;
	/** Failed parts are not restarted any more. */
	#isStopping = false;
	#isStopped = false;

	private constructor(options: SupervisorOptions) {
		super();
		this.name = options.name;
		this.#clock = options.clock;
		this.#log = options.log.part(LogPrefix.Supervisor);
		this.#children = options.parts.map(part => ({
			part, restarts: 0, startedAt: 0, isRestarting: false,
		}));
	}

	/** Number of consecutive restarts by part name; reset when a part fails after running stably. */
	get restarts(): ReadonlyMap<string, number> {
		return new Map(this.#children.map(child => [child.part.name, child.restarts]));
	}

	/** Starts all parts. Rejects if the first start of a part fails; later failures are handled by the supervisor. */
	async start(): Promise<void> {
		for (const child of this.#children) {
			// eslint-disable-next-line no-await-in-loop -- parts depend on the preceding ones
			await this.#startChild(child);
		}
	}

	/** Starts and supervises another part. Rejects if the first start of the part fails. */
	async add(part: Part): Promise<void> {
		const child: Child = {
			part, restarts: 0, startedAt: 0, isRestarting: false,
		};
		this.#children.push(child);
		await this.#startChild(child);
	}

	override async drain(): Promise<void> {
		this.#isStopping = true;
		await Promise.all(this.#children.map(async child => child.part.drain()));
	}

	async stop(): Promise<void> {
		this.#isStopping = true;
		this.#isStopped = true;
		for (const child of this.#children.toReversed()) {
			child.timer?.cancel();
			// eslint-disable-next-line no-await-in-loop -- parts stop in reverse order
			await child.part.stop();
		}
	}

	async #startChild(child: Child): Promise<void> {
		child.startedAt = this.#clock.now();
		await child.part.start(err => {
			this.#scheduleRestart(child, err);
		});
	}

	#scheduleRestart(child: Child, err: Error): void {
		if (this.#isStopping || child.isRestarting) {
			return;
		}

		child.isRestarting = true;
		if (this.#clock.now() - child.startedAt > STABLE_AFTER_MS) {
			child.restarts = 0;
		}

		const delay = Math.min(MAX_RESTART_DELAY_MS, FIRST_RESTART_DELAY_MS * (2 ** child.restarts));
		child.restarts += 1;
		this.#log.error('Part failed and will be restarted.', {part: child.part.name, err: err.message, delayMs: delay});
		child.timer = this.#clock.setTimer(delay, () => {
			runInBackground(this.#log, 'restart of a part', async () => this.#restart(child));
		});
	}

	async #restart(child: Child): Promise<void> {
		try {
			await child.part.stop();
			if (this.#isStopped) {
				return;
			}

			await this.#startChild(child);
			if (this.#isStopped) {
				await child.part.stop();
				return;
			}

			child.isRestarting = false;
			this.#log.info('Part was restarted.', {part: child.part.name, restarts: child.restarts});
		} catch (error) {
			child.isRestarting = false;
			this.#scheduleRestart(child, error as Error);
		}
	}
}
