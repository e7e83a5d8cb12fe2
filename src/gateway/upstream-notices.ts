/**
 * What a response says about its upstream, whether or not it is used for the request.
 */
import {type Clock} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type Metrics, UpstreamNotice} from '../base/metrics.js';
import {type ResponseHead} from './call-codec.js';
import {type DeploymentState} from './deployment-state.js';
import {type Upstream} from './upstream-list.js';
import {type UpstreamPauses} from './upstream-pauses.js';

/** Longest text of an unusable limit in a log line, in characters. */
const MAX_LOGGED_LIMIT_LENGTH = 40;

/** What the notices act on. */
export type NoticeTargets = {
	readonly clock: Clock;
	readonly state: DeploymentState;
	readonly pauses: UpstreamPauses;
	readonly metrics: Metrics;
	readonly log: Log;
};

/** @param sentAt - When the request was sent that the upstream responded to, in ms of the clock. */
export function applyNotices(targets: NoticeTargets, upstream: Upstream, sentAt: number, response: ResponseHead): void {
	const {state, pauses, metrics} = targets;
	if (response.isLeaving && !upstream.isLeaving) {
		metrics.countUpstreamNotice(UpstreamNotice.Leaving);
		state.noteLeaving([upstream]);
	}

	if (response.retryAfter !== undefined) {
		metrics.countUpstreamNotice(UpstreamNotice.Pause);
		pauses.note(upstream, response.retryAfter);
	}

	applyLimit(targets, upstream, sentAt, response);
}

/** A response that another server sent, or that may be damaged, does not show that a limit has ended. */
function applyLimit(targets: NoticeTargets, upstream: Upstream, sentAt: number, response: ResponseHead): void {
	const {clock, state, metrics, log} = targets;
	const {limit, isOtherUpstream, isForRequest, isAltered, isSigned, isNotRun} = response;
	const {id, startedAt} = upstream;
	if (limit !== undefined && limit.perSecond === undefined) {
		metrics.countUpstreamNotice(UpstreamNotice.UnusableLimit);
		log.warn('Limit of an upstream is not usable.', {upstream: id, limit: limit.text.slice(0, MAX_LOGGED_LIMIT_LENGTH), kept: state.limits.perSecond(upstream)});
	} else if (limit !== undefined) {
		metrics.countUpstreamNotice(UpstreamNotice.Limit);
		state.noteLimit({id, startedAt, perSecond: limit.perSecond}, sentAt, clock.now());
	} else if (!isOtherUpstream && isForRequest && !isAltered && (isSigned || isNotRun)) {
		state.noteLimit({id, startedAt, perSecond: undefined}, sentAt, clock.now());
	}
}
