/**
 * Tells apart the failures of calls made through the AWS SDK, whose own retries are off.
 */
import {type StoreError, StoreFailure} from './table.js';

/** Timeouts and limits that the adapters of one store share. */
export type SdkOptions = {
	/** URL of the service. */
	readonly endpoint: string;
	readonly region: string;
	readonly accessKeyId: string;
	readonly secretAccessKey: string;
	/** Longest time to open a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** Longest time from sending a request to its whole answer, in ms. */
	readonly requestTimeoutMs: number;
	/** Connections kept to the service. */
	readonly maxConnections: number;
};

/** Codes of system errors that occur before a connection exists, so that no byte was sent. */
const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN']);

const CLIENT_ERROR_STATUS = 400;
const SERVER_ERROR_STATUS = 500;

/** The members of SDK and system errors that matter here. */
type SdkError = {
	readonly name?: string;
	readonly message?: string;
	readonly code?: string;
	readonly $metadata?: {readonly httpStatusCode?: number};
};

/** @returns Client settings common to both services; retries are off, since a repeat must stay the caller's decision. */
export function sdkClientConfig(options: SdkOptions) {
	const agent = {maxSockets: options.maxConnections, keepAlive: true};
	return {
		endpoint: options.endpoint,
		region: options.region,
		credentials: {accessKeyId: options.accessKeyId, secretAccessKey: options.secretAccessKey},
		maxAttempts: 1,
		requestHandler: {connectionTimeout: options.connectTimeoutMs, httpAgent: agent, httpsAgent: agent},
	};
}

/** @returns The failure of a read, which never has an effect. */
export function readFailure(err: unknown): StoreError {
	return {failure: StoreFailure.Unavailable, detail: describe(err as SdkError)};
}

/** @returns The failure of a write: certainly without effect only if it was refused or never sent. */
export function writeFailure(err: unknown): StoreError {
	const sdkError = err as SdkError;
	const status = sdkError.$metadata?.httpStatusCode ?? 0;
	const isRefused = status >= CLIENT_ERROR_STATUS && status < SERVER_ERROR_STATUS;
	const isUnsent = unsentCodes.has(sdkError.code ?? '');
	return {
		failure: isRefused || isUnsent ? StoreFailure.Unavailable : StoreFailure.OutcomeUnknown,
		detail: describe(sdkError),
	};
}

function describe(err: SdkError): string {
	return `${err.name ?? 'Error'}: ${err.message ?? ''}`;
}
