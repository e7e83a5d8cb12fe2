/**
 * Asks the holders of claims over the peer service, and answers for this node's own claims.
 */
import {type ClaimHolder, ClaimPeers, ClaimStatus} from '../coordination/claim-peers.js';
import {type MemberView} from '../members/member.js';
import {ClaimState} from './generated/redwingspool/peer/v1/peer_pb.js';
import {type PeerHandlers, type PeerTransport} from './peer-transport.js';

const CALL_TIMEOUT_MS = 1000;

/** `unreachable` is what the asking side concludes; no node answers it. */
const stateOf: Readonly<Record<ClaimStatus, ClaimState>> = {
	[ClaimStatus.Running]: ClaimState.RUNNING,
	[ClaimStatus.NeverDispatched]: ClaimState.NEVER_DISPATCHED,
	[ClaimStatus.Done]: ClaimState.DONE,
	[ClaimStatus.NotKnown]: ClaimState.NOT_KNOWN,
	[ClaimStatus.Unreachable]: ClaimState.UNSPECIFIED,
};

const statusOf = new Map(Object.entries(stateOf).map(([status, state]) => [state, status as ClaimStatus]));

/** @returns The peer handler that answers for a holder. */
export function claimStatusHandler(holder: ClaimHolder): Pick<PeerHandlers, 'claimStatus'> {
	return {
		claimStatus: ({token}) => ({state: stateOf[holder.statusOf(token)]}),
	};
}

/** Holders are processes of members. */
export class NetworkClaimPeers extends ClaimPeers {
	/** @param members - The members that this node knows now. */
	static create(transport: PeerTransport, members: () => readonly MemberView[]): NetworkClaimPeers {
		return new NetworkClaimPeers(transport, members);
	}

	readonly #transport: PeerTransport;
	readonly #members: () => readonly MemberView[];

	private constructor(transport: PeerTransport, members: () => readonly MemberView[]) {
		super();
		this.#transport = transport;
		this.#members = members;
	}

	/** @param holder - Identity of the process that wrote the claim. */
	async ask(holder: string, token: string): Promise<ClaimStatus> {
		const member = this.#members().find(candidate => candidate.process === holder);
		if (member === undefined) {
			return ClaimStatus.Unreachable;
		}

		const answer = await this.#transport.call(member.address, 'claimStatus', {token}, CALL_TIMEOUT_MS);
		return answer.map(({state}) => statusOf.get(state) ?? ClaimStatus.NotKnown).unwrapOr(ClaimStatus.Unreachable);
	}
}
