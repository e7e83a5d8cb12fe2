/**
 * Object store adapter for the S3 protocol.
 */
import {
	GetObjectCommand, NoSuchKey, PutObjectCommand, S3Client,
} from '@aws-sdk/client-s3';
import Result, {ok} from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {ObjectStore} from './object-store.js';
import {
	createSdkClientConfig, type SdkOptions, toReadFailure, toWriteFailure,
} from './sdk-failure.js';
import {type StoreError} from './table.js';

/** Connection options and name of the bucket. */
export type S3ObjectStoreOptions = SdkOptions & {
	readonly bucket: string;
};

/** Stores objects in one bucket, using path-style addressing. */
export class S3ObjectStore extends ObjectStore {
	static create(options: S3ObjectStoreOptions): S3ObjectStore {
		return new S3ObjectStore(options);
	}

	readonly #client: S3Client;
	readonly #bucket: string;
	readonly #requestTimeoutMs: number;

	private constructor(options: S3ObjectStoreOptions) {
		super();
		this.#client = new S3Client({
			...createSdkClientConfig(options),
			forcePathStyle: true,
			// Not every S3-compatible service supports checksum trailers.
			requestChecksumCalculation: 'WHEN_REQUIRED',
			responseChecksumValidation: 'WHEN_REQUIRED',
		});
		this.#bucket = options.bucket;
		this.#requestTimeoutMs = options.requestTimeoutMs;
	}

	/** Closes all connections. */
	destroy(): void {
		this.#client.destroy();
	}

	async get(key: string): Promise<Result<Uint8Array | undefined, StoreError>> {
		try {
			const {Body: body} = await this.#client.send(new GetObjectCommand({Bucket: this.#bucket, Key: key}), this.#requestOptions());
			return ok(await body!.transformToByteArray());
		} catch (err) {
			return err instanceof NoSuchKey ? ok(undefined) : Result.err(toReadFailure(err));
		}
	}

	async put(key: string, bytes: Uint8Array): Promise<Result<Unit, StoreError>> {
		try {
			await this.#client.send(new PutObjectCommand({Bucket: this.#bucket, Key: key, Body: bytes}), this.#requestOptions());
			return Result.ok();
		} catch (err) {
			return Result.err(toWriteFailure(err));
		}
	}

	#requestOptions() {
		return {abortSignal: AbortSignal.timeout(this.#requestTimeoutMs)};
	}
}
