/**
 * Relay benchmark: the load generator as a process. Argument: `LoadOptions` as JSON.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {build} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {type LoadOptions, type LoadReport} from './relay-child.js';

const MICROSECONDS_PER_MS = 1000;
const eventPrefix = Buffer.from('data: {');

function countEvents(chunk: Uint8Array): number {
	const buffer = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
	let count = 0;
	for (let at = buffer.indexOf(eventPrefix); at !== -1; at = buffer.indexOf(eventPrefix, at + eventPrefix.length)) {
		count += 1;
	}

	return count;
}

async function runLoad(options: LoadOptions): Promise<LoadReport> {
	const pool = new Pool(options.url, {connections: options.callers, headersTimeout: 60_000, bodyTimeout: 60_000});
	const latencies = build({highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	const start = performance.now() + options.warmUpMs;
	const end = start + options.durationMs;
	let [requests, tokens, failures] = [0, 0, 0];
	const body = JSON.stringify({model: 'crew-advice', stream: options.isStreamed, messages: [{role: 'user', content: 'Is the north pond safe today? '.repeat(10)}]});
	const headers = {authorization: 'Bearer bench-key', 'content-type': 'application/json'};
	await Promise.all(Array.from({length: options.callers}, async () => {
		while (performance.now() < end) {
			const sentAt = performance.now();
			try {
				/* eslint-disable no-await-in-loop -- a caller sends its requests sequentially */
				const res = await pool.request({
					method: 'POST', path: '/v1/chat/completions', headers, body,
				});
				failures += res.statusCode === 200 ? 0 : 1;
				for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
					const now = performance.now();
					if (now > end) {
						break;
					}

					tokens += now >= start ? countEvents(chunk) : 0;
				}
				/* eslint-enable no-await-in-loop */
			} catch {
				failures += 1;
			}

			const now = performance.now();
			if (now >= start && now <= end) {
				requests += 1;
				latencies.recordValue(Math.round((now - sentAt) * MICROSECONDS_PER_MS));
			}
		}
	}));
	await pool.destroy();
	const seconds = options.durationMs / 1000;
	return {
		requestsPerSecond: requests / seconds,
		tokensPerSecond: tokens / seconds,
		p50Ms: latencies.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
		p99Ms: latencies.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
		failures,
	};
}

async function main(): Promise<void> {
	process.send!(await runLoad(JSON.parse(process.argv[2]!) as LoadOptions), () => {
		process.exit(0);
	});
}

// eslint-disable-next-line unicorn/prefer-top-level-await -- the bundle is CommonJS
void main();
