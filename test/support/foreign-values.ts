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

/** Texts that differ from the JSON of a sound value in some places: fields that are missing, repeated, or hold another value. */
export function foreignText(sound: Readonly<Record<string, unknown>>): fc.Arbitrary<string> {
	const names = Object.keys(sound);
	const replaced = fc.array(fc.tuple(fc.constantFrom(...names, '__proto__', 'unknown'), fc.option(foreignValueText())), {maxLength: 3}).map(changes => {
		const fields = names.map(name => `${JSON.stringify(name)}:${JSON.stringify(sound[name])}`);
		for (const [name, text] of changes) {
			const index = fields.findIndex(field => field.startsWith(`${JSON.stringify(name)}:`));
			if (index !== -1) {
				fields.splice(index, 1);
			}

			if (text !== null) {
				fields.push(`${JSON.stringify(name)}:${text}`);
			}
		}

		return `{${fields.join(',')}}`;
	});
	return fc.oneof({weight: 6, arbitrary: replaced}, foreignValueText(), fc.string({maxLength: 40}));
}
