/**
 * Claims stored in the platform's table service.
 */
import {randomUUID} from 'node:crypto';
import {type FailureLog} from '../base/background.js';
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
import {writeIdempotently} from './idempotent-write.js';
import {withStoreTimeout, withTimeoutOrUndefined} from './timeout.js';

/** Options of `TableClaims`; the defaults are for a single process. */
export type TableClaimsOptions = {
	readonly clock?: Clock;
	/** Receives failures of background writes; the console by default. */
	readonly log?: FailureLog;
	readonly invariants?: Invariants;
	/** Stores the bodies of large answers. */
	readonly objects?: ObjectStore;
	/** Queries the holders of other claims. */
	readonly peers?: ClaimPeers;
	/** Maximum time that a caller waits for its claim, in ms. */
	readonly acquireTimeoutMs?: number;
	/** Maximum time that a caller waits until its answer is recorded, in ms. */
	readonly completeWaitMs?: number;
	readonly backgroundLimits?: typeof defaultBackgroundLimits;
	/** Generates unguessable tokens. */
	readonly createToken?: () => string;
};

const ACQUIRE_TIMEOUT_MS = 2000;
const COMPLETE_WAIT_MS = 250;
const BACKGROUND_WRITE_TIMEOUT_MS = 5000;
/** Approximate memory of a queued release or completion, excluding the answer, in bytes. */
const JOB_OVERHEAD_BYTES = 500;
/** Maximum claim writes per acquisition; each may find the row taken, released or taken over in the meantime. */
const MAX_ACQUIRE_ROUNDS = 4;

/** Acquires claims by conditional writes. */
export class TableClaims extends Claims implements ClaimHolder {
	/**
	 * @param table - The platform's table service.
	 * @param holder - Identity of this process, never reused by another.
	 */
	static create(table: Table, holder: string, options: TableClaimsOptions = {}): TableClaims {
		return new TableClaims(table, holder, options);
	}

	/** Completions that the store has not accepted yet. */
	readonly background: BackgroundWrites;
	/** Releases have their own queue, so that requests refused during a long outage displace no answers. */
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
		const log = options.log ?? console;
		this.background = BackgroundWrites.create(this.#clock, log, limits);
		this.#releases = BackgroundWrites.create(this.#clock, log, limits);
	}

	/** Number of attempts that are waiting or running. */
	get liveCount(): number {
		return this.#attempts.liveCount;
	}

	/** Number of pending background writes, completions and releases. */
	get pendingCount(): number {
		return this.background.pendingCount + this.#releases.pendingCount;
	}

