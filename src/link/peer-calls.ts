/**
 * Calls between VMs outside the link to the leader, each on a separate connection.
 */
import {MIN_REACHED_SHARE} from '../allocation/scope.js';
import {type Clock} from '../base/clock.js';
import {ConnectFailure, type LinkNetwork} from './link-network.js';
import {decodeFromPeer} from './message-schemas.js';
import {
	type FromPeer, type Leader, type Member, type ToPeer,
} from './messages.js';

/** Time for the answer to a probe, in ms; the same as for connecting. */
const PROBE_TIMEOUT_MS = 700;

/** Sends notifications and probes to other VMs. */
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

	/** Sends a message that has no reply. */
	async notify(address: string, message: ToPeer): Promise<void> {
		const connected = await this.#network.connect(address);
		if (connected.isOk) {
			const channel = connected.value.open<ToPeer, FromPeer>({
				onMessage() {
					// There is no reply.
				},
				onClose() {
					// Nothing waits for the connection.
				},
			}, decodeFromPeer);
			channel.send(message);
			channel.close();
		}
	}

	/** @returns Whether the VM is connected to the leader; false if it refuses connections; `undefined` if it does not answer. */
	async probeLeader(address: string, leaderBoot: string): Promise<boolean | undefined> {
		const connected = await this.#network.connect(address);
		if (connected.isErr) {
			return connected.error === ConnectFailure.Refused ? false : undefined;
		}

		return new Promise(resolve => {
			const timer = this.#clock.setTimer(PROBE_TIMEOUT_MS, () => {
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
			}, decodeFromPeer);
			channel.send({kind: 'probe', leaderBoot});
		});
	}

	/**
	 * Asks other VMs whether the leader is lost. A VM that knows no others asks its seeds, of which none needs to be running.
	 *
	 * @param selfName - This VM.
	 * @param members - The known VMs.
	 * @param seeds - Link addresses of other VMs.
	 * @returns Whether enough other VMs answered or refused the connection, and none of them is still connected to the leader.
	 */
	async confirmLoss(leader: Leader, selfName: string, members: readonly Member[], seeds: readonly string[]): Promise<boolean> {
		const others = members.filter(({name, boot}) => name !== selfName && boot !== leader.boot);
		const addresses = others.length > 0 ? others.map(({linkAddress}) => linkAddress) : seeds;
		const answers = await Promise.all(addresses.map(async address => this.probeLeader(address, leader.boot)));
		const answeredCount = answers.filter(answer => answer !== undefined).length;
		return !answers.includes(true) && answeredCount >= MIN_REACHED_SHARE * others.length;
	}
}
