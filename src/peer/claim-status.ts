/**
 * Queries the status of claims from their holders over the peer service, and serves the status of this node's claims.
 */
import {type ClaimHolder, ClaimPeers, ClaimStatus} from '../coordination/claim-peers.js';
import {type MemberView} from '../members/member.js';
import {ClaimState} from './generated/redwingspool/peer/v1/peer_pb.js';
import {type PeerHandlers, type PeerTransport} from './peer-transport.js';

const CALL_TIMEOUT_MS = 1000;

/** `Unreachable` is set by the querying side and never sent, so it maps to `UNSPECIFIED`. */
const claimStateByStatus: Readonly<Record<ClaimStatus, ClaimState>> = {
	[ClaimStatus.Running]: ClaimState.RUNNING,
	[ClaimStatus.NeverDispatched]: ClaimState.NEVER_DISPATCHED,
	[ClaimStatus.Done]: ClaimState.DONE,
	[ClaimStatus.NotKnown]: ClaimState.NOT_KNOWN,
	[ClaimStatus.Unreachable]: ClaimState.UNSPECIFIED,
};

const statusByClaimState = new Map(Object.entries(claimStateByStatus).map(([status, state]) => [state, status as ClaimStatus]));

/** @returns The peer handler that returns the status of a holder's claims. */
export function claimStatusHandler(holder: ClaimHolder): Pick<PeerHandlers, 'claimStatus'> {
	return {
		claimStatus: ({token}) => ({state: claimStateByStatus[holder.statusOf(token)]}),
	};
}

/** Queries claim status over a peer transport. Each holder is the process of a member. */
export class NetworkClaimPeers extends ClaimPeers {
	/** @param members - Returns the members that are currently known. */
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

	/** @param holder - ID of the process that wrote the claim. */
	async ask(holder: string, token: string): Promise<ClaimStatus> {
		const member = this.#members().find(candidate => candidate.process === holder);
		if (member === undefined) {
			return ClaimStatus.Unreachable;
		}

		const response = await this.#transport.call(member.address, 'claimStatus', {token}, CALL_TIMEOUT_MS);
		return response.map(({state}) => statusByClaimState.get(state) ?? ClaimStatus.NotKnown).unwrapOr(ClaimStatus.Unreachable);
	}
}
