/**
 * Claims kept in the platform's table service.
 */
import {randomUUID} from 'node:crypto';
import {type Clock, SystemClock} from '../base/clock.js';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {Invariants, PromiseId} from '../base/invariant.js';
import {MemoryObjectStore} from '../store/memory-table.js';
import {type ObjectStore} from '../store/object-store.js';
import {type Condition, type Row, type Table} from '../store/table.js';
import {BackgroundWrites, defaultBackgroundLimits} from './background-writes.js';
import {ClaimAnswers, type StoredAnswer} from './claim-answers.js';
import {ClaimAttempts} from './claim-attempts.js';
import {
	type ClaimHolder, type ClaimPeers, ClaimStatus, MemoryClaimPeers,
} from './claim-peers.js';
import {ClaimClock} from './claim-clock.js';
import {claimRowKey, type ClaimValue, parseClaim} from './claim-row.js';
import {
	type Claim, type ClaimDecision, type ClaimRequest, Claims, type RecordedAnswer,
} from './claims.js';
import {writeOwn} from './own-write.js';
import {withTimeoutOrUndefined, withStoreTimeout} from './timeout.js';

/** What claims work with; the defaults serve one process on its own. */
export type TableClaimsOptions = {
	readonly clock?: Clock;
	readonly invariants?: Invariants;
	/** Holds the bodies of large answers. */
	readonly objects?: ObjectStore;
	/** Reaches the holders of other claims. */
	readonly peers?: ClaimPeers;
	/** Longest time that a caller waits for its claim, in ms. */
	readonly acquireTimeoutMs?: number;
	/** Longest time that a caller waits for the record of its answer, in ms. */
	readonly completeWaitMs?: number;
	readonly backgroundLimits?: typeof defaultBackgroundLimits;
	/** Makes unguessable tokens. */
	readonly createToken?: () => string;
};

const ACQUIRE_TIMEOUT_MS = 2000;
const COMPLETE_WAIT_MS = 250;
const BACKGROUND_TIMEOUT_MS = 5000;
/** A release or completion without its answer holds about this much memory, in bytes. */
const JOB_BYTES = 500;
/** Rows that one acquisition may find taken, released or taken over before it gives up. */
const MAX_ROUNDS = 4;

/** Claims by conditional writes. */
export class TableClaims extends Claims implements ClaimHolder {
	/**
	 * @param table - The platform's table service.
	 * @param holder - Identity of this process, never used again by another.
	 */
	static create(table: Table, holder: string, options: TableClaimsOptions = {}): TableClaims {
		return new TableClaims(table, holder, options);
	}

	/** Completions that the store has not taken yet. */
	readonly background: BackgroundWrites;
	/** Releases apart, so that the refused requests of a long outage displace no answers. */
	readonly #releases: BackgroundWrites;
	readonly #table: Table;
	readonly #holder: string;
	readonly #clock: Clock;
	readonly #claimClock: ClaimClock;
	readonly #invariants: Invariants;
	readonly #answers: ClaimAnswers;
	readonly #peers: ClaimPeers;
	readonly #attempts: ClaimAttempts;
	readonly #acquireTimeoutMs: number;
	readonly #completeWaitMs: number;
	readonly #createToken: () => string;

