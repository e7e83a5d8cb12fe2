/**
 * Which texts can be written into the head of an HTTP message. Node.js throws at others, also at some that its parser reads.
 */

const namePattern = /^[\w!#$%\u0026'*+\-.`\|~^]+$/v;
const valuePattern = /^[\t\u0020-\u007E\u0080-\u00FF]*$/v;
const targetPattern = /^[\u0021-\u00FF]+$/v;

/** @returns Whether a header can have this name. */
export function isHeaderName(text: string): boolean {
	return namePattern.test(text);
}

/** @returns Whether a header can have this value. */
export function isHeaderValue(text: string): boolean {
	return valuePattern.test(text);
}

/** @returns Whether a request can have this target. */
export function isRequestTarget(text: string): boolean {
	return targetPattern.test(text);
}
