/**
 * Client configuration and failure classification for calls made through the AWS SDK, whose own retries are disabled.
 */
import {type StoreError, StoreFailure} from './table.js';

/** Endpoint, credentials, timeouts and connection limit common to the DynamoDB and S3 adapters. */
export type SdkOptions = {
	/** URL of the service. */
	readonly endpoint: string;
	readonly region: string;
	readonly accessKeyId: string;
	readonly secretAccessKey: string;
	/** Timeout for establishing a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** Timeout from sending a request to receiving the complete response, in ms. */
	readonly requestTimeoutMs: number;
	/** Maximum number of connections to the service. */
	readonly maxConnections: number;
};

/** System error codes that occur before a connection is established, so that no byte of the request was sent. */
const connectFailureCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN']);

const CLIENT_ERROR_STATUS = 400;
const SERVER_ERROR_STATUS = 500;

/** Fields of SDK and system errors that classification uses. */
type SdkError = {
	readonly name?: string;
	readonly message?: string;
	readonly code?: string;
	readonly $metadata?: {readonly httpStatusCode?: number};
};

/** @returns Client configuration for both services. SDK retries are disabled because the caller must decide whether to retry. */
export function createSdkClientConfig(options: SdkOptions) {
	const agent = {maxSockets: options.maxConnections, keepAlive: true};
	return {
		endpoint: options.endpoint,
		region: options.region,
		credentials: {accessKeyId: options.accessKeyId, secretAccessKey: options.secretAccessKey},
		maxAttempts: 1,
		requestHandler: {connectionTimeout: options.connectTimeoutMs, httpAgent: agent, httpsAgent: agent},
	};
}

/** @returns Failure of a read, always `unavailable` because a read has no effect. */
export function toReadFailure(err: unknown): StoreError {
	return {failure: StoreFailure.Unavailable, detail: formatDetail(err as SdkError)};
}

/** @returns Failure of a write: `unavailable` only if the service rejected the write or it was never sent, so that it has no effect. */
export function toWriteFailure(err: unknown): StoreError {
	const sdkError = err as SdkError;
	const status = sdkError.$metadata?.httpStatusCode ?? 0;
	const isRejected = status >= CLIENT_ERROR_STATUS && status < SERVER_ERROR_STATUS;
	const isNotSent = connectFailureCodes.has(sdkError.code ?? '');
	return {
		failure: isRejected || isNotSent ? StoreFailure.Unavailable : StoreFailure.OutcomeUnknown,
		detail: formatDetail(sdkError),
	};
}

function formatDetail(err: SdkError): string {
	return `${err.name ?? 'Error'}: ${err.message ?? ''}`;
}
