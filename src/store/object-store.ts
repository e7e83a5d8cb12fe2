/**
 * Interface of the platform's object store. Objects are immutable once written.
 */
import {type Result} from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {type StoreError} from './table.js';

/** Stores immutable objects by key. */
export abstract class ObjectStore {
	/** @returns The content of the object, or `undefined` if it does not exist. */
	abstract get(key: string): Promise<Result<Uint8Array | undefined, StoreError>>;

	/** Writes an object. Idempotent for the same content. */
	abstract put(key: string, bytes: Uint8Array): Promise<Result<Unit, StoreError>>;
}
