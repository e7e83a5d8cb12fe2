/**
 * Simulated register of the leader, with latency, outages and lost responses of the store.
 */
import Result, {ok} from 'true-myth/result';
import {type Random} from '../src/base/random.js';
import {type LeaderRecord, LeaderRegister} from '../src/link/leader-register.js';
import {type Leader} from '../src/link/messages.js';
import {type StoreVersion} from '../src/link/store-version.js';
import {type StoreError} from '../src/store/table.js';
import {type ProcessClock} from './process-clock.js';

/** Duration of a call to the store, in ms. */
const CALL_DURATION_MS = {min: 5, max: 60} as const;
/** The same while the store is slow for a VM, in ms; calls time out after 1,000. */
const SLOW_CALL_DURATION_MS = {min: 200, max: 990} as const;
const unavailable: StoreError = {failure: 'unavailable', detail: 'no answer'};

/** The store's row that records the leader, and the VMs that the store is failing for. */
export class LeaderRow {
	leader: Leader | undefined;
	/** Rises by one with each `restore`. */
	era = 1;
	claims = 0;
	readonly unreachableFor = new Set<string>();
	readonly losesResponsesFor = new Set<string>();
	readonly slowFor = new Set<string>();

	/** The record as the store tells it at present. */
	get record(): LeaderRecord {
		return {at: {era: this.era, version: this.leader?.term.version ?? 0}, leader: this.leader};
	}

	/** Goes back to an earlier record; versions are given out again. */
	restore(leader: Leader | undefined): void {
		this.leader = leader;
		this.era += 1;
	}

	isUnreachableFor(name: string): boolean {
		return this.unreachableFor.has(name) || this.unreachableFor.has('all');
	}
}

/** Dependencies of the register of one process. */
export type SimulatedRegisterOptions = {
	readonly row: LeaderRow;
	readonly random: Random;
	readonly clock: ProcessClock;
	/** Name of the VM. */
	readonly name: string;
	/** Injected defect: claims are written without checking the term of the row. */
	readonly claimsUnconditionally: boolean;
};

/** The register as one process accesses it. */
export class SimulatedRegister extends LeaderRegister {
	static create(options: SimulatedRegisterOptions): SimulatedRegister {
		return new SimulatedRegister(options);
	}

	readonly #options: SimulatedRegisterOptions;

	private constructor(options: SimulatedRegisterOptions) {
		super();
		this.#options = options;
	}

	/** The response tells the state of the store at the time of its sending. */
	async read(): Promise<Result<LeaderRecord, StoreError>> {
		await this.#delayOneWay();
		return this.#deliversResponse ? ok(this.#options.row.record) : Result.err(unavailable);
	}

	/** Reads the row after a lost response or one of another era, as the platform's adapter does. */
	async claim(candidate: Omit<Leader, 'term'>, at: StoreVersion): Promise<Result<LeaderRecord, StoreError>> {
		const {row, name, claimsUnconditionally} = this.#options;
		await this.#delayOneWay();
		const isDelivered = !row.isUnreachableFor(name);
		const isClaimed = isDelivered && (row.record.at.version === at.version || claimsUnconditionally);
		const leader: Leader = {...candidate, term: {era: at.era, version: at.version + 1}};
		if (isClaimed) {
			row.leader = leader;
			row.claims += 1;
		}

		await this.#delayOneWay();
		return isClaimed && this.#deliversResponse && row.era === at.era ? ok({at: leader.term, leader}) : this.read();
	}

	get #deliversResponse(): boolean {
		const {row, name} = this.#options;
		return !row.isUnreachableFor(name) && !row.losesResponsesFor.has(name);
	}

	async #delayOneWay(): Promise<void> {
		const {row, random, clock, name} = this.#options;
		const {min, max} = row.slowFor.has(name) ? SLOW_CALL_DURATION_MS : CALL_DURATION_MS;
		await clock.sleep((min + (random.next() * (max - min))) / 2);
	}
}
