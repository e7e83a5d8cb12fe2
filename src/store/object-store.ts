/**
 * The platform's object store, as the rest of the program sees it. Objects are never changed once written.
 */
import {type Result} from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {type StoreError} from './table.js';

/** Immutable objects by key. */
export abstract class ObjectStore {
	/** @returns The bytes, or `undefined` where there is no such object. */
	abstract get(key: string): Promise<Result<Uint8Array | undefined, StoreError>>;

	/** Stores an object; writing the same bytes again is harmless. */
	abstract put(key: string, bytes: Uint8Array): Promise<Result<Unit, StoreError>>;
}
