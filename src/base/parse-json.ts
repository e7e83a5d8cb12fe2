/**
 * Parsing of untrusted JSON.
 */

/** @returns The parsed value, or `undefined` if the text is not valid JSON. */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
