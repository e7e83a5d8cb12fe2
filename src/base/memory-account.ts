/**
 * Account of the bytes that a process holds for its peers: bodies of requests, and responses that are collected or not read
 * yet. Near its bound, reading stops; what waits longer is refused, least important first.
 */
import {type Clock, type Timer} from './clock.js';
import {type Log} from './log.js';

/** What a holding is for. Each kind has half of the account: a response never waits for the bodies of requests. */
export const HoldingKind = {
	Body: 'body',
	Response: 'response',
} as const;

export type HoldingKind = (typeof HoldingKind)[keyof typeof HoldingKind];

/** Why the account ended a holding. */
export const Relief = {
	/** There was no room within the waiting time. */
	Refused: 'refused',
	/** A body made no progress. */
	Stalled: 'stalled',
	/** A response was not read. */
	Unread: 'unread',
} as const;

export type Relief = (typeof Relief)[keyof typeof Relief];

/** Dependencies of an account. */
export type AccountOptions = {
	readonly clock: Clock;
	readonly log: Log;
	/** Bound on the bytes of all holdings. */
	readonly limitBytes: number;
	readonly onRelief: (relief: Relief) => void;
};

/** Who holds bytes, and what happens to a holding that has to end. */
export type HoldingOptions = {
	readonly kind: HoldingKind;
	/** Customer or address whose share is charged. */
	readonly party: string;
	/** 0 is the most important. */
	readonly rank: number;
	/** Longest time without progress while there is room, in ms. */
	readonly idleMs: number;
	/** Number of bytes that arrived or were taken so far; rises with each progress. */
	readonly progress: () => number;
	/** There is no room within the waiting time. Holdings without this callback wait on. */
	readonly onRefused?: () => void;
	/** There was no progress for too long. */
	readonly onStalled: () => void;
};

type Waiter = {
	readonly totalBytes: number;
	readonly since: number;
	readonly onRoom: () => void;
};

/** Holdings up to this size may use the whole part of their kind, so that large ones leave room for them. Four times the mean body. */
const SMALL_BYTES = 65_536;
/** Part of a kind that holdings above that size may use, and part of this that one party may use. */
const LARGE_RATIO = 0.9;
const PARTY_RATIO = 0.75;
/** Part of a kind that is in use when stalled holdings end early. */
const PRESSED_RATIO = 0.75;
/** Longest time that a body waits for room, in ms; callers that are refused then can still retry in time. */
const MAX_WAIT_MS = 1000;
/** How long the account counts as pressed after room was denied, in ms; longer than a peer may stall meanwhile. */
const PRESSED_MS = 3000;
/** Time in which a peer passes at least `MIN_PROGRESS_BYTES` while the account is pressed, in ms. */
const PRESSED_STALL_MS = 1500;
/** A slow mobile link passes this in a tenth of the time; a peer that sends single bytes does not. */
const MIN_PROGRESS_BYTES = 4096;
/** Part of the account that the unread bytes of waiting bodies may use; a connection that is not read buffers up to 64 KB. */
const WAITING_RATIO = 0.05;
const MIN_WAITING = 16;
const TICK_MS = 250;
/** Time between two log lines, in ms. */
const LOG_INTERVAL_MS = 10_000;

/** Bytes held for one message. */
export class Holding {
	readonly options: HoldingOptions;
	/** Bytes that are charged. */
	bytes = 0;
	waiter: Waiter | undefined;
	isWatched = false;
	/** Progress at the last tick that saw some, and its time. */
	seen = 0;
	seenAt = 0;
	/** Progress from which `MIN_PROGRESS_BYTES` are counted, and its time. */
	mark = 0;
	markAt = 0;
	/** Kind and party whose shares are charged. */
	readonly shareKey: string;
	readonly #account: MemoryAccount;

	constructor(account: MemoryAccount, options: HoldingOptions) {
		this.#account = account;
		this.options = options;
		this.shareKey = `${options.kind} ${options.party}`;
	}

	/** Charges bytes that are held already, whether or not there is room. */
	set(totalBytes: number): void {
		this.#account.set(this, totalBytes);
	}

	/** @returns Whether there was room, which is then charged. */
	tryGrow(totalBytes: number): boolean {
		return this.#account.tryGrow(this, totalBytes);
	}

	/**
	 * Asks for room.
	 *
	 * @param onRoom - Called once there is room, unless there is now.
	 * @returns Whether there is room now.
	 */
	grow(totalBytes: number, onRoom: () => void): boolean {
		return this.tryGrow(totalBytes) || this.#account.wait(this, {totalBytes, onRoom});
	}

