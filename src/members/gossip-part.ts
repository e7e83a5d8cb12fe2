/**
 * Runs the gossip protocol of a membership over a transport: periodic exchanges, pushes and responses to peers.
 */
import {type Result} from 'true-myth/result';
import {runInBackground} from '../base/background.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type Random} from '../base/random.js';
import {type ExchangeRequest, type ExchangeResponse} from '../peer/generated/redwingspool/peer/v1/peer_pb.js';
import {type PeerError, type PeerHandlers, type PeerTransport} from '../peer/peer-transport.js';
import {Part} from '../supervisor/part.js';
import {GOSSIP_INTERVAL_MS, type GossipCall, type Membership} from './membership.js';
import {MemberStatus} from './member.js';

const CALL_TIMEOUT_MS = 2000;
/** Maximum follow-up messages of one reconciliation; remaining differences wait for the next exchange. */
const MAX_FOLLOW_UPS = 3;

/** Dependencies of a `GossipPart`. */
export type GossipPartOptions = {
	readonly membership: Membership;
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly log: Log;
	readonly random: Random;
	/** Called once, when this node first has all entries of a peer. */
	readonly onSynced?: () => void;
};

/** Gossip of one node. */
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

	/** Whether this node has had all entries of a peer at least once since it started. */
	get hasSynced(): boolean {
		return this.#hasSynced;
	}

	/** Handlers to register with this node's peer service. */
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
		// Random jitter keeps nodes that start together from sending at the same time.
		this.#schedule(this.#options.random.next() * GOSSIP_INTERVAL_MS, onFailure);
	}

	/** Announces the planned stop immediately. */
	override async drain(): Promise<void> {
		this.#options.membership.announceStop(MemberStatus.Leaving, this.#options.clock.now());
		this.pushUrgent();
	}

	async stop(): Promise<void> {
		this.#isRunning = false;
		this.#timer?.cancel();
	}

	/** Announces the end of the planned stop. Call it after `drain` and before `stop`. */
	async announceLeft(): Promise<void> {
		const {membership, clock} = this.#options;
		membership.announceStop(MemberStatus.Left, clock.now());
		await Promise.all(membership.takeUrgent(clock.now()).map(async call => this.#exchange(call)));
	}

	/** Sends urgent entries without waiting for the next tick. Call it after each publication. */
	pushUrgent(): void {
		const {membership, clock} = this.#options;
		if (membership.hasUrgent) {
			for (const call of membership.takeUrgent(clock.now())) {
				this.#startExchange(call);
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
			this.#startExchange(call);
		}

		this.pushUrgent();
	}

	#startExchange(call: GossipCall): void {
		runInBackground(this.#options.log, 'gossip', async () => this.#exchange(call));
	}

	#markSynced(): void {
		if (!this.#hasSynced) {
			this.#hasSynced = true;
			this.#options.onSynced?.();
		}
	}

	async #exchange({address, req}: GossipCall): Promise<void> {
		const {membership, transport, clock} = this.#options;
		let next: ExchangeRequest | undefined = req;
		for (let followUp = 0; next && followUp <= MAX_FOLLOW_UPS; followUp += 1) {
			// eslint-disable-next-line no-await-in-loop -- each message depends on the previous response
			const response: Result<ExchangeResponse, PeerError> = await transport.call(address, 'exchange', next, CALL_TIMEOUT_MS);
			next = response.isOk && this.#isRunning ? membership.receiveAnswer(response.value, clock.now()) : undefined;
			this.pushUrgent();
			if (response.isOk && next === undefined && req.root !== undefined) {
				this.#markSynced();
			}
		}
	}
}
