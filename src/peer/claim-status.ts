/**
 * Asking the holder of a claim what became of it.
 */
import {type PeerHandlers, type PeerTransport} from './peer-transport.js';
import {ClaimState} from './generated/redwingspool/peer/v1/peer_pb.js';

const CALL_TIMEOUT_MS = 1000;

/** What the holder of a claim knows about it. */
export const ClaimStatus = {
	/** The attempt is running or may still be sent. */
	Running: 'running',
	/** The attempt was never sent and never will be. */
	GivenUp: 'given-up',
	/** The attempt ended after it was sent. */
	Done: 'done',
	/** The process has no memory of the attempt. */
	NotKnown: 'not-known',
} as const;

export type ClaimStatus = (typeof ClaimStatus)[keyof typeof ClaimStatus];

const toState = {
	[ClaimStatus.Running]: ClaimState.RUNNING,
	[ClaimStatus.GivenUp]: ClaimState.GIVEN_UP,
	[ClaimStatus.Done]: ClaimState.DONE,
	[ClaimStatus.NotKnown]: ClaimState.NOT_KNOWN,
} as const;

const fromState = new Map<ClaimState, ClaimStatus>(Object.entries(toState).map(([status, state]) => [state, status as ClaimStatus]));

/** Implemented by the claims of a node. */
export abstract class ClaimHolder {
	/**
	 * Tells what became of an attempt of this process. `given-up` is binding: the attempt must not be sent afterwards.
	 *
	 * @param rowKey - Key of the claim row.
	 * @param token - Token of the attempt, as in the row.
	 */
	abstract claimStatus(rowKey: string, token: string): ClaimStatus | Promise<ClaimStatus>;
}

/** @returns The peer handler that answers for a holder. */
export function claimStatusHandler(holder: ClaimHolder): Pick<PeerHandlers, 'claimStatus'> {
	return {
		async claimStatus({rowKey, token}) {
			return {state: toState[await holder.claimStatus(rowKey, token)]};
		},
	};
}

/**
 * Asks the holder of a claim.
 *
 * @param address - Peer address of the holder.
 * @returns The status, or `undefined` when the holder could not be asked; the attempt may then be running.
 */
export async function askClaimStatus(transport: PeerTransport, address: string, claim: {rowKey: string; token: string}): Promise<ClaimStatus | undefined> {
	const answer = await transport.call(address, 'claimStatus', {rowKey: claim.rowKey, token: claim.token}, CALL_TIMEOUT_MS);
	return answer.isOk ? fromState.get(answer.value.state) : undefined;
}
