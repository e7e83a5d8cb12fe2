/**
 * Runs a membership: ticks, pushes and answers over a transport.
 */
import {type Result} from 'true-myth/result';
import {type Clock, type Timer} from '../base/clock.js';
import {type Random} from '../base/random.js';
import {type ExchangeRequest, type ExchangeResponse} from '../peer/generated/redwingspool/peer/v1/peer_pb.js';
import {type PeerError, type PeerHandlers, type PeerTransport} from '../peer/peer-transport.js';
import {Part} from '../supervisor/part.js';
import {GOSSIP_INTERVAL_MS, type GossipCall, type Membership} from './membership.js';
import {MemberStatus} from './member.js';

const CALL_TIMEOUT_MS = 2000;
/** A reconciliation takes at most these messages; what still differs waits for the next exchange. */
const MAX_FOLLOW_UPS = 3;

/** What the part is made of. */
export type GossipPartOptions = {
	readonly membership: Membership;
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly random: Random;
	/** Called once, when this node has all entries of some peer. */
	readonly onSynced?: () => void;
};

/** The gossip of one node. */
export class GossipPart extends Part {
	static create(options: GossipPartOptions): GossipPart {
		return new GossipPart(options);
	}

	readonly #options: GossipPartOptions;
	#timer: Timer | undefined;
	#isRunning = false;
	#hasSynced = false;

	private constructor(options: GossipPartOptions) {
		super();
		this.#options = options;
	}

	get name(): string {
		return 'gossip';
	}

	/** Whether this node had all entries of some peer once since it started. */
	get hasSynced(): boolean {
		return this.#hasSynced;
	}

	/** To be served by this node's peer service. */
	get handlers(): Pick<PeerHandlers, 'exchange'> {
		return {
			exchange: req => {
				const {membership, clock} = this.#options;
				const res = membership.receiveRequest(req, clock.now());
				this.pushUrgent();
				return res;
			},
		};
	}

	async start(onFailure: (err: Error) => void): Promise<void> {
		this.#isRunning = true;
		// The first tick is at a random time, so that nodes started together do not send together.
		this.#schedule(this.#options.random.next() * GOSSIP_INTERVAL_MS, onFailure);
	}

	/** Announces the planned stop at once. */
	override async drain(): Promise<void> {
		this.#options.membership.announceStop(MemberStatus.Leaving, this.#options.clock.now());
		this.pushUrgent();
	}

	async stop(): Promise<void> {
		this.#isRunning = false;
		this.#timer?.cancel();
	}

	/** Announces the end of the planned stop; to be called after the drain, before `stop`. */
	async announceLeft(): Promise<void> {
		const {membership, clock} = this.#options;
		membership.announceStop(MemberStatus.Left, clock.now());
		await Promise.all(membership.takeUrgent(clock.now()).map(async call => this.#exchange(call)));
	}

	/** Sends urgent entries without waiting for the next tick; to be called after each publication. */
	pushUrgent(): void {
		const {membership, clock} = this.#options;
		if (membership.hasUrgent) {
			for (const call of membership.takeUrgent(clock.now())) {
				void this.#exchange(call);
			}
		}
	}

	#schedule(ms: number, onFailure: (err: Error) => void): void {
		this.#timer = this.#options.clock.setTimer(ms, () => {
			try {
				this.#tick();
				this.#schedule(GOSSIP_INTERVAL_MS, onFailure);
			} catch (error) {
				onFailure(error as Error);
			}
		});
	}

	#tick(): void {
		const {membership, clock} = this.#options;
		for (const call of membership.tick(clock.now())) {
			void this.#exchange(call);
		}

		this.pushUrgent();
	}

	#noteSynced(): void {
		if (!this.#hasSynced) {
			this.#hasSynced = true;
			this.#options.onSynced?.();
		}
	}

	async #exchange({address, req}: GossipCall): Promise<void> {
		const {membership, transport, clock} = this.#options;
		let next: ExchangeRequest | undefined = req;
		for (let step = 0; next && step <= MAX_FOLLOW_UPS; step += 1) {
			// eslint-disable-next-line no-await-in-loop -- each message depends on the answer before
			const answer: Result<ExchangeResponse, PeerError> = await transport.call(address, 'exchange', next, CALL_TIMEOUT_MS);
			next = answer.isOk && this.#isRunning ? membership.receiveAnswer(answer.value, clock.now()) : undefined;
			this.pushUrgent();
			if (answer.isOk && next === undefined && req.root !== undefined) {
				this.#noteSynced();
			}
		}
	}
}
