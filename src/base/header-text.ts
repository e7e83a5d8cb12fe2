/**
 * Which texts can be written as HTTP header fields. Node.js throws at others, also at some that its parser accepts.
 */

const namePattern = /^[\w!#$%\u0026'*+\-.`\|~^]+$/v;
const valuePattern = /^[\t\u0020-\u007E\u0080-\u00FF]*$/v;

/** @returns Whether a header can have this name. */
export function isHeaderName(text: string): boolean {
	return namePattern.test(text);
}

/** @returns Whether a header can have this value. */
export function isHeaderValue(text: string): boolean {
	return valuePattern.test(text);
}
