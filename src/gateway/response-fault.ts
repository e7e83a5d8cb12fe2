/**
 * Why a response of an upstream is not used for the request.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type ResponseHead} from './call-codec.js';
import {continuesEventStream} from './event-splitter.js';
import {Ending, notRunStatuses} from './exchange-ending.js';

const OK_STATUS = 200;
const FIRST_ERROR_STATUS = 400;

/** How an exchange ends whose response is not used. */
export type ResponseFault = {
	readonly ending: Ending;
	readonly detail: string;
};

/**
 * @param response - The decoded head of the response.
 * @param isStreaming - Whether the caller has got the beginning of a stream, which the response must continue.
 * @returns The reason; `undefined` if the response can be used.
 */
export function findResponseFault(status: number, headers: IncomingHttpHeaders, response: ResponseHead, isStreaming: boolean): ResponseFault | undefined {
	const isSuccess = status >= OK_STATUS && status < FIRST_ERROR_STATUS;
	if (response.isOtherUpstream) {
		return {ending: Ending.OtherUpstream, detail: 'address belongs to another upstream'};
	}

	if (response.isNotRun) {
		return {ending: Ending.NotRun, detail: `upstream responded with ${status}, request not run`};
	}

	if (!response.isForRequest || response.isAltered || (isSuccess && !response.isSigned)) {
		return {ending: Ending.Spoiled, detail: 'response is not the upstream\'s own response to this request'};
	}

	if (status < OK_STATUS) {
		return {ending: Ending.Spoiled, detail: `${status} is not the status of a final response`};
	}

	if (notRunStatuses.has(status)) {
		// Passed on, the status would state what the upstream does not.
		return {ending: Ending.Spoiled, detail: `upstream responded with ${status} but does not state that the request was not run`};
	}

	return isStreaming && isSuccess && !continuesEventStream(status, headers['content-type'])
		? {ending: Ending.Spoiled, detail: `status ${status} and ${headers['content-type'] ?? 'no content type'} do not continue an event stream`}
		: undefined;
}
