import {expect} from 'chai';
import {z} from 'zod';
import {environmentName, readSettings} from '../../src/base/settings.js';
import {nodeSettings} from '../../src/serve/node-settings.js';

const definitions = {
	'queue-limit': {
		description: 'Test setting',
		schema: z.string().default('5').refine(text => /^\d+$/v.test(text), 'expected a whole number').transform(Number),
		valueHint: 'N',
	},
};

describe('settings', () => {
	it('prefers flags to environment variables and environment variables to defaults', () => {
		const env = {REDWINGSPOOL_QUEUE_LIMIT: '7'};
		expect(readSettings(definitions, {'queue-limit': '9'}, env).unwrapOr({'queue-limit': 0})).to.deep.equal({'queue-limit': 9});
		expect(readSettings(definitions, {}, env).unwrapOr({'queue-limit': 0})).to.deep.equal({'queue-limit': 7});
		expect(readSettings(definitions, {}, {}).unwrapOr({'queue-limit': 0})).to.deep.equal({'queue-limit': 5});
	});

	it('reports each invalid setting with its environment variable, the expected form and the actual value', () => {
		const result = readSettings(definitions, {'queue-limit': 'many'}, {});
		expect(result.isErr && result.error).to.deep.equal([
			'--queue-limit (REDWINGSPOOL_QUEUE_LIMIT): expected a whole number; got \'many\'',
		]);
	});

	it('reports each missing setting of a node', () => {
		const result = readSettings(nodeSettings, {}, {});
		const text = result.isErr ? result.error.join('\n') : '';
		expect(text).to.contain('--region').and.to.contain('--data-centre').and.to.contain('it is missing');
	});

	it('derives the name of the environment variable from the flag', () => {
		expect(environmentName('data-centre')).to.equal('REDWINGSPOOL_DATA_CENTRE');
	});
});
