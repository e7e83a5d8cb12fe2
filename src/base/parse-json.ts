/**
 * JSON from outside, which may be anything.
 */

/** @returns The value, or `undefined` where the text is no JSON. */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
