/**
 * Description of a thrown value for a log line.
 */
import {inspect} from 'node:util';

/** Maximum length of a description or of a stack trace, in characters. */
const MAX_LENGTH = 2000;

/** What a log line says about a thrown value. */
export type ErrorFields = {
	readonly err: string;
	/** `undefined` if something else than an error was thrown. */
	readonly stack: string | undefined;
};

/** @returns A description of any thrown value; never throws itself. */
export function errorFields(error: unknown): ErrorFields {
	try {
		const [err, stack] = error instanceof Error ? [error.message || error.name, error.stack] : [inspect(error), undefined];
		return {err: err.slice(0, MAX_LENGTH), stack: stack?.slice(0, MAX_LENGTH)};
	} catch {
		return {err: 'a value that cannot be described', stack: undefined};
	}
}
