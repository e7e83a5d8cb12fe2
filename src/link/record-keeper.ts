/**
 * Restores the record of a leader after the store has gone back to an earlier state, in which it names another one or none.
 */
import {type Clock} from '../base/clock.js';
import {isCurrent, type LeaderRecord, type LeaderRegister} from './leader-register.js';
import {type Leader} from './messages.js';

/** Time between two attempts, in ms; each calls the store, and the leader's links hold meanwhile. */
const RETRY_MS = 1000;

/** Dependencies and callbacks of the record keeper. */
export type RecordKeeperOptions = {
	readonly clock: Clock;
	readonly register: LeaderRegister;
	/** This VM, which leads. */
	readonly candidate: () => Omit<Leader, 'term'>;
	/** Whether this VM leads and intends to go on. */
	readonly isNeeded: () => boolean;
	/** The record names this VM again, or another VM that claimed it since the store went back. */
	readonly onCurrent: (record: LeaderRecord) => void;
};

/** Claims the record again for the leader. */
export class RecordKeeper {
	static create(options: RecordKeeperOptions): RecordKeeper {
		return new RecordKeeper(options);
	}

	readonly #options: RecordKeeperOptions;
	#isRestoring = false;

	private constructor(options: RecordKeeperOptions) {
		this.#options = options;
	}

	/** Claims the record, unless it names a leader that was claimed since the store went back. */
	async restore(): Promise<void> {
		if (this.#isRestoring) {
			return;
		}

		this.#isRestoring = true;
		const {clock, isNeeded} = this.#options;
		try {
			while (isNeeded() && !await this.#tryRestore()) { // eslint-disable-line no-await-in-loop -- attempts are sequential
				await clock.sleep(RETRY_MS); // eslint-disable-line no-await-in-loop
			}
		} finally {
			this.#isRestoring = false;
		}
	}

	/** @returns Whether the record is current now. */
	async #tryRestore(): Promise<boolean> {
		const {register, candidate, isNeeded, onCurrent} = this.#options;
		const read = await register.read();
		if (read.isErr || !isNeeded()) {
			return false;
		}

		const restored = isCurrent(read.value) ? read : await register.claim(candidate(), read.value.at);
		if (restored.isErr || !isCurrent(restored.value)) {
			return false;
		}

		onCurrent(restored.value);
		return true;
	}
}
