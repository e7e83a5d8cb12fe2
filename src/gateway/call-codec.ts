/**
 * What the request path needs of the names on the wire. A deployment's adapter implements it; everything else uses the
 * types of this module.
 */
import {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';

/** Size of a generation. */
export type GenerationSize = {
	readonly promptTokens: number;
	/** Greatest number of tokens of the answer. */
	readonly maxOutputTokens: number;
	/** The caller's estimate of the answer; right at the median, often far off. */
	readonly expectedOutputTokens: number | undefined;
};

/** What the headers of a caller's request say. */
export type CallHead = {
	/** ID of the attempt; echoed by the upstream. */
	readonly id: string;
	readonly host: string;
	readonly apiKey: string | undefined;
	/** How long the caller will wait from now, in ms; `undefined` where it does not say. */
	readonly patienceMs: number | undefined;
	readonly generation: GenerationSize | undefined;
	/** Last event that the caller has of a stream that broke off. */
	readonly lastEventId: string | undefined;
};

/** How a request is sent to one upstream. */
export type SendOptions = {
	readonly upstreamId: string;
	readonly customer: string | undefined;
	/** What is left of the caller's time, in ms. */
	readonly remainingMs: number;
	/** Length of the body in bytes; `undefined` for a request without one. */
	readonly bodyBytes: number | undefined;
	/** The stream goes on after this event. */
	readonly lastEventId: string | undefined;
};

/** What the head of an upstream's answer says about its exchange. */
export type ResponseHead = {
	/** The answer carries this request's ID, or none. */
	readonly isForRequest: boolean;
	/** The upstream signed it as its own. */
	readonly isSigned: boolean;
	/** The upstream states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Another upstream has the address. */
	readonly isOtherUpstream: boolean;
	/** The body is not as the upstream made it, such as compressed. */
	readonly isAltered: boolean;
	/** The upstream takes no new work from now on. */
	readonly isLeaving: boolean;
	/** The upstream wants no request from this VM for some time. */
	readonly retryAfter: RetryAfter | undefined;
	/** Requests that run and wait at the upstream, where it tells. */
	readonly load: UpstreamLoad | undefined;
};

/** How long an upstream that turned a request away wants to be spared. */
export type RetryAfter = {
	/** As the upstream wrote it. */
	readonly text: string;
	/** `undefined` where it is not readable. */
	readonly ms: number | undefined;
};

/** Load that an upstream tells with an answer. */
export type UpstreamLoad = {
	readonly running: number;
	readonly waiting: number;
};

/** Decodes and encodes the headers of calls. */
export abstract class CallCodec {
	/** @returns What the request says, or `undefined` where it has no ID. */
	abstract decode(req: IncomingMessage): CallHead | undefined;

	/** @returns Headers for the upstream, as name and value in turn. */
	abstract encode(req: IncomingMessage, options: SendOptions): string[];

	abstract decodeResponse(status: number, headers: IncomingHttpHeaders, head: CallHead): ResponseHead;

	/**
	 * @returns Headers of an answer of the system's own.
	 */
	abstract errorResponseHeaders(head: CallHead | undefined, retryAfterMs: number | undefined): Record<string, string>;
}
