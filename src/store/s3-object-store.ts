/**
 * The object store over the S3 protocol.
 */
import {
	GetObjectCommand, NoSuchKey, PutObjectCommand, S3Client,
} from '@aws-sdk/client-s3';
import Result, {ok} from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {ObjectStore} from './object-store.js';
import {
	readFailure, type SdkOptions, sdkClientConfig, writeFailure,
} from './sdk-failure.js';
import {type StoreError} from './table.js';

/** How to reach the bucket. */
export type S3ObjectStoreOptions = SdkOptions & {
	readonly bucket: string;
};

/** Objects of one bucket, addressed by path. */
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
			...sdkClientConfig(options),
			forcePathStyle: true,
			// Checksum trailers are not part of every service of this protocol.
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
			const {Body: body} = await this.#client.send(new GetObjectCommand({Bucket: this.#bucket, Key: key}), this.#limits());
			return ok(await body!.transformToByteArray());
		} catch (err) {
			return err instanceof NoSuchKey ? ok(undefined) : Result.err(readFailure(err));
		}
	}

	async put(key: string, bytes: Uint8Array): Promise<Result<Unit, StoreError>> {
		try {
			await this.#client.send(new PutObjectCommand({Bucket: this.#bucket, Key: key, Body: bytes}), this.#limits());
			return Result.ok();
		} catch (err) {
			return Result.err(writeFailure(err));
		}
	}

	#limits() {
		return {abortSignal: AbortSignal.timeout(this.#requestTimeoutMs)};
	}
}
