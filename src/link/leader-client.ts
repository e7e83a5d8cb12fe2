/**
 * The follower's end of a link to the leader.
 */
import {
	Allocation, type PlaceRequest, type PlaceRequestEvents, type PlaceReport,
} from '../allocation/allocation.js';
import {type StatedPace} from '../allocation/momentary-pace.js';
import {type Clock, type Timer} from '../base/clock.js';
import {HEARTBEAT_INTERVAL_MS, LEADER_TIMEOUT_MS} from './leader-host.js';
import {type Channel} from './link-network.js';
import {type FromLeader, type ToLeader} from './messages.js';

/** Forwards requests for places to the leader and delivers its decisions. */
export class LeaderClient extends Allocation {
	/**
	 * @param onTimeout - Called when nothing has been received from the leader for `LEADER_TIMEOUT_MS`.
	 */
	static create(clock: Clock, channel: Channel<ToLeader>, onTimeout: () => void): LeaderClient {
		const client = new LeaderClient(clock, channel, onTimeout);
		client.#tick();
		return client;
	}

	readonly #clock: Clock;
	readonly #channel: Channel<ToLeader>;
	readonly #onTimeout: () => void;
	readonly #pendingAsks = new Map<string, PlaceRequestEvents>();
	#lastReceivedAt: number;
	#lastSentAt: number;
	#timer: Timer | undefined;

	private constructor(clock: Clock, channel: Channel<ToLeader>, onTimeout: () => void) {
		super();
		this.#clock = clock;
		this.#channel = channel;
		this.#onTimeout = onTimeout;
		this.#lastReceivedAt = clock.now();
		this.#lastSentAt = clock.now();
	}

	/** The leader does not know all that this VM saw, and the next one must. */
	override get recordsCrashes(): boolean {
		return false;
	}

	/** Handles a message of the leader and passes a decision to the request that waits for it. */
	receive(message: FromLeader): void {
		this.#lastReceivedAt = this.#clock.now();
		if (message.kind !== 'grant' && message.kind !== 'refuse') {
			return;
		}

		const events = this.#pendingAsks.get(message.id);
		this.#pendingAsks.delete(message.id);
		if (message.kind === 'refuse') {
			events?.refuse(message.error, message.retryAfterMs);
		} else {
			events?.grant(message.upstreamId, message.expectedFirstMs);
		}
	}

	close(): void {
		this.#timer?.cancel();
		this.#timer = undefined;
		this.#pendingAsks.clear();
		this.#channel.close();
	}

	send(message: ToLeader): void {
		this.#lastSentAt = this.#clock.now();
		this.#channel.send(message);
	}

	ask(ask: PlaceRequest, events: PlaceRequestEvents): void {
		this.#pendingAsks.set(ask.id, events);
		this.send({kind: 'ask', ask});
	}

	withdraw(askId: string): void {
		this.#pendingAsks.delete(askId);
		this.send({kind: 'withdraw', id: askId});
	}

	noteFirst(askId: string, firstMs: number, pace?: StatedPace): void {
		this.send({
			kind: 'first', id: askId, ms: firstMs, pace,
		});
	}

	release(askId: string, report: PlaceReport): void {
		this.send({kind: 'release', id: askId, report});
	}

	#tick(): void {
		const now = this.#clock.now();
		if (now - this.#lastReceivedAt > LEADER_TIMEOUT_MS) {
			this.#onTimeout();
			return;
		}

		this.#timer = this.#clock.setTimer(HEARTBEAT_INTERVAL_MS, () => {
			this.#tick();
		});
		if (now - this.#lastSentAt >= HEARTBEAT_INTERVAL_MS) {
			this.send({kind: 'beat'});
		}
	}
}
