/**
 * Heartbeat counters and loads of the running members. A message contains only the most recently changed ones: this
 * bounds its size, while updates still spread in a number of rounds that is logarithmic in the number of members.
 */
import {create} from '@bufbuild/protobuf';
import {
	HeartbeatsSchema, MemberState, type Heartbeats as HeartbeatsMessage, type Member,
} from '../peer/generated/redwingspool/peer/v1/peer_pb.js';
import {FailureDetector, type Liveness} from './failure-detector.js';
import {hashText} from './hash.js';

/** Maximum heartbeats per message. With 64, 38 of a million views of live members were suspect at 180 nodes. */
export const MAX_HEARTBEATS_PER_MESSAGE = 96;
const MAX_LOAD_PERCENT = 255;

type TrackedMember = {
	readonly id: string;
	readonly address: string;
	readonly incarnation: number;
	readonly hash: number;
	load: number;
};

/** The heartbeats known to one node. */
export class Heartbeats {
	static create(selfId: string): Heartbeats {
		return new Heartbeats(selfId);
	}

	readonly detector = FailureDetector.create();
	readonly #selfId: string;
	readonly #byId = new Map<string, TrackedMember>();
	/** Running members by hash of ID and incarnation, in iteration order from least to most recently updated. */
	readonly #byHash = new Map<number, TrackedMember>();
	#counter = 0;
	#load = 0;

	private constructor(selfId: string) {
		this.#selfId = selfId;
	}

	get size(): number {
		return this.#byId.size;
	}

	setLoad(percent: number): void {
		this.#load = Math.max(0, Math.min(MAX_LOAD_PERCENT, Math.round(percent)));
	}

	loadOf(id: string): number {
		return id === this.#selfId ? this.#load : this.#byId.get(id)?.load ?? 0;
	}

	/** Starts or stops tracking a member according to its entry. Heartbeats of an earlier incarnation are discarded. */
	setMember(member: Member, incarnation: number, now: number): void {
		const previous = this.#byId.get(member.id);
		const isRunning = member.state === MemberState.ALIVE || member.state === MemberState.LEAVING;
		if (previous && (previous.incarnation !== incarnation || !isRunning)) {
			this.#byId.delete(member.id);
			this.#byHash.delete(previous.hash);
			this.detector.forget(previous.hash);
		}

		if (isRunning && previous?.incarnation !== incarnation) {
			const tracked: TrackedMember = {
				id: member.id, address: member.address, incarnation, hash: hashText(`${member.id}#${incarnation}`), load: 0,
			};
			this.#byId.set(member.id, tracked);
			this.#byHash.set(tracked.hash, tracked);
			this.detector.watch(tracked.hash, now);
		}
	}

	/** Increments this node's own counter. */
	beat(now: number): void {
		this.#counter += 1;
		const self = this.#byId.get(this.#selfId);
		if (self) {
			self.load = this.#load;
			this.#recordHeartbeat(self, this.#counter, now);
		}
	}

	merge(message: HeartbeatsMessage | undefined, now: number): void {
		for (const [index, hash] of (message?.members ?? []).entries()) {
			const tracked = this.#byHash.get(hash);
			if (tracked && tracked.id !== this.#selfId && this.#recordHeartbeat(tracked, message!.counters[index] ?? 0, now)) {
				tracked.load = message!.loads[index] ?? 0;
			}
		}
	}

	/** Returns the most recently updated heartbeats for the next message. */
	select(): HeartbeatsMessage {
		const chosen = [...this.#byHash.values()].slice(-MAX_HEARTBEATS_PER_MESSAGE);
		const message = create(HeartbeatsSchema, {loads: new Uint8Array(chosen.length)});
		for (const [index, tracked] of chosen.entries()) {
			message.members.push(tracked.hash);
			message.counters.push(this.detector.counterOf(tracked.hash));
			message.loads[index] = tracked.load;
		}

		return message;
	}

	/** Returns the addresses of all running members except this node. */
	peerAddresses(): string[] {
		return [...this.#byId.values()].filter(tracked => tracked.id !== this.#selfId).map(tracked => tracked.address);
	}

	liveness(id: string, now: number): Liveness {
		return this.detector.liveness(this.#byId.get(id)?.hash ?? 0, now);
	}

	suspectDuration(id: string, now: number): number {
		return this.detector.suspectDuration(this.#byId.get(id)?.hash ?? 0, now);
	}

	#recordHeartbeat(tracked: TrackedMember, counter: number, now: number): boolean {
		if (!this.detector.observe(tracked.hash, counter, now)) {
			return false;
		}

		this.#byHash.delete(tracked.hash);
		this.#byHash.set(tracked.hash, tracked);
		return true;
	}
}
