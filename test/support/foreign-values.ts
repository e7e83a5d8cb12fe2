/**
 * Values that another writer or process may leave where the program expects one of its own formats.
 */
import fc from 'fast-check';

const DEPTH = 30_000;
const deepTexts = [`${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`, `${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}`];
const oddNumbers = ['1e999', '-1e999', '1e400', '9007199254740993', '-0', '0', '-1', '0.5', '2147483648', '65536', '1e20'];
const oddStrings = ['', '\0', '\u{D800}', 'a\nb', '\u007F', 'é', '✓', '__proto__', 'constructor', '10.0.0.1:70000', '10.0.0.1:0', 'host:80', '2024-99-99T99:99:99Z'];
const oddTexts = [...deepTexts, ...oddNumbers, ...oddStrings.map(text => JSON.stringify(text)), 'null', 'true', '[]', '{}', '{"__proto__":{"a":1}}', '[null]', '[[]]', '[{}]'];

/** JSON texts of single values, odd ones among them. */
export function foreignValueText(): fc.Arbitrary<string> {
	return fc.oneof({weight: 3, arbitrary: fc.constantFrom(...oddTexts)}, fc.json({maxDepth: 3}));
}

/** Stands for a replaced value in a text; no sound value contains it. */
const PLACEHOLDER = '\uE000';

/** Texts that differ from the JSON of a sound value in some places: fields that are missing, unknown, or hold another value. */
export function foreignText(sound: unknown): fc.Arbitrary<string> {
	const places = placesIn(sound);
	const change = fc.tuple(fc.nat(), fc.option(foreignValueText()), fc.boolean());
	const changed = fc.array(change, {minLength: 1, maxLength: 3}).map(changes => {
		const value: unknown = structuredClone(sound);
		const replacements: string[] = [];
		for (const [index, text, isAdded] of changes) {
			const place = places[index % places.length]!;
			const parent = parentOf(place, value);
			if (parent !== undefined) {
				replacements.push(text ?? 'null');
				const name = isAdded && !Array.isArray(parent) ? 'unknown' : place.at(-1)!;
				parent[name] = text === null ? undefined : `${PLACEHOLDER}${replacements.length - 1}`;
			}
		}

		return JSON.stringify(value).replaceAll(/"\u{E000}(?<index>\d+)"/gv, (_match, index: string) => replacements[Number(index)]!);
	});
	return fc.oneof({weight: 8, arbitrary: changed}, foreignValueText(), fc.string({maxLength: 40}));
}

/** @returns The object or list that holds a place, unless an earlier change removed it. */
function parentOf(place: readonly string[], value: unknown): Record<string, unknown> | undefined {
	let parent = value;
	for (const name of place.slice(0, -1)) {
		parent = typeof parent === 'object' && parent !== null ? (parent as Record<string, unknown>)[name] : undefined;
	}

	return typeof parent === 'object' && parent !== null ? parent as Record<string, unknown> : undefined;
}

/** @returns The paths of all fields and elements, at any depth. */
function placesIn(value: unknown): string[][] {
	if (typeof value !== 'object' || value === null) {
		return [];
	}

	return Object.entries(value).flatMap(([name, child]) => [[name], ...placesIn(child).map(place => [name, ...place])]);
}
