/**
 * The side of a VM that is linked to the allocator of all VMs.
 */
import {
	Allocation, type PlaceRequest, type PlaceRequestEvents, type PlaceReport,
} from '../allocation/allocation.js';
import {type Clock, type Timer} from '../base/clock.js';
import {BEAT_MS, LEADER_SILENCE_MS} from './leader-host.js';
import {type Channel} from './link-network.js';
import {type FromLeader, type ToLeader} from './messages.js';

/** An allocation at another VM. */
export class LeaderClient extends Allocation {
	/**
	 * @param onSilence - The allocator has been silent for too long.
	 */
	static create(clock: Clock, channel: Channel<ToLeader>, onSilence: () => void): LeaderClient {
		const client = new LeaderClient(clock, channel, onSilence);
		client.#tick();
		return client;
	}

	readonly #clock: Clock;
	readonly #channel: Channel<ToLeader>;
	readonly #onSilence: () => void;
	readonly #waiting = new Map<string, PlaceRequestEvents>();
	#heardAt: number;
	#sentAt: number;
	#timer: Timer | undefined;

	private constructor(clock: Clock, channel: Channel<ToLeader>, onSilence: () => void) {
		super();
		this.#clock = clock;
		this.#channel = channel;
		this.#onSilence = onSilence;
		this.#heardAt = clock.now();
		this.#sentAt = clock.now();
	}

	/** Takes a message; decisions go to whom they concern. */
	take(message: FromLeader): void {
		this.#heardAt = this.#clock.now();
		if (message.kind !== 'grant' && message.kind !== 'refuse') {
			return;
		}

		const events = this.#waiting.get(message.id);
		this.#waiting.delete(message.id);
		if (message.kind === 'refuse') {
			events?.refuse(message.error, message.retryAfterMs);
		} else {
			events?.grant(message.upstreamId, message.expectedFirstMs);
		}
	}

	close(): void {
		this.#timer?.cancel();
		this.#timer = undefined;
		this.#waiting.clear();
		this.#channel.close();
	}

	send(message: ToLeader): void {
		this.#sentAt = this.#clock.now();
		this.#channel.send(message);
	}

	ask(ask: PlaceRequest, events: PlaceRequestEvents): void {
		this.#waiting.set(ask.id, events);
		this.send({kind: 'ask', ask});
	}

	withdraw(askId: string): void {
		this.#waiting.delete(askId);
		this.send({kind: 'withdraw', id: askId});
	}

	noteFirst(askId: string, firstMs: number): void {
		this.send({kind: 'first', id: askId, ms: firstMs});
	}

	release(askId: string, report: PlaceReport): void {
		this.send({kind: 'release', id: askId, report});
	}

	#tick(): void {
		const now = this.#clock.now();
		if (now - this.#heardAt > LEADER_SILENCE_MS) {
			this.#onSilence();
			return;
		}

		if (now - this.#sentAt >= BEAT_MS) {
			this.send({kind: 'beat'});
		}

		this.#timer = this.#clock.setTimer(BEAT_MS, () => {
			this.#tick();
		});
	}
}
