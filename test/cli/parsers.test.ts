import {expect} from 'chai';
import fc from 'fast-check';
import {readSettings} from '../../src/base/settings.js';
import {bootstrapSettings, clientSettings} from '../../src/cli/config-client.js';
import {applyEdits, parseEdit, parseSubtree} from '../../src/cli/config-files.js';

const yamlText = fc.string({unit: fc.constantFrom('a', '1', ' ', '\n', ':', '-', '[', ']', '{', '}', '&', '*', '!', '"', '#', '.', '=', '|', '%', '@', '\t'), maxLength: 30});

// Guards against arguments and files that make a command exit with a stack trace instead of an error message.
describe('parsers of commands', () => {
	it('parse any settings file or report an error', () => {
		fc.assert(fc.property(yamlText, text => {
			const result = parseSubtree(text, 'file.yaml');
			expect(result.isOk || result.error.message).to.not.equal('');
		}), {seed: 1, numRuns: 5000});
	});

	it('apply any edit or report an error', () => {
		fc.assert(fc.property(yamlText, yamlText, (path, value) => {
			const edit = parseEdit(`${path}=${value}`);
			if (edit !== undefined) {
				const result = applyEdits({customers: {guest: {keyDigests: ['x']}}}, [edit]);
				expect(result.isOk || result.error.message).to.not.equal('');
			}
		}), {seed: 1, numRuns: 5000});
	});

	it('parse any flags or report each invalid one', () => {
		fc.assert(fc.property(fc.string(), fc.string(), (address, key) => {
			for (const settings of [clientSettings, bootstrapSettings]) {
				const result = readSettings(settings, {
					address, team: key, 'operator-key': key, 'bootstrap-key': key,
				}, {});
				expect(result.isOk ? ['none'] : result.error).to.not.deep.equal([]);
			}
		}), {seed: 1, numRuns: 2000});
	});
});
