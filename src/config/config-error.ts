/**
 * Why an operator's request was refused, with what the operator needs to go on.
 */
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type Change, type Problem} from './check-subtree.js';

/** A refusal with its details. */
export type ConfigError = {
	readonly err: SchedulerError;
	/** Mistakes by path, for `invalid-config`. */
	readonly problems?: readonly Problem[];
	/** The newest version, for `version-conflict`. */
	readonly currentVersion?: number;
	/** What changed since the version that the change was made from, for `version-conflict`. */
	readonly difference?: readonly Change[];
	/** Regions that are cut off, for `region-unreachable`. */
	readonly regions?: readonly string[];
};

/** @returns A refusal of a kind; the detail tells what to do next. */
export function createConfigError(kind: ErrorKind, detail: string, more: Omit<ConfigError, 'err'> = {}): ConfigError {
	return {err: SchedulerError.create(kind, detail), ...more};
}

/** @returns The refusal while the store does not answer; nothing was changed. */
export function storeUnavailable(): ConfigError {
	return createConfigError(ErrorKind.StoreUnavailable, 'The store does not answer. Nothing was changed; repeat the request later.');
}
