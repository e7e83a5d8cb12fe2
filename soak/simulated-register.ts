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
/** Time between two writes of others to the store, each of which takes a version, in ms. */
const WRITE_INTERVAL_MS = 50;
const unavailable: StoreError = {failure: 'unavailable', detail: 'no answer'};

/** The store's row that records the leader, and the VMs that the store is failing for. */
export class LeaderRow {
	leader: Leader | undefined;
	/** Rises by one with each `restore`. */
	era = 1;
	/** Injected defect if it is `false`: the era stays the same, so that versions of before and after are compared. */
	risesEra = true;
	claims = 0;
	readonly unreachableFor = new Set<string>();
	readonly losesResponsesFor = new Set<string>();
	readonly slowFor = new Set<string>();
	/** Contents of the row and versions of the store since each change, with the times, in ms. */
	readonly #history: Array<{readonly at: number; readonly leader: Leader | undefined; readonly version: number}> = [];

	/** The record as the store tells it at present. */
	get record(): LeaderRecord {
		return {at: {era: this.era, version: this.leader?.term.version ?? 0}, leader: this.leader};
	}

	/** Goes back to what the store contained at an earlier time; versions are given out again. Times in ms. */
	restore(copiedAt: number, now: number): void {
		const version = this.#versionAt(copiedAt);
		this.leader = this.#history.findLast(entry => entry.at <= copiedAt)?.leader;
		this.era += this.risesEra ? 1 : 0;
		this.#history.push({at: now, leader: this.leader, version});
	}

	/** @returns The version that the next write gets. */
	nextVersion(now: number): number {
		return Math.max(this.#versionAt(now), (this.leader?.term.version ?? 0) + 1);
	}

	write(leader: Leader, now: number): void {
		this.leader = leader;
		this.claims += 1;
		this.#history.push({at: now, leader, version: leader.term.version});
	}

	isUnreachableFor(name: string): boolean {
		return this.unreachableFor.has(name) || this.unreachableFor.has('all') || this.unreachableFor.has('restore');
	}

	/** Newest version of the store, which others write to as well. */
	#versionAt(at: number): number {
		const last = this.#history.findLast(entry => entry.at <= at);
		return (last?.version ?? 0) + Math.floor((at - (last?.at ?? 0)) / WRITE_INTERVAL_MS);
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
		const {row, clock, name, claimsUnconditionally} = this.#options;
		await this.#delayOneWay();
		const isDelivered = !row.isUnreachableFor(name);
		const isClaimed = isDelivered && (row.record.at.version === at.version || claimsUnconditionally);
		const version = claimsUnconditionally ? at.version + 1 : row.nextVersion(clock.now());
		const leader: Leader = {...candidate, term: {era: at.era, version}};
		if (isClaimed) {
			row.write(leader, clock.now());
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
