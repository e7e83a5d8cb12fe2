/**
 * Parses `/services/<service>/<path>` and normalizes the path, so that a declared operation cannot be bypassed by an
 * equivalent spelling.
 */
import Result, {ok} from 'true-myth/result';
import {ErrorKind, SchedulerError} from '../base/errors.js';

/** Service name and normalized path of a request to a plain service. */
export type ServicePath = {
	readonly service: string;
	/** Path and query below the service, starting with a slash. */
	readonly path: string;
};

/** Characters that RFC 3986 allows in a path, and percent-encodings. */
const pathPattern = /^(?:[\w!$'\(\)*+,\-.\/:;=@~\u0026]|%[\dA-Fa-f]{2})*$/v;
const encodedPattern = /%[\dA-Fa-f]{2}/gv;
const unreservedPattern = /^[\w\-.~]$/v;
/** An encoded slash, backslash or control character; servers disagree on whether these separate segments. */
const ambiguousPattern = /%(?:2f|5c|[01][\da-f]|7f)/iv;

/** @param url - The request target as received. */
export function parseServicePath(url: string): Result<ServicePath, SchedulerError> {
	const [rawPath, ...query] = url.split('?');
	if (!pathPattern.test(rawPath!)) {
		return rejectPath('The path holds a character that must be percent-encoded, or an invalid percent-encoding.');
	}

	if (ambiguousPattern.test(rawPath!)) {
		return rejectPath('The path holds an encoded separator or control character.');
	}

	const path = rawPath!.replaceAll(encodedPattern, decodeUnreserved);
	const [, prefix, service, ...segments] = path.split('/');
	if (prefix !== 'services' || service === undefined || service === '') {
		return Result.err(SchedulerError.create(ErrorKind.NotFound));
	}

	if ([service, ...segments].some(segment => segment === '.' || segment === '..')) {
		return rejectPath('The path holds a dot segment.');
	}

	const search = query.length > 0 ? `?${query.join('?')}` : '';
	return ok({service, path: `/${segments.join('/')}${search}`});
}

/** Decodes unreserved characters (RFC 3986 section 6.2.2.2); other percent-encodings are converted to upper case. */
function decodeUnreserved(encoded: string): string {
	const character = String.fromCodePoint(Number.parseInt(encoded.slice(1), 16));
	return unreservedPattern.test(character) ? character : encoded.toUpperCase();
}

function rejectPath(detail: string): Result<ServicePath, SchedulerError> {
	return Result.err(SchedulerError.create(ErrorKind.MalformedRequest, detail));
}
