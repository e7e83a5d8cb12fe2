/**
 * Errors returned to operators, with the information needed to resolve them.
 */
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type Change, type Problem} from './check-subtree.js';

/** An error with optional details that depend on its kind. */
export type ConfigError = {
	readonly err: SchedulerError;
	/** Validation errors by path, for `invalid-config`. */
	readonly problems?: readonly Problem[];
	/** The newest version, for `version-conflict`. */
	readonly currentVersion?: number;
	/** Differences between the base version of the change and the newest version, for `version-conflict`. */
	readonly difference?: readonly Change[];
	/** Regions that are cut off, for `region-unreachable`. */
	readonly regions?: readonly string[];
};

/** @returns An error of the given kind; its detail tells the operator what to do next. */
export function createConfigError(kind: ErrorKind, detail: string, context: Omit<ConfigError, 'err'> = {}): ConfigError {
	return {err: SchedulerError.create(kind, detail), ...context};
}

/** @returns The error for requests that fail without any change because the store does not respond. */
export function createStoreUnavailableError(): ConfigError {
	return createConfigError(ErrorKind.StoreUnavailable, 'The store does not answer. Nothing was changed; repeat the request later.');
}
