/**
 * Validates untrusted subtrees and computes differences between subtrees.
 */
import {createHash} from 'node:crypto';
import microdiff from 'microdiff';
import Result, {ok} from 'true-myth/result';
import {type Subtree, subtreeSchema} from './schema.js';

/** A validation error in a subtree. */
export type Problem = {
	/** Path of the invalid value, such as `customers.guest.keyDigests[0]`; empty for the subtree itself. */
	readonly path: string;
	readonly message: string;
};

/** One difference between two subtrees. */
export type Change = {
	readonly path: string;
	readonly type: 'add' | 'remove' | 'change';
	readonly from?: unknown;
	readonly to?: unknown;
};

const MAX_PROBLEMS = 100;
const changeTypes = {CREATE: 'add', REMOVE: 'remove', CHANGE: 'change'} as const;

/**
 * @param input - Parsed JSON or YAML.
 * @returns The subtree with defaults applied, or its validation errors by path.
 */
export function checkSubtree(input: unknown): Result<Subtree, readonly Problem[]> {
	const parsed = subtreeSchema.safeParse(input);
	if (parsed.success) {
		return ok(parsed.data);
	}

	return Result.err(parsed.error.issues.slice(0, MAX_PROBLEMS).map(({path, message}) => ({path: formatPath(path), message})));
}

/** @returns The subtree parsed from a stored JSON body, or its validation errors. */
export function checkBody(body: string): Result<Subtree, readonly Problem[]> {
	try {
		return checkSubtree(JSON.parse(body));
	} catch {
		return Result.err([{path: '', message: 'expected JSON'}]);
	}
}

/** @returns The differences between two subtrees, by path. */
export function compareSubtrees(from: Record<string, unknown>, to: Record<string, unknown>): Change[] {
	return microdiff(from, to).map(difference => ({
		path: formatPath(difference.path),
		type: changeTypes[difference.type],
		...('oldValue' in difference && {from: difference.oldValue as unknown}),
		...('value' in difference && {to: difference.value as unknown}),
	}));
}

/** @returns The SHA-256 digest of a body, in hex. */
export function digestBody(body: string): string {
	return createHash('sha256').update(body).digest('hex');
}

function formatPath(path: readonly PropertyKey[]): string {
	let text = '';
	for (const segment of path) {
		const dot = text === '' ? '' : '.';
		text += typeof segment === 'number' ? `[${segment}]` : `${dot}${String(segment)}`;
	}

	return text;
}
