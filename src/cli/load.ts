/**
 * `redwingspool load`: generates load on a deployment on loopback and reports latencies.
 */
import process from 'node:process';
import {SingleBar} from 'cli-progress';
import {defineCommand} from 'citty';
import {z} from 'zod';
import {SystemClock} from '../base/clock.js';
import {Random} from '../base/random.js';
import {type SettingDefinitions, toArguments} from '../base/settings.js';
import {type LoadResult, runLoad} from './load-run.js';
import {readSettingsOrExit} from './read-settings-or-exit.js';

const MS_PER_SECOND = 1000;

const numberSchema = (initial: string, max: number) => z.string().default(initial)
	.transform(Number).refine(value => value > 0 && value <= max, `expected a number over 0, at most ${max}`);

const loadSettings = {
	url: {
		description: 'Origin of the deployment, on loopback',
		schema: z.string('expected a URL').regex(/^https?:\/\/(?:127\.0\.0\.1|localhost|\[::1\])(?::\d{1,5})?$/v, 'expected the origin of a server on loopback'),
		valueHint: 'URL',
	},
	'api-key': {description: 'API key of a customer', schema: z.string('expected an API key'), valueHint: 'KEY'},
	model: {description: 'Model to call', schema: z.string('expected a model'), valueHint: 'NAME'},
	rate: {description: 'Requests per second', schema: numberSchema('10', 10_000), valueHint: 'NUMBER'},
	duration: {description: 'Seconds to send for', schema: numberSchema('10', 3600), valueHint: 'SECONDS'},
	tiers: {
		description: 'Tiers, separated by commas and chosen uniformly at random', schema: z.string().default('').transform(text => text.split(',').filter(Boolean)), valueHint: 'NAMES',
	},
	'prompt-size': {description: 'Characters of a prompt', schema: numberSchema('400', 1_000_000), valueHint: 'NUMBER'},
	'answer-tokens': {description: 'Tokens of an answer', schema: numberSchema('50', 100_000), valueHint: 'NUMBER'},
	seed: {description: 'Seed of the random number generator', schema: numberSchema('1', 2_147_483_647), valueHint: 'NUMBER'},
} as const satisfies SettingDefinitions;

/** The `load` sub-command. */
export const loadCommand = defineCommand({
	meta: {name: 'load', description: 'Generate load on a deployment on loopback and report latencies'},
	args: {...toArguments(loadSettings), json: {type: 'boolean', description: 'Print the report as JSON'}},
	async run({args}) {
		const settings = readSettingsOrExit(loadSettings, args);
		const expected = Math.ceil(settings.rate * settings.duration);
		const bar = new SingleBar({format: 'sent {value} of about {total} [{bar}] {eta_formatted}', stream: process.stderr});
		bar.start(expected, 0);
		const result = await runLoad({
			url: settings.url,
			apiKey: settings['api-key'],
			model: settings.model,
			requestsPerSecond: settings.rate,
			durationMs: settings.duration * MS_PER_SECOND,
			tiers: settings.tiers,
			promptCharacters: Math.ceil(settings['prompt-size']),
			answerTokens: Math.ceil(settings['answer-tokens']),
			clock: SystemClock.create(),
			random: Random.create(settings.seed),
			onSent(count) {
				bar.update(count);
			},
		});
		bar.stop();
		console.log(args.json ? JSON.stringify(result) : formatReport(result));
	},
});

function formatReport(result: LoadResult): string {
	const answers = Object.entries(result.answers).map(([status, count]) => `${status}: ${count}`).join(', ');
	const line = (title: string, values: LoadResult['wholeMs']) => `${title}: p50 ${values.p50} ms, p95 ${values.p95} ms, p99 ${values.p99} ms, max ${values.max} ms`;
	return [`sent: ${result.sent}`, `answers: ${answers}`, line('first part', result.firstPartMs), line('whole answer', result.wholeMs)].join('\n');
}