	cancelWait(): void {
		this.#account.cancelWait(this);
	}

	/** Ends the holding if it makes no progress from now on. */
	watch(): void {
		this.isWatched = true;
		this.#account.restart(this);
	}

	unwatch(): void {
		this.isWatched = false;
	}

	close(): void {
		this.#account.close(this);
	}
}

/** The account of one process. */
export class MemoryAccount {
	static create(options: AccountOptions): MemoryAccount {
		return new MemoryAccount(options);
	}

	readonly limitBytes: number;
	readonly #options: AccountOptions;
	readonly #open = new Set<Holding>();
	readonly #waiting = new Set<Holding>();
	readonly #byKind: Record<HoldingKind, number> = {body: 0, response: 0};
	/** Bytes by kind and party. */
	readonly #byParty = new Map<string, number>();
	readonly #maxWaiting: number;
	/** A response that got room beyond the bound because all responses waited for each other. */
	#forced: Holding | undefined;
	/** When room was last denied. */
	readonly #deniedAt: Record<HoldingKind, number> = {body: Number.NEGATIVE_INFINITY, response: Number.NEGATIVE_INFINITY};
	#timer: Timer | undefined;
	#loggedAt = Number.NEGATIVE_INFINITY;

	private constructor(options: AccountOptions) {
		this.#options = options;
		this.limitBytes = options.limitBytes;
		this.#maxWaiting = Math.max(MIN_WAITING, Math.floor(WAITING_RATIO * options.limitBytes / SMALL_BYTES));
	}

	/** Bytes of all holdings. */
	get heldBytes(): number {
		return this.#byKind.body + this.#byKind.response;
	}

	/** Number of messages that are not read on for want of room. */
	get waitingCount(): number {
		return this.#waiting.size;
	}

	open(options: HoldingOptions): Holding {
		const holding = new Holding(this, options);
		this.#open.add(holding);
		this.#timer ??= this.#schedule();
		return holding;
	}

	set(holding: Holding, totalBytes: number): void {
		const change = totalBytes - holding.bytes;
		if (change === 0 || !this.#open.has(holding)) {
			return;
		}

		this.#charge(holding, change);
		if (change < 0) {
			this.#grantWaiting();
		}
	}

	tryGrow(holding: Holding, totalBytes: number): boolean {
		if (totalBytes <= holding.bytes) {
			return true;
		}

		if (!this.#fits(holding, totalBytes)) {
			this.#deniedAt[holding.options.kind] = this.#options.clock.now();
			return false;
		}

		this.#charge(holding, totalBytes - holding.bytes);
		return true;
	}

