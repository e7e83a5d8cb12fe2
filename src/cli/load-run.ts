/**
 * Open-loop load of completions requests on a deployment.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {type Clock} from '../base/clock.js';
import {type Random} from '../base/random.js';

const MICROSECONDS_PER_MS = 1000;
const MAX_TRACKED_MICROSECONDS = 3_600_000_000;
const MS_PER_SECOND = 1000;

/** What load is sent. */
export type LoadOptions = {
	/** Origin of the deployment. */
	readonly url: string;
	readonly apiKey: string;
	readonly model: string;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	/** Tiers, drawn evenly; the service's default tier where empty. */
	readonly tiers: readonly string[];
	readonly promptCharacters: number;
	readonly answerTokens: number;
	readonly clock: Clock;
	readonly random: Random;
	/** Called about each request that was sent. */
	readonly onSent: (count: number) => void;
};

/** Percentiles of a duration, in ms. */
export type Percentiles = {readonly p50: number; readonly p95: number; readonly p99: number; readonly max: number};

/** What a load run saw. */
export type LoadResult = {
	readonly sent: number;
	/** Answers by HTTP status, or `lost` where the answer broke off. */
	readonly answers: Readonly<Record<string, number>>;
	/** From sending to the first part of the answer. */
	readonly firstPartMs: Percentiles;
	/** From sending to the end of the answer. */
	readonly wholeMs: Percentiles;
};

type Recorder = {
	readonly answers: Record<string, number>;
	readonly firstPart: Histogram;
	readonly whole: Histogram;
};

/** Sends requests at exponential intervals, whether or not earlier ones were answered, and waits for all answers. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
	const {clock, random} = options;
	const agent = new Agent();
	const recorder: Recorder = {answers: {}, firstPart: createHistogram(), whole: createHistogram()};
	const running: Array<Promise<void>> = [];
	const start = clock.now();
	let nextAt = start;
	while (nextAt < start + options.durationMs) {
		const wait = nextAt - clock.now();
		if (wait > 0) {
			// eslint-disable-next-line no-await-in-loop -- paced
			await clock.sleep(wait);
		}

		running.push(sendOne(options, agent, recorder));
		options.onSent(running.length);
		nextAt += random.exponential(MS_PER_SECOND / options.requestsPerSecond);
	}

	await Promise.all(running);
	await agent.destroy();
	return {
		sent: running.length, answers: recorder.answers, firstPartMs: percentilesOf(recorder.firstPart), wholeMs: percentilesOf(recorder.whole),
	};
}

async function sendOne(options: LoadOptions, agent: Agent, recorder: Recorder): Promise<void> {
	const {clock, random, tiers} = options;
	const sentAt = clock.now();
	let outcome = 'lost';
	try {
		const res = await request(`${options.url}/v1/chat/completions`, {
			method: 'POST',
			dispatcher: agent,
			headers: {
				authorization: `Bearer ${options.apiKey}`,
				'content-type': 'application/json',
				...(tiers.length > 0 && {'redwingspool-tier': random.pick(tiers)}),
			},
			body: JSON.stringify({
				model: options.model, stream: true, max_tokens: options.answerTokens, messages: [{role: 'user', content: 'x'.repeat(options.promptCharacters)}],
			}),
		});
		let isFirst = true;
		for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
			if (isFirst && chunk.byteLength > 0) {
				isFirst = false;
				record(recorder.firstPart, clock.now() - sentAt);
			}
		}

		record(recorder.whole, clock.now() - sentAt);
		outcome = String(res.statusCode);
	} catch {
		// Counted as lost.
	}

	recorder.answers[outcome] = (recorder.answers[outcome] ?? 0) + 1;
}

function createHistogram(): Histogram {
	return build({highestTrackableValue: MAX_TRACKED_MICROSECONDS, numberOfSignificantValueDigits: 3});
}

function record(histogram: Histogram, ms: number): void {
	histogram.recordValue(Math.min(MAX_TRACKED_MICROSECONDS, Math.round(ms * MICROSECONDS_PER_MS)));
}

function percentilesOf(histogram: Histogram): Percentiles {
	const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
	return {
		p50: at(50), p95: at(95), p99: at(99), max: histogram.maxValue / MICROSECONDS_PER_MS,
	};
}
