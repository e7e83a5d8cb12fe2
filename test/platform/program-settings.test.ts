import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {expect} from 'chai';
import {readProgramSettings} from '../../platform/program-settings.js';
import {defaultLocalitySettings} from '../../src/allocation/locality-rule.js';

const TIMEOUT_MS = 30_000;

describe('settings of the platform program', () => {
	const read = (flags: string[], env: NodeJS.ProcessEnv = {}) => readProgramSettings(flags, env);

	// Guards against decisions that change although nothing is set, and against a start that fails for a flag of another program.
	it('have the costs of the code by default, and ignore unknown flags', () => {
		for (const flags of [[], ['--no-such-flag', 'x']]) {
			expect(read(flags).unwrapOr(undefined)).to.deep.equal({explainKey: undefined, locality: defaultLocalitySettings});
		}
	});

	// Guards against settings that reach the wrong link, and flags that do not override the environment.
	it('come from flags and environment variables', () => {
		const settings = read(['--locality', 'never', '--link-delay-region-ms=12.5', '--link-price-data-centre-ms-per-gb', '7'], {
			REDWINGSPOOL_LOCALITY: 'free', REDWINGSPOOL_LINK_DELAY_DATA_CENTRE_MS: '3', REDWINGSPOOL_LINK_PRICE_REGION_MS_PER_GB: '0', REDWINGSPOOL_EXPLAIN_KEY: 'key-of-operators',
		});
		expect(settings.unwrapOr(undefined)).to.deep.equal({
			explainKey: 'key-of-operators',
			locality: {rule: 'never', links: {delayMs: {region: 12.5, dataCentre: 3}, priceMsPerGb: {region: 0, dataCentre: 7}}},
		});
	});

	// Guards against values that are taken for another number, or for a default.
	it('refuse each value that is not valid, by its name', () => {
		const invalid = [
			['locality', 'near'],
			['locality', ''],
			['link-delay-region-ms', '-1'],
			['link-delay-data-centre-ms', '3600001'],
			['link-price-region-ms-per-gb', '1e3'],
			['link-price-data-centre-ms-per-gb', ' '],
			['explain-key', ''],
		] as const;
		for (const [flag, text] of invalid) {
			const settings = read([`--${flag}=${text}`]);
			expect(settings.isErr && settings.error.join('\n')).to.match(new RegExp(`^--${flag} .* expected .*; got '${text}'$`, 'v'));
		}
	});

	// Guards against a process that starts with another rule than the operator meant, or ends without saying why.
	it('end the start with a usage message if one is not valid', async function () {
		this.timeout(TIMEOUT_MS);
		const child = spawn(process.execPath, ['--import', 'tsx', 'platform/main.ts', '--locality', 'near'], {stdio: ['ignore', 'ignore', 'pipe']});
		let output = '';
		child.stderr.setEncoding('utf8');
		child.stderr.on('data', (text: string) => {
			output += text;
		});
		await once(child, 'close');
		expect(child.exitCode).to.equal(2);
		expect(output).to.include('--locality (REDWINGSPOOL_LOCALITY): expected one of by-room, fixed, never, free; got \'near\'');
		expect(output).to.match(/usage/iv);
	});
});
