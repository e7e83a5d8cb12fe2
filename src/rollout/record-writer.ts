/**
 * Writes the state of one pool's roll-out for the leader, until the store has it or another leader's is found there.
 */
import {runInBackground} from '../base/background.js';
import {type Clock} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {isLater, type StoreVersion} from '../link/store-version.js';
import {type PoolRows, type RolloutRegister, type RowVersions} from './rollout-register.js';
import {isFinal, type RolloutRecord, type StoredRollout} from './rollout-record.js';

/** Time between attempts after a failed call, in ms; each attempt calls the store. */
const RETRY_MS = 1000;

/** Dependencies and callbacks of a writer. */
export type RecordWriterOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly register: RolloutRegister;
	readonly pool: string;
	/** Term under which this VM leads; `undefined` if it does not lead. */
	readonly term: () => StoreVersion | undefined;
	/** Receives the rows as read. */
	readonly onRows: (rows: PoolRows) => void;
};

/** Writes the rows of one pool. */
export class RecordWriter {
	static create(options: RecordWriterOptions): RecordWriter {
		return new RecordWriter(options);
	}

	readonly #options: RecordWriterOptions;
	/** Versions of the rows; `undefined` if they must be read. */
	#at: RowVersions | undefined;
	#written: RolloutRecord | undefined;
	#writtenAt = Number.NEGATIVE_INFINITY;
	#isBusy = false;
	#retryAt = Number.NEGATIVE_INFINITY;

	private constructor(options: RecordWriterOptions) {
		this.#options = options;
	}

	/** Whether the rows have been read, so that what another leader wrote is known. */
	get hasRead(): boolean {
		return this.#at !== undefined;
	}

	/** When the store last took the state, in ms. */
	get writtenAt(): number {
		return this.#writtenAt;
	}

	/** @returns Whether the store has the record's order and phase. */
	isWritten(record: RolloutRecord): boolean {
		return this.#written !== undefined && isSameState(this.#written, record);
	}

	/** @returns Whether the store has a state of the record's roll-out. */
	hasRollout(record: RolloutRecord): boolean {
		const written = this.#written;
		return written !== undefined && (isSameOrder(written, record) || (written.to === record.to && !isFinal(written.phase)));
	}

	/** Reads the rows again before the next write, as the store has gone back or another leader may have written. */
	reset(): void {
		this.#at = undefined;
		this.#written = undefined;
		this.#retryAt = Number.NEGATIVE_INFINITY;
	}

	/** Reads the rows if they are not known; otherwise writes the state, if there is one. */
	step(stored: StoredRollout | undefined): void {
		const {clock, log} = this.#options;
		if (!this.#isBusy && clock.now() >= this.#retryAt && (this.#at === undefined || stored !== undefined)) {
			this.#isBusy = true;
			runInBackground(log, 'writing the state of a roll-out', async () => this.#run(stored));
		}
	}

	async #run(stored: StoredRollout | undefined): Promise<void> {
		try {
			await (this.#at === undefined || stored === undefined ? this.#read() : this.#write(stored, this.#at));
		} finally {
			this.#isBusy = false;
		}
	}

	async #read(): Promise<void> {
		const {register, pool, log, term, onRows} = this.#options;
		const read = await register.read(pool);
		const present = term();
		if (read.isErr) {
			this.#delay();
			log.warn('Rows of a roll-out not read; trying again.', {pool, err: read.error.detail});
			return;
		}

		const {at, stored, leader} = read.value;
		if (present !== undefined && (at.era !== present.era || leader !== present.version)) {
			// Another VM leads, or this one has to claim its record again first.
			this.#delay();
			return;
		}

		this.#at = at;
		this.#written = stored;
		onRows(read.value);
	}

	async #write(stored: StoredRollout, at: RowVersions): Promise<void> {
		const {register, pool, log, term, clock} = this.#options;
		const present = term();
		if (present === undefined) {
			return;
		}

		const written = await register.write(stored, at, present);
		if (written.isOk && written.value !== undefined) {
			if (this.#at === at) {
				this.#at = written.value;
				this.#written = stored;
				this.#writtenAt = clock.now();
			}

			return;
		}

		if (written.isOk) {
			this.reset();
		}

		this.#delay();
		log.warn('State of a roll-out not written; trying again.', {pool, phase: stored.phase, err: written.isErr ? written.error.detail : 'rows or leader changed'});
	}

	#delay(): void {
		this.#retryAt = this.#options.clock.now() + RETRY_MS;
	}
}

function isSameState(one: RolloutRecord, other: RolloutRecord): boolean {
	return one.phase === other.phase && isSameOrder(one, other);
}

function isSameOrder(one: RolloutRecord, other: RolloutRecord): boolean {
	return !isLater(one.orderedAt, other.orderedAt) && !isLater(other.orderedAt, one.orderedAt);
}
