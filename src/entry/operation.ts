/**
 * Resolves which declared operation of a plain service a request calls.
 */
import {type OperationSettings, type PlainServiceSettings} from '../config/schema.js';

/** Settings of an operation that affect scheduling. */
export type Operation = {
	readonly isIdempotent: boolean;
	readonly tier: string | undefined;
};

/**
 * @param settings - Settings of the service.
 * @param method - HTTP method.
 * @param url - Path and query below the service.
 * @returns The first declared operation that matches. If none does, GET and HEAD are idempotent and other methods are not.
 */
export function resolveOperation(settings: PlainServiceSettings, method: string, url: string): Operation {
	const [path] = url.split('?', 1);
	const declared = settings.operations.find(operation => operation.method === method && matches(operation, path!));
	return declared === undefined
		? {isIdempotent: method === 'GET' || method === 'HEAD', tier: undefined}
		: {isIdempotent: declared.idempotent, tier: declared.tier};
}

function matches(operation: OperationSettings, path: string): boolean {
	// Many servers ignore empty segments, so `/holds/` must match an operation declared for `/holds`.
	const pattern = operation.path.split('/').filter(Boolean);
	const segments = path.split('/').filter(Boolean);
	if (pattern.at(-1) === '**') {
		pattern.pop();
		segments.length = Math.min(segments.length, pattern.length);
	}

	return pattern.length === segments.length
		&& pattern.every((part, index) => part === '*' || part === segments[index]);
}
