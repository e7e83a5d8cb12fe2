/**
 * Requests of the callers of a `PlatformDeployment`, and their answers.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type VmProcess} from './vm-process.js';

/** Kinds of requests that callers send. */
export type CallKind = 'unsafe' | 'safe' | 'stream';

/** The answer that a caller received. */
export type CallerAnswer = {
	readonly id: string;
	/** 0 if no status was received. */
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	readonly isWhole: boolean;
};

/** A request that a caller sends or has sent. Times in ms of `performance.now()`. */
export type SentCall = {
	readonly id: string;
	readonly kind: CallKind;
	readonly vm: VmProcess;
	/** Process of the VM at that time, by its ID. */
	readonly pid: number | undefined;
	readonly method: string;
	/** Prefix of its route. */
	readonly prefix: string;
	readonly target: string;
	readonly body: string;
	readonly apiKey: string;
	readonly prompt: string | undefined;
	/** Whether it was sent before the answer to the request before it on the connection had arrived. */
	readonly followsOpenRequest: boolean;
	/** When the first byte was sent. */
	startedAt: number;
	/** When the last byte was sent; `NaN` if it was not. */
	sentAt: number;
	/** `NaN` while it is open. */
	endedAt: number;
	answer: CallerAnswer | undefined;
	/** Whether the caller closed the connection before the answer was complete. */
	hasCallerLeft: boolean;
};
