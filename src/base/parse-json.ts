/**
 * Parsing of untrusted JSON.
 */
import Result, {ok} from 'true-myth/result';
import type * as z from 'zod/mini';

/** Problems that are described; a text with as many as it has entries would give a line of its size. */
const MAX_DESCRIBED_PROBLEMS = 3;

/** @returns The parsed value, or `undefined` if the text is not valid JSON. */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/**
 * Parses a text and checks it against a schema.
 *
 * @returns The value without fields that the schema does not name, or why it is not usable.
 */
export function parseJsonAs<Value>(text: string, schema: z.ZodMiniType<Value>): Result<Value, string> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		// The error quotes the text, which may hold secrets.
		return Result.err('not valid JSON');
	}

	const parsed = schema.safeParse(value);
	return parsed.success ? ok(parsed.data) : Result.err(describeIssues(parsed.error.issues));
}

/** @returns The first problems that a schema found, with the paths of the fields. */
export function describeIssues(issues: readonly z.core.$ZodIssue[]): string {
	const texts = issues.slice(0, MAX_DESCRIBED_PROBLEMS).map(({path, message}) => `${path.join('.')}: ${message}`);
	return issues.length > MAX_DESCRIBED_PROBLEMS ? `${texts.join('; ')}; ${issues.length - MAX_DESCRIBED_PROBLEMS} more` : texts.join('; ');
}
