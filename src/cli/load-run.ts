/**
 * Open-loop load generator for completions requests.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {type Clock} from '../base/clock.js';
import {type Random} from '../base/random.js';

const MICROSECONDS_PER_MS = 1000;
const MAX_TRACKED_MICROSECONDS = 3_600_000_000;
const MS_PER_SECOND = 1000;

/** Options of a load run. */
export type LoadOptions = {
	/** Origin of the deployment under load. */
	readonly url: string;
	readonly apiKey: string;
	readonly model: string;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	/** Tiers, chosen uniformly at random; if empty, the service's default tier is used. */
	readonly tiers: readonly string[];
	readonly promptCharacters: number;
	readonly answerTokens: number;
	readonly clock: Clock;
	readonly random: Random;
	/** Called after each request is started, with the number of requests so far. */
	readonly onSent: (count: number) => void;
};

/** Percentiles of a latency, in ms. */
export type Percentiles = {readonly p50: number; readonly p95: number; readonly p99: number; readonly max: number};

/** Results of a load run. */
export type LoadResult = {
	readonly sent: number;
	/** Number of responses by HTTP status; `lost` counts incomplete and missing responses. */
	readonly answers: Readonly<Record<string, number>>;
	/** Latency from sending the request to the first chunk of the response. */
	readonly firstPartMs: Percentiles;
	/** Latency from sending the request to the end of the response. */
	readonly wholeMs: Percentiles;
};

type Recorder = {
	readonly answers: Record<string, number>;
	readonly firstPart: Histogram;
	readonly whole: Histogram;
};

/**
 * Sends requests at exponentially distributed intervals, regardless of whether earlier ones have completed, and waits for
 * all responses.
 */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
	const {clock, random} = options;
	const agent = new Agent();
	const recorder: Recorder = {answers: {}, firstPart: createHistogram(), whole: createHistogram()};
	const pendingRequests: Array<Promise<void>> = [];
	const start = clock.now();
	let nextAt = start;
	while (nextAt < start + options.durationMs) {
		const wait = nextAt - clock.now();
		if (wait > 0) {
			// eslint-disable-next-line no-await-in-loop -- requests are paced
			await clock.sleep(wait);
		}

		pendingRequests.push(sendRequest(options, agent, recorder));
		options.onSent(pendingRequests.length);
		nextAt += random.exponential(MS_PER_SECOND / options.requestsPerSecond);
	}

	await Promise.all(pendingRequests);
	await agent.destroy();
	return {
		sent: pendingRequests.length, answers: recorder.answers, firstPartMs: percentilesOf(recorder.firstPart), wholeMs: percentilesOf(recorder.whole),
	};
}

async function sendRequest(options: LoadOptions, agent: Agent, recorder: Recorder): Promise<void> {
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
		// The outcome stays `lost`.
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
	const valueAt = (percentile: number) => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
	return {
		p50: valueAt(50), p95: valueAt(95), p99: valueAt(99), max: histogram.maxValue / MICROSECONDS_PER_MS,
	};
}
