/**
 * Heartbeat counters and loads of the running members. A message carries those that changed last, so that its size is
 * bounded while news still spreads in a number of rounds that grows with the logarithm of the members.
 */
import {create} from '@bufbuild/protobuf';
import {
	HeartbeatsSchema, MemberState, type Heartbeats as HeartbeatsMessage, type Member,
} from '../peer/generated/redwingspool/peer/v1/peer_pb.js';
import {FailureDetector, type Liveness} from './failure-detector.js';
import {hashText} from './hash.js';

/** Heartbeats of one message. With 64, 38 of a million views of live members were suspect at 180 nodes. */
export const MAX_HEARTBEATS = 96;
const MAX_LOAD = 255;

type Tracked = {
	readonly id: string;
	readonly address: string;
	readonly incarnation: number;
	readonly hash: number;
	load: number;
};

/** Heartbeats as one node knows them. */
export class Heartbeats {
	static create(selfId: string): Heartbeats {
		return new Heartbeats(selfId);
	}

	readonly detector = FailureDetector.create();
	readonly #selfId: string;
	readonly #byId = new Map<string, Tracked>();
	/** Running members by hash of ID and incarnation; the last changed is the last of the iteration. */
	readonly #recent = new Map<number, Tracked>();
	#counter = 0;
	#load = 0;

	private constructor(selfId: string) {
		this.#selfId = selfId;
	}

	get size(): number {
		return this.#byId.size;
	}

	setLoad(percent: number): void {
		this.#load = Math.max(0, Math.min(MAX_LOAD, Math.round(percent)));
	}

	loadOf(id: string): number {
		return id === this.#selfId ? this.#load : this.#byId.get(id)?.load ?? 0;
	}

	/** Follows a member's entry. Heartbeats of an earlier incarnation no longer count. */
	setMember(member: Member, incarnation: number, now: number): void {
		const known = this.#byId.get(member.id);
		const isRunning = member.state === MemberState.ALIVE || member.state === MemberState.LEAVING;
		if (known && (known.incarnation !== incarnation || !isRunning)) {
			this.#byId.delete(member.id);
			this.#recent.delete(known.hash);
			this.detector.forget(known.hash);
		}

		if (isRunning && known?.incarnation !== incarnation) {
			const tracked: Tracked = {
				id: member.id, address: member.address, incarnation, hash: hashText(`${member.id}#${incarnation}`), load: 0,
			};
			this.#byId.set(member.id, tracked);
			this.#recent.set(tracked.hash, tracked);
			this.detector.watch(tracked.hash, now);
		}
	}

	/** Advances this node's own counter. */
	beat(now: number): void {
		this.#counter += 1;
		const self = this.#byId.get(this.#selfId);
		if (self) {
			self.load = this.#load;
			this.#note(self, this.#counter, now);
		}
	}

	merge(message: HeartbeatsMessage | undefined, now: number): void {
		for (const [index, hash] of (message?.members ?? []).entries()) {
			const tracked = this.#recent.get(hash);
			if (tracked && tracked.id !== this.#selfId && this.#note(tracked, message!.counters[index] ?? 0, now)) {
				tracked.load = message!.loads[index] ?? 0;
			}
		}
	}

	/** The heartbeats of the next message. */
	select(): HeartbeatsMessage {
		const chosen = [...this.#recent.values()].slice(-MAX_HEARTBEATS);
		const message = create(HeartbeatsSchema, {loads: new Uint8Array(chosen.length)});
		for (const [index, tracked] of chosen.entries()) {
			message.members.push(tracked.hash);
			message.counters.push(this.detector.counterOf(tracked.hash));
			message.loads[index] = tracked.load;
		}

		return message;
	}

	/** Addresses of all running members but this one. */
	peerAddresses(): string[] {
		return [...this.#byId.values()].filter(tracked => tracked.id !== this.#selfId).map(tracked => tracked.address);
	}

	liveness(id: string, now: number): Liveness {
		return this.detector.liveness(this.#byId.get(id)?.hash ?? 0, now);
	}

	suspectFor(id: string, now: number): number {
		return this.detector.suspectFor(this.#byId.get(id)?.hash ?? 0, now);
	}

	#note(tracked: Tracked, counter: number, now: number): boolean {
		if (!this.detector.observe(tracked.hash, counter, now)) {
			return false;
		}

		this.#recent.delete(tracked.hash);
		this.#recent.set(tracked.hash, tracked);
		return true;
	}
}