	/**
	 * Flushes and stops the background writes. Called on a planned stop, after all requests have ended.
	 *
	 * @param timeoutMs - Maximum time to wait for the store to accept them.
	 * @returns Whether the store accepted all of them.
	 */
	async stop(timeoutMs: number): Promise<boolean> {
		const queues = [this.background, this.#releases];
		const flushResults = await Promise.all(queues.map(async queue => queue.flush(timeoutMs)));
		for (const queue of queues) {
			queue.stop();
		}

		return !flushResults.includes(false);
	}

	/** Reads the claim clock in advance; otherwise the first acquisition reads it. */
	async start(): Promise<void> {
		await withTimeoutOrUndefined(this.#clock, this.#claimClock.load(), this.#acquireTimeoutMs);
	}

	async acquire(request: ClaimRequest): Promise<ClaimDecision> {
		const deadline = this.#clock.now() + this.#acquireTimeoutMs;
		if (this.#claimClock.latestMs === undefined && !await withTimeoutOrUndefined(this.#clock, this.#claimClock.load(), this.#acquireTimeoutMs)) {
			return refuse(request.isFirstAttempt ? ErrorKind.StoreUnavailable : ErrorKind.EarlierAttemptUnknown);
		}

		let condition: Condition = {kind: 'absent'};
		for (let round = 0; round < MAX_ACQUIRE_ROUNDS; round++) {
			// eslint-disable-next-line no-await-in-loop
			const outcome = await this.#writeClaim(request, condition, deadline);
			if ('kind' in outcome) {
				return outcome;
			}

			// eslint-disable-next-line no-await-in-loop
			const next = await this.#resolveExistingRow(outcome.row, request);
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
		if (this.#attempts.cancel(claim.token)) {
			this.#deleteRow(claim.rowKey, claim.token);
		}
	}

	abandon(claim: Claim): void {
		if (claim.request.keepsAnswer) {
			this.#attempts.forget(claim.token);
		} else {
			this.#attempts.markDone(claim.token);
		}
	}

	async complete(claim: Claim, answer: RecordedAnswer | undefined): Promise<void> {
		if (!claim.request.keepsAnswer) {
			// The claim row already records that the request was dispatched.
			this.#attempts.markDone(claim.token);
			return;
		}

		const token = this.#createToken();
		const finished = new AbortController();
		this.background.add({
			bytes: JOB_OVERHEAD_BYTES + (answer?.body.byteLength ?? 0),
			run: async () => {
				const isDecided = await this.#recordCompletion(claim, token, answer);
				if (isDecided) {
					this.#attempts.markDone(claim.token);
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

	/** Writes one claim. If the row belongs to another attempt, returns the row. */
	async #writeClaim(request: ClaimRequest, condition: Condition, deadline: number): Promise<ClaimDecision | {readonly row: Row | undefined}> {
		const rowKey = claimRowKey(request);
		const token = this.#createToken();
		this.#attempts.begin(token);
		const value = JSON.stringify(this.#createClaimValue(request));
		const result = await writeIdempotently(this.#table, this.#clock, {
			key: rowKey, value, condition, token,
		}, deadline - this.#clock.now());
		if (result.kind === 'written') {
			this.#attempts.markHeld(token);
			return {kind: 'granted', claim: {rowKey, token, request}};
		}

		if (result.kind === 'rejected') {
			this.#attempts.cancel(token);
			return {row: result.row};
		}

		if (this.#attempts.cancel(token) && result.mayTakeEffect) {
			this.#deleteRow(rowKey, token);
		}

		return refuse(request.isFirstAttempt ? ErrorKind.StoreUnavailable : ErrorKind.EarlierAttemptUnknown);
	}

	/** Deletes the row of a cancelled attempt in the background. */
	#deleteRow(rowKey: string, token: string): void {
		const write = {
			key: rowKey, value: undefined, condition: {kind: 'token', token}, token: this.#createToken(),
		} as const;
		this.#releases.add({
			bytes: JOB_OVERHEAD_BYTES,
			run: async () => {
				const result = await withStoreTimeout(this.#clock, this.#table.write(write), BACKGROUND_WRITE_TIMEOUT_MS);
				return result.isOk;
			},
			onDropped() {
				// The row remains, but this node still reports that the attempt was never dispatched.
			},
		});
	}

	async #recordCompletion(claim: Claim, token: string, answer: RecordedAnswer | undefined): Promise<boolean> {
		const stored = answer && await this.#answers.store(claim.token, answer);
		if (stored === 'failed') {
			return false;
		}

		const value: ClaimValue = {...this.#createClaimValue(claim.request), state: 'done', answer: stored};
		const result = await withStoreTimeout(this.#clock, this.#table.write({
			key: claim.rowKey, value: JSON.stringify(value), condition: {kind: 'token', token: claim.token}, token,
		}), BACKGROUND_WRITE_TIMEOUT_MS);
		return result.isOk;
	}

	async #resolveExistingRow(row: Row | undefined, request: ClaimRequest): Promise<ClaimDecision | {kind: 'write'; condition: Condition}> {
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

		const status = value.holder === this.#holder ? this.statusOf(row.token) : await this.#queryHolder(value.holder, row.token);
		return status === ClaimStatus.Done ? this.#resolveDone(row, value) : this.#resolveClaimed(row, status);
	}

	async #queryHolder(holder: string, token: string): Promise<ClaimStatus> {
		const status = await withTimeoutOrUndefined(this.#clock, this.#peers.ask(holder, token), this.#acquireTimeoutMs);
		return status ?? ClaimStatus.Unreachable;
	}

	#resolveClaimed(row: Row, status: ClaimStatus): ClaimDecision | {kind: 'write'; condition: Condition} {
		if (status !== ClaimStatus.NeverDispatched) {
			return refuse(status === ClaimStatus.Running ? ErrorKind.InProgress : ErrorKind.OutcomeUnknown);
		}

		const canTakeOver = this.#invariants.check(PromiseId.BookingOnce, this.statusOf(row.token) !== ClaimStatus.Running, 'Tried to take over the claim of a live attempt.');
		return canTakeOver ? {kind: 'write', condition: {kind: 'token', token: row.token}} : refuse(ErrorKind.Internal);
	}

	/** Decides after the holder reported the attempt as done; the row then holds the answer if it is kept for replay. */
	async #resolveDone(row: Row, value: ClaimValue): Promise<ClaimDecision> {
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

	#createClaimValue(request: ClaimRequest): ClaimValue {
		return {
			state: 'claimed', holder: this.#holder, digest: request.digest, keepsAnswer: request.keepsAnswer, claimedAt: this.#claimClock.latestMs!,
		};
	}
}

function refuse(kind: ErrorKind): {readonly kind: 'refused'; readonly err: SchedulerError} {
	return {kind: 'refused', err: SchedulerError.create(kind)};
}