	private constructor(table: Table, holder: string, options: TableClaimsOptions) {
		super();
		this.#table = table;
		this.#holder = holder;
		this.#clock = options.clock ?? SystemClock.create();
		this.#claimClock = ClaimClock.create(table, this.#clock);
		this.#invariants = options.invariants ?? Invariants.create({throwOnViolation: false});
		this.#answers = ClaimAnswers.create(this.#clock, options.objects ?? MemoryObjectStore.create());
		this.#peers = options.peers ?? MemoryClaimPeers.create();
		this.#attempts = ClaimAttempts.create(this.#invariants);
		this.#acquireTimeoutMs = options.acquireTimeoutMs ?? ACQUIRE_TIMEOUT_MS;
		this.#completeWaitMs = options.completeWaitMs ?? COMPLETE_WAIT_MS;
		this.#createToken = options.createToken ?? randomUUID;
		const limits = options.backgroundLimits ?? defaultBackgroundLimits;
		this.background = BackgroundWrites.create(this.#clock, limits);
		this.#releases = BackgroundWrites.create(this.#clock, limits);
	}

	/** Attempts that wait or run. */
	get liveCount(): number {
		return this.#attempts.liveCount;
	}

	/** Background writes of both kinds that are left. */
	get pendingCount(): number {
		return this.background.pendingCount + this.#releases.pendingCount;
	}

	/**
	 * Ends the background writes, at a planned stop after all requests have ended.
	 *
	 * @param timeoutMs - Longest time that the store is given to take them.
	 * @returns Whether it took them all.
	 */
	async stop(timeoutMs: number): Promise<boolean> {
		const queues = [this.background, this.#releases];
		const areEmpty = await Promise.all(queues.map(async queue => queue.flush(timeoutMs)));
		for (const queue of queues) {
			queue.stop();
		}

		return !areEmpty.includes(false);
	}

	/** Reads the clock that claims are dated by; without it, the first claim does. */
	async start(): Promise<void> {
		await withTimeoutOrUndefined(this.#clock, this.#claimClock.load(), this.#acquireTimeoutMs);
	}

	async acquire(request: ClaimRequest): Promise<ClaimDecision> {
		const end = this.#clock.now() + this.#acquireTimeoutMs;
		if (this.#claimClock.latestMs === undefined && !await withTimeoutOrUndefined(this.#clock, this.#claimClock.load(), this.#acquireTimeoutMs)) {
			return refuse(request.isFirstAttempt ? ErrorKind.StoreUnavailable : ErrorKind.EarlierAttemptUnknown);
		}

		let condition: Condition = {kind: 'absent'};
		for (let round = 0; round < MAX_ROUNDS; round++) {
			// eslint-disable-next-line no-await-in-loop
			const written = await this.#attempt(request, condition, end);
			if ('kind' in written) {
				return written;
			}

			// eslint-disable-next-line no-await-in-loop
			const next = await this.#decideRepeat(written.row, request);
			if (next.kind !== 'write') {
				return next;
			}

			condition = next.condition;
		}

		return refuse(ErrorKind.InProgress);
	}

	noteCommitted(claim: Claim): boolean {
		return this.#attempts.commit(claim.token);
	}

	async release(claim: Claim): Promise<void> {
		if (this.#attempts.giveUp(claim.token)) {
			this.#deleteRow(claim.rowKey, claim.token);
		}
	}

	abandon(claim: Claim): void {
		if (claim.request.keepsAnswer) {
			this.#attempts.forget(claim.token);
		} else {
			this.#attempts.finish(claim.token);
		}
	}

	async complete(claim: Claim, answer: RecordedAnswer | undefined): Promise<void> {
		if (!claim.request.keepsAnswer) {
			// The claim row of a note already tells that it was dispatched.
			this.#attempts.finish(claim.token);
			return;
		}

		const token = this.#createToken();
		const finished = new AbortController();
		this.background.add({
			bytes: JOB_BYTES + (answer?.body.byteLength ?? 0),
			run: async () => {
				const isDecided = await this.#record(claim, token, answer);
				if (isDecided) {
					this.#attempts.finish(claim.token);
					finished.abort();
				}

				return isDecided;
			},
			onDropped: () => {
				this.#attempts.forget(claim.token);
				finished.abort();
			},
		});
		await this.#clock.sleep(this.#completeWaitMs, finished.signal);
	}

	statusOf(token: string): ClaimStatus {
		return this.#attempts.statusOf(token);
	}

	/** Writes one claim; a row of another attempt is returned as it was read. */
	async #attempt(request: ClaimRequest, condition: Condition, end: number): Promise<ClaimDecision | {readonly row: Row | undefined}> {
		const rowKey = claimRowKey(request);
		const token = this.#createToken();
		this.#attempts.begin(token);
		const value = JSON.stringify(this.#valueOf(request));
		const result = await writeOwn(this.#table, this.#clock, {
			key: rowKey, value, condition, token,
		}, end - this.#clock.now());
		if (result.kind === 'written') {
			this.#attempts.hold(token);
			return {kind: 'granted', claim: {rowKey, token, request}};
		}

		if (result.kind === 'rejected') {
			this.#attempts.giveUp(token);
			return {row: result.row};
		}

		if (this.#attempts.giveUp(token) && result.mayTakeEffect) {
			this.#deleteRow(rowKey, token);
		}

		return refuse(request.isFirstAttempt ? ErrorKind.StoreUnavailable : ErrorKind.EarlierAttemptUnknown);
	}

	/** Deletes the row of an attempt that was given up, in the background. */
	#deleteRow(rowKey: string, token: string): void {
		const write = {
			key: rowKey, value: undefined, condition: {kind: 'token', token}, token: this.#createToken(),
		} as const;
		this.#releases.add({
			bytes: JOB_BYTES,
			run: async () => {
				const result = await withStoreTimeout(this.#clock, this.#table.write(write), BACKGROUND_TIMEOUT_MS);
				return result.isOk;
			},
			onDropped() {
				// The row stays; this node still answers that the attempt was never dispatched.
			},
		});
	}

	async #record(claim: Claim, token: string, answer: RecordedAnswer | undefined): Promise<boolean> {
		const stored = answer && await this.#answers.store(claim.token, answer);
		if (stored === 'failed') {
			return false;
		}

		const value: ClaimValue = {...this.#valueOf(claim.request), state: 'done', answer: stored};
		const result = await withStoreTimeout(this.#clock, this.#table.write({
			key: claim.rowKey, value: JSON.stringify(value), condition: {kind: 'token', token: claim.token}, token,
		}), BACKGROUND_TIMEOUT_MS);
		return result.isOk;
	}

	async #decideRepeat(row: Row | undefined, request: ClaimRequest): Promise<ClaimDecision | {kind: 'write'; condition: Condition}> {
		if (row === undefined) {
			return {kind: 'write', condition: {kind: 'absent'}};
		}

		const value = parseClaim(row.value);
		if (value === undefined) {
			return refuse(ErrorKind.OutcomeUnknown);
		}

		if (value.digest !== request.digest) {
			return refuse(ErrorKind.KeyConflict);
		}

		if (value.state === 'done') {
			return value.answer === undefined ? refuse(ErrorKind.AlreadyDispatched) : this.#replay(value.answer);
		}

		const status = value.holder === this.#holder ? this.statusOf(row.token) : await this.#ask(value.holder, row.token);
		return status === ClaimStatus.Done ? this.#decideDone(row, value) : this.#decideClaimed(row, status);
	}

	async #ask(holder: string, token: string): Promise<ClaimStatus> {
		const status = await withTimeoutOrUndefined(this.#clock, this.#peers.ask(holder, token), this.#acquireTimeoutMs);
		return status ?? ClaimStatus.Unreachable;
	}

	#decideClaimed(row: Row, status: ClaimStatus): ClaimDecision | {kind: 'write'; condition: Condition} {
		if (status !== ClaimStatus.NeverDispatched) {
			return refuse(status === ClaimStatus.Running ? ErrorKind.InProgress : ErrorKind.OutcomeUnknown);
		}

		const isGivenUp = this.#invariants.check(PromiseId.BookingOnce, this.statusOf(row.token) !== ClaimStatus.Running, 'A claim of a live attempt was to be taken over.');
		return isGivenUp ? {kind: 'write', condition: {kind: 'token', token: row.token}} : refuse(ErrorKind.Internal);
	}

	/** Decides after the holder said that the attempt ended; a booking's row then holds its answer. */
	async #decideDone(row: Row, value: ClaimValue): Promise<ClaimDecision> {
		if (!value.keepsAnswer) {
			return refuse(ErrorKind.AlreadyDispatched);
		}

		const read = await withStoreTimeout(this.#clock, this.#table.get(row.key), this.#acquireTimeoutMs);
		if (read.isErr) {
			return refuse(ErrorKind.EarlierAttemptUnknown);
		}

		const answer = read.value && parseClaim(read.value.value)?.answer;
		return answer === undefined ? refuse(ErrorKind.OutcomeUnknown) : this.#replay(answer);
	}

	async #replay(stored: StoredAnswer): Promise<ClaimDecision> {
		const answer = await this.#answers.load(stored, this.#acquireTimeoutMs);
		switch (answer) {
			case 'failed': {
				return refuse(ErrorKind.EarlierAttemptUnknown);
			}

			case 'missing': {
				return refuse(ErrorKind.OutcomeUnknown);
			}

			default: {
				return {kind: 'replay', answer};
			}
		}
	}

	#valueOf(request: ClaimRequest): ClaimValue {
		return {
			state: 'claimed', holder: this.#holder, digest: request.digest, keepsAnswer: request.keepsAnswer, claimedAt: this.#claimClock.latestMs!,
		};
	}
}

function refuse(kind: ErrorKind): {readonly kind: 'refused'; readonly err: SchedulerError} {
	return {kind: 'refused', err: SchedulerError.create(kind)};
}
