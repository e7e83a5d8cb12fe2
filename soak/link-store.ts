/**
 * The store's row of a modelled deployment, with its delays, outages and lost answers.
 */
import Result, {ok} from 'true-myth/result';
import {type Random} from '../src/base/random.js';
import {LeaderRegister} from '../src/link/leader-register.js';
import {type Leader} from '../src/link/messages.js';
import {type StoreError} from '../src/store/table.js';
import {type ProcessClock} from './process-clock.js';

/** A call to the store, in ms. */
const STORE_MS = {min: 5, max: 60} as const;
/** The same while the store is slow for a VM; a call is given up after 1,000. */
const SLOW_STORE_MS = {min: 200, max: 990} as const;
const away: StoreError = {failure: 'unavailable', detail: 'no answer'};

/** The store's row, and for whom it answers. */
export class LinkRow {
	leader: Leader | undefined;
	claims = 0;
	readonly awayFor = new Set<string>();
	readonly losesFor = new Set<string>();
	readonly slowFor = new Set<string>();

	isAwayFor(name: string): boolean {
		return this.awayFor.has(name) || this.awayFor.has('all');
	}
}

/** What a process works with. */
export type ModelRegisterOptions = {
	readonly row: LinkRow;
	readonly random: Random;
	readonly clock: ProcessClock;
	/** Name of the VM. */
	readonly name: string;
	/** Claims take effect whatever the row says, for a deliberate break. */
	readonly ignoresTerms: boolean;
};

/** The register as one process has it. */
export class ModelRegister extends LeaderRegister {
	static create(options: ModelRegisterOptions): ModelRegister {
		return new ModelRegister(options);
	}

	readonly #options: ModelRegisterOptions;

	private constructor(options: ModelRegisterOptions) {
		super();
		this.#options = options;
	}

	async read(): Promise<Result<Leader | undefined, StoreError>> {
		await this.#way();
		return this.#isAnswered ? ok(this.#options.row.leader) : Result.err(away);
	}

	/** As the platform's adapter: after a lost answer, the row is read. */
	async claim(candidate: Omit<Leader, 'term'>, term: number): Promise<Result<Leader, StoreError>> {
		const {row, name, ignoresTerms} = this.#options;
		await this.#way();
		const isReached = !row.isAwayFor(name);
		const isFirst = (row.leader?.term ?? 0) === term || ignoresTerms;
		if (isReached && isFirst) {
			row.leader = {...candidate, term: term + 1};
			row.claims += 1;
		}

		await this.#way();
		if (isReached && isFirst && this.#isAnswered) {
			return ok({...candidate, term: term + 1});
		}

		const read = await this.read();
		return read.andThen(leader => leader === undefined ? Result.err<Leader, StoreError>(away) : ok(leader));
	}

	get #isAnswered(): boolean {
		const {row, name} = this.#options;
		return !row.isAwayFor(name) && !row.losesFor.has(name);
	}

	async #way(): Promise<void> {
		const {row, random, clock, name} = this.#options;
		const {min, max} = row.slowFor.has(name) ? SLOW_STORE_MS : STORE_MS;
		await clock.sleep((min + (random.next() * (max - min))) / 2);
	}
}
