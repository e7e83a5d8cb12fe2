/**
 * What the end of an exchange with an upstream proves about the execution of the request.
 */
import {Ran} from '../base/errors.js';
import {Operation} from './routing-table.js';

/** How an exchange ended. */
export const Ending = {
	/** A whole answer with the upstream's signature. */
	Answered: 'answered',
	/** A whole answer with an error status that the upstream made itself. */
	UpstreamError: 'upstream-error',
	/** The upstream states that it did not run the request. */
	NotRun: 'not-run',
	/** Another upstream has the address now and did not run the request. */
	OtherUpstream: 'other-upstream',
	/** The connection was refused or did not come about, so that no byte was sent. */
	NotConnected: 'not-connected',
	/** The connection was lost after the first byte was sent and before an answer. */
	Lost: 'lost',
	/** The answer broke off, belongs to another request, or is no answer of the protocol. */
	Spoiled: 'spoiled',
	/** The answer had more bytes than any answer may have. */
	Flooded: 'flooded',
	/** No answer within the time of the request. */
	TimedOut: 'timed-out',
	/** A stream fell silent. */
	Stalled: 'stalled',
	/** The caller left. */
	Cancelled: 'cancelled',
} as const;

export type Ending = (typeof Ending)[keyof typeof Ending];

/** Whether the request ran, by the ending of its exchange. */
export const provenBy: Readonly<Record<Ending, Ran>> = {
	answered: Ran.Yes,
	'upstream-error': Ran.Yes,
	'not-run': Ran.No,
	'other-upstream': Ran.No,
	'not-connected': Ran.No,
	lost: Ran.Unknown,
	spoiled: Ran.Unknown,
	flooded: Ran.Unknown,
	'timed-out': Ran.Unknown,
	stalled: Ran.Unknown,
	cancelled: Ran.Unknown,
};

/** Endings that say something against the upstream. */
export const failureEndings: ReadonlySet<Ending> = new Set([
	Ending.UpstreamError, Ending.NotConnected, Ending.Lost, Ending.Spoiled, Ending.Flooded, Ending.TimedOut, Ending.Stalled,
]);

/**
 * Tells whether a request may be sent once more.
 *
 * @param ending - How the last exchange ended.
 * @param operation - What the route declares.
 * @param isResumable - Whether a stream of the route may be resumed.
 */
export function mayRepeat(ending: Ending, operation: Operation, isResumable: boolean): boolean {
	if (ending === Ending.Answered || ending === Ending.Cancelled || ending === Ending.TimedOut) {
		return false;
	}

	if (provenBy[ending] === Ran.No) {
		return true;
	}

	return operation === Operation.Safe || (operation === Operation.Stream && isResumable);
}
