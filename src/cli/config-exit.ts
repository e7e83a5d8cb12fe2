/**
 * Exit statuses of the operators' commands, and the output of failures.
 */
import process from 'node:process';
import {type Result} from 'true-myth/result';

/** Exit statuses of the operators' commands. */
export const ExitStatus = {
	Done: 0,
	Refused: 1,
	Usage: 2,
	Conflict: 3,
	NotReachable: 4,
} as const;

export type ExitStatus = (typeof ExitStatus)[keyof typeof ExitStatus];

/** Included in the help text of each command. */
export const EXIT_STATUS_HELP = 'Exit status: 0 done, 1 refused, 2 usage, 3 version conflict, 4 node or store not reachable.';

/** A failed command. */
export type Failure = {
	readonly status: ExitStatus;
	/** What happened. */
	readonly message: string;
	/** One line per validation problem, difference or region. */
	readonly details: readonly string[];
	/** Suggested next step for the operator. */
	readonly next: string;
};

/** @returns The value of a result. On a failure, prints it and exits with its status. */
export function unwrapOrExit<Value>(result: Result<Value, Failure>, isJson: boolean): Value {
	if (result.isOk) {
		return result.value;
	}

	const {status, message, details, next} = result.error;
	if (isJson) {
		console.log(JSON.stringify({error: {message, details, next}}));
	}

	console.error([`error: ${message}`, ...details.map(detail => `  ${detail}`), next && `next: ${next}`].filter(Boolean).join('\n'));
	process.exit(status);
}
