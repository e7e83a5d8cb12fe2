/**
 * Checks how the requests of callers ended against what the servers ran.
 */
import {type Run} from '../standins/platform-server.js';
import {type CallerAnswer, type SentCall} from './sent-call.js';

/** Time after the last byte of a request within which its connection may close if no server ran it, in ms. */
const CLOSE_SLACK_MS = 200;
/** How long after its time limit a request must have an answer, in ms. */
const OVERRUN_MS = 900;
/** Part of its time limit after which an end of a request is put down to that limit. */
const TIME_LIMIT_SHARE = 0.95;
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What else is known about a request. Times in ms. */
export type CallCircumstances = {
	/** Runs of the request at all servers, in order. */
	readonly runs: readonly Run[];
	/** Whether the VM was killed or paused while the request was open. */
	readonly isVmDisturbed: boolean;
	/** Whether the server that ran the request last was faulty meanwhile. */
	readonly isLastRunDisturbed: boolean;
	/** Whether any server was faulty while the request was open. */
	readonly isServerDisturbed: boolean;
	/** The shorter of the caller's time limit and that of the route, in the configurations that may have applied. */
	readonly timeLimitMs: {readonly min: number; readonly max: number};
};

/** @returns A description of what is wrong with the end of the request; `undefined` if it is in order. */
export function findEndingFault(call: SentCall, circumstances: CallCircumstances): string | undefined {
	const {kind, answer} = call;
	const {runs} = circumstances;
	if (kind === 'unsafe' && runs.length > 1) {
		return `(unsafe) ran ${runs.length} times`;
	}

	if (answer !== undefined && notRunStatuses.has(answer.status) && runs.length > 0) {
		return `ran although it was reported to its caller as not run, with status ${answer.status}`;
	}

	return answer?.isWhole === true ? findFailure(call, answer, circumstances) : findMissingAnswer(call, circumstances);
}

/** A failure for which no server and no time limit is the reason. */
function findFailure(call: SentCall, {status, headers}: CallerAnswer, {isVmDisturbed, isServerDisturbed, timeLimitMs}: CallCircumstances): string | undefined {
	if (status < 500 || status === 503 || headers['x-server-seal'] !== undefined || isVmDisturbed) {
		return undefined;
	}

	const lastedMs = Math.round(call.endedAt - call.startedAt);
	const hasReason = isServerDisturbed || (status === 504 && lastedMs >= timeLimitMs.min * TIME_LIMIT_SHARE);
	return hasReason ? undefined : `got status ${status} after ${lastedMs} ms, of ${timeLimitMs.min}, though the servers were sound`;
}

function findMissingAnswer(call: SentCall, {runs, isVmDisturbed, isLastRunDisturbed, timeLimitMs}: CallCircumstances): string | undefined {
	if (Number.isNaN(call.sentAt) || isVmDisturbed) {
		return undefined;
	}

	const [openMs, sinceSentMs] = [Math.round(call.endedAt - call.startedAt), Math.round(call.endedAt - call.sentAt)];
	if (call.hasCallerLeft) {
		return sinceSentMs > timeLimitMs.max + OVERRUN_MS ? `had no complete answer ${sinceSentMs} ms after it was sent, of ${timeLimitMs.max}` : undefined;
	}

	if (isLastRunDisturbed || openMs >= timeLimitMs.min * TIME_LIMIT_SHARE) {
		return undefined;
	}

	if (runs.length > 0) {
		return `ran, and its connection closed without a complete answer ${sinceSentMs} ms after it was sent${call.followsOpenRequest ? ' behind an open request' : ''}`;
	}

	const mayCrossClose = sinceSentMs <= CLOSE_SLACK_MS || call.followsOpenRequest;
	return mayCrossClose ? undefined : `got no answer: its connection closed ${sinceSentMs} ms after it was sent`;
}