	/** @returns False, as the holding waits from now on. */
	wait(holding: Holding, request: Pick<Waiter, 'totalBytes' | 'onRoom'>): boolean {
		holding.waiter = {...request, since: this.#options.clock.now()};
		this.#waiting.add(holding);
		this.#logPressure();
		const refusable = this.#refusable;
		if (refusable.length > this.#maxWaiting) {
			this.#refuse(refusable[0]!);
		}

		return false;
	}

	cancelWait(holding: Holding): void {
		if (holding.waiter !== undefined) {
			holding.waiter = undefined;
			this.#waiting.delete(holding);
		}
	}

	restart(holding: Holding): void {
		const now = this.#options.clock.now();
		const progress = holding.options.progress();
		holding.seen = progress;
		holding.seenAt = now;
		holding.mark = progress;
		holding.markAt = now;
	}

	close(holding: Holding): void {
		if (this.#open.delete(holding)) {
			this.cancelWait(holding);
			holding.isWatched = false;
			this.#charge(holding, -holding.bytes);
			if (this.#forced === holding) {
				this.#forced = undefined;
			}

			this.#grantWaiting();
		}
	}

	/** Bodies that wait, the least important and latest first. */
	get #refusable(): Holding[] {
		return [...this.#waiting].filter(({options}) => options.onRefused !== undefined)
			.toSorted((a, b) => (b.options.rank - a.options.rank) || (b.waiter!.since - a.waiter!.since));
	}

	#charge(holding: Holding, change: number): void {
		if (change === 0) {
			return;
		}

		const key = holding.shareKey;
		holding.bytes += change;
		this.#byKind[holding.options.kind] += change;
		const sum = (this.#byParty.get(key) ?? 0) + change;
		if (sum === 0) {
			this.#byParty.delete(key);
		} else {
			this.#byParty.set(key, sum);
		}
	}

	#fits({options: {kind}, shareKey, bytes}: Holding, totalBytes: number): boolean {
		const extra = totalBytes - bytes;
		const held = this.#byKind[kind];
		const maxBytes = this.limitBytes / 2;
		if (totalBytes <= SMALL_BYTES) {
			return held + extra <= maxBytes;
		}

		// A message that is larger than all of its part is held alone.
		const maxLargeBytes = LARGE_RATIO * maxBytes;
		return held === bytes || (held + extra <= maxLargeBytes && (this.#byParty.get(shareKey) ?? 0) + extra <= PARTY_RATIO * maxLargeBytes);
	}

	#isPressed(kind: HoldingKind): boolean {
		return this.#byKind[kind] > PRESSED_RATIO * this.limitBytes / 2
			|| this.#options.clock.now() - this.#deniedAt[kind] < PRESSED_MS
			|| [...this.#waiting].some(({options}) => options.kind === kind);
	}

	/** Gives released room to what waits, the most important and oldest first. */
	#grantWaiting(): void {
		if (this.#waiting.size === 0) {
			return;
		}

		for (const holding of [...this.#waiting].toSorted((a, b) => (a.options.rank - b.options.rank) || (a.waiter!.since - b.waiter!.since))) {
			const {waiter} = holding;
			if (waiter !== undefined && this.tryGrow(holding, waiter.totalBytes)) {
				this.#readOn(holding, waiter);
			}
		}
	}

	#readOn(holding: Holding, waiter: Waiter): void {
		this.cancelWait(holding);
		this.restart(holding);
		waiter.onRoom();
	}

	#schedule(): Timer {
		return this.#options.clock.setTimer(TICK_MS, () => {
			this.#timer = this.#open.size === 0 ? undefined : this.#schedule();
			this.#endStalled();
			this.#refuseWaiting();
			this.#forceResponse();
		});
	}

	#endStalled(): void {
		const now = this.#options.clock.now();
		const isPressed = {body: this.#isPressed(HoldingKind.Body), response: this.#isPressed(HoldingKind.Response)};
		for (const holding of this.#open) {
			if (!holding.isWatched || holding.waiter !== undefined) {
				continue;
			}

			const {kind, idleMs, progress, onStalled} = holding.options;
			const passed = progress();
			if (passed !== holding.seen) {
				holding.seen = passed;
				holding.seenAt = now;
			}

			if (passed - holding.mark >= MIN_PROGRESS_BYTES) {
				holding.mark = passed;
				holding.markAt = now;
			}

			if (now - holding.seenAt > idleMs || (isPressed[kind] && now - holding.markAt > PRESSED_STALL_MS)) {
				holding.unwatch();
				this.#options.onRelief(kind === HoldingKind.Body ? Relief.Stalled : Relief.Unread);
				onStalled();
			}
		}
	}

	#refuseWaiting(): void {
		const now = this.#options.clock.now();
		for (const holding of this.#refusable) {
			// A refusal makes room for others, which may have left the queue.
			if (holding.waiter !== undefined && now - holding.waiter.since > MAX_WAIT_MS) {
				this.#refuse(holding);
			}
		}
	}

	#refuse(holding: Holding): void {
		this.cancelWait(holding);
		this.#options.onRelief(Relief.Refused);
		holding.options.onRefused!();
	}

	/** Lets one response at a time be read beyond the bound if nothing else makes room: all may be incomplete. */
	#forceResponse(): void {
		const oldest = [...this.#waiting].find(({options, waiter}) => options.onRefused === undefined && this.#options.clock.now() - waiter!.since > MAX_WAIT_MS);
		if (oldest !== undefined && (this.#forced === undefined || this.#forced === oldest)) {
			const waiter = oldest.waiter!;
			this.#forced = oldest;
			this.#charge(oldest, waiter.totalBytes - oldest.bytes);
			this.#readOn(oldest, waiter);
		}
	}

	#logPressure(): void {
		const {clock, log} = this.#options;
		const now = clock.now();
		if (now - this.#loggedAt >= LOG_INTERVAL_MS) {
			this.#loggedAt = now;
			log.warn('No room to read on; messages wait, and requests are refused.', {
				bodyBytes: this.#byKind.body, responseBytes: this.#byKind.response, limitBytes: this.limitBytes, waiting: this.#waiting.size,
			});
		}
	}
}
