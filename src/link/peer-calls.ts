/**
 * What a VM asks of and tells another outside the link to the allocator, on a connection of its own each.
 */
import {type Clock} from '../base/clock.js';
import {ConnectFailure, type LinkNetwork} from './link-network.js';
import {type FromPeer, type ToPeer} from './messages.js';

/** Time for an answer, in ms; as long as a connection may take to come about. */
const ANSWER_MS = 700;

/** Calls to other VMs. */
export class PeerCalls {
	static create(clock: Clock, network: LinkNetwork): PeerCalls {
		return new PeerCalls(clock, network);
	}

	readonly #clock: Clock;
	readonly #network: LinkNetwork;

	private constructor(clock: Clock, network: LinkNetwork) {
		this.#clock = clock;
		this.#network = network;
	}

	/** Tells something that is not answered. */
	async tell(address: string, message: ToPeer): Promise<void> {
		const connected = await this.#network.connect(address);
		if (connected.isOk) {
			const channel = connected.value.open<ToPeer, FromPeer>({
				onMessage() {
					// Nothing is answered.
				},
				onClose() {
					// Nothing to do.
				},
			});
			channel.send(message);
			channel.close();
		}
	}

	/** @returns Whether the VM hears the allocator; false for one that refuses connections; `undefined` for silence. */
	async hears(address: string, leaderBoot: string): Promise<boolean | undefined> {
		const connected = await this.#network.connect(address);
		if (connected.isErr) {
			return connected.error === ConnectFailure.Refused ? false : undefined;
		}

		return new Promise(resolve => {
			const timer = this.#clock.setTimer(ANSWER_MS, () => {
				channel.close();
			});
			const channel = connected.value.open<ToPeer, FromPeer>({
				onMessage(message) {
					resolve(message.hearsLeader);
					channel.close();
				},
				onClose() {
					timer.cancel();
					resolve(undefined);
				},
			});
			channel.send({kind: 'probe', leaderBoot});
		});
	}
}
