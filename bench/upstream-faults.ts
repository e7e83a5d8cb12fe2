/**
 * Faults of engine processes behind a complete node, over real sockets: how long the node keeps sending requests to an
 * engine that stalls or crashes, how the affected responses end, and when the engine receives requests again.
 */
import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ReadableSpan, type Span, type SpanProcessor} from '@opentelemetry/sdk-trace-node';
import {request} from 'undici';
import {SystemClock} from '../src/base/clock.js';
import {SpanName, Tracing} from '../src/base/trace.js';
import {Deployment, digestKey} from '../src/config/deployment.js';
import {subtreeSchema} from '../src/config/schema.js';
import {Node} from '../src/serve/node.js';
import {createStrictLog} from '../test/support/strict-log.js';

const ENGINE_COUNT = 3;
const CALLERS = 60;
/** Two engines have fewer slots than there are callers, so that the third is needed again after its fault. */
const MAX_CONCURRENCY = 24;
const TOKEN_INTERVAL_MS = 10;
const TOKENS = 20;
const WARM_UP_MS = 2000;
const FAULT_MS = 4000;
const RECOVERY_MS = 8000;
const location = {region: 'local', dataCentre: 'local-1'};

/** Measurements of a fault of an engine. */
export type FaultReport = {
	/** Time from the start of the fault to the last request that was sent to the engine during the fault, in ms. */
	readonly avoidedAfterMs: number;
	/** Number of requests in flight at the engine at the start of the fault. */
	readonly inFlightAtFault: number;
	/** Number of requests that were sent to the engine during the fault. */
	readonly sentDuringFault: number;
	/** Time from the end of the fault to the next request that was sent to the engine, in ms; `undefined` if there was none. */
	readonly returnedAfterMs: number | undefined;
	/**
	 * Number of requests that were sent to the engine after the fault: in the second from the first such request on, and in the
	 * last second of the measurement.
	 */
	readonly sentInFirstSecond: number;
	readonly sentInLastSecond: number;
	/** Number of responses that ended after the start of the fault: complete, truncated, and failed or refused before any output. */
	readonly whole: number;
	readonly brokenOff: number;
	readonly failed: number;
};

type SentRequest = {
	readonly upstream: string;
	readonly at: number;
};

/** Span processor that records when requests are sent to each upstream, and how many are in flight. */
class SendRecorder implements SpanProcessor {
	readonly sent: SentRequest[] = [];
	readonly #inFlightCounts = new Map<string, number>();

	/** @returns Number of requests in flight at an upstream. */
	inFlightAt(upstream: string): number {
		return this.#inFlightCounts.get(upstream) ?? 0;
	}

	onStart(span: Span): void {
		const {upstream} = span.attributes;
		if (span.name === SpanName.Upstream && typeof upstream === 'string') {
			this.sent.push({upstream, at: performance.now()});
			this.#inFlightCounts.set(upstream, this.inFlightAt(upstream) + 1);
		}
	}

	onEnd({name, attributes: {upstream}}: ReadableSpan): void {
		if (name === SpanName.Upstream && typeof upstream === 'string') {
			this.#inFlightCounts.set(upstream, this.inFlightAt(upstream) - 1);
		}
	}

	async forceFlush(): Promise<void> {
		// Nothing is exported.
	}

	async shutdown(): Promise<void> {
		// Nothing is exported.
	}
}

async function startEngine(port: number): Promise<{child: ChildProcess; port: number}> {
	const child = fork('bench/relay-engine.ts', [String(TOKEN_INTERVAL_MS), String(TOKENS), String(port)], {execArgv: ['--import', 'tsx']});
	const [url] = await once(child, 'message') as [string];
	return {child, port: Number(new URL(url).port)};
}

/** A node in front of three engine processes, under a steady load of streams. */
class FaultRun {
	static async start(): Promise<FaultRun> {
		const engines = await Promise.all(Array.from({length: ENGINE_COUNT}, async () => startEngine(0)));
		const recorder = new SendRecorder();
		const node = Node.create({
			clock: SystemClock.create(),
			log: createStrictLog(),
			host: '127.0.0.1',
			port: 0,
			...location,
			throwOnViolation: true,
			tracing: Tracing.create({target: recorder, sampleRatio: 1, instanceId: 'faults'}),
		});
		node.settings.apply(createDeployment(engines.map(({port}) => port)));
		await node.start();
		return new FaultRun(node, engines, recorder);
	}

	readonly #node: Node;
	readonly #engines: Array<{child: ChildProcess; port: number}>;
	readonly #recorder: SendRecorder;
	readonly #responses: Array<{at: number; outcome: 'whole' | 'brokenOff' | 'failed'}> = [];
	readonly #callers: Array<Promise<void>>;
	#isStopping = false;

	private constructor(node: Node, engines: Array<{child: ChildProcess; port: number}>, recorder: SendRecorder) {
		this.#node = node;
		this.#engines = engines;
		this.#recorder = recorder;
		this.#callers = Array.from({length: CALLERS}, async (_, caller) => this.#runCaller(caller));
	}

	/** Suspends the process of an engine for the duration of the fault. */
	async stall(index: number): Promise<FaultReport> {
		const {child} = this.#engines[index]!;
		return this.#measure(index, () => {
			child.kill('SIGSTOP');
		}, async () => {
			child.kill('SIGCONT');
		});
	}

	/** Kills the process of an engine during its streams, and starts a new one on the same port at the end of the fault. */
	async crash(index: number): Promise<FaultReport> {
		const {child, port} = this.#engines[index]!;
		return this.#measure(index, () => {
			child.kill('SIGKILL');
		}, async () => {
			this.#engines[index] = await startEngine(port);
		});
	}

	async stop(): Promise<void> {
		this.#isStopping = true;
		await Promise.all(this.#callers);
		await this.#node.stop();
		await Promise.all(this.#engines.map(async ({child}) => {
			const exit = once(child, 'exit');
			child.kill();
			await exit;
		}));
	}

	async #measure(index: number, beginFault: () => void, endFault: () => Promise<void>): Promise<FaultReport> {
		await sleep(WARM_UP_MS);
		const faultAt = performance.now();
		const inFlightAtFault = this.#recorder.inFlightAt(`team/engine-${index}`);
		beginFault();
		await sleep(FAULT_MS);
		const endedAt = performance.now();
		await endFault();
		const returnedAt = performance.now();
		await sleep(RECOVERY_MS);
		const now = performance.now();
		const times = this.#recorder.sent.filter(({upstream}) => upstream === `team/engine-${index}`).map(({at}) => at);
		const during = times.filter(at => at >= faultAt && at < endedAt);
		const after = times.filter(at => at >= returnedAt);
		const responses = this.#responses.filter(({at}) => at >= faultAt);
		const count = (outcome: 'whole' | 'brokenOff' | 'failed') => responses.filter(response => response.outcome === outcome).length;
		return {
			avoidedAfterMs: Math.max(0, ...during.map(at => at - faultAt)),
			inFlightAtFault,
			sentDuringFault: during.length,
			returnedAfterMs: after.length === 0 ? undefined : after[0]! - returnedAt,
			sentInFirstSecond: after.filter(at => at < after[0]! + 1000).length,
			sentInLastSecond: after.filter(at => at > now - 1000).length,
			whole: count('whole'),
			brokenOff: count('brokenOff'),
			failed: count('failed'),
		};
	}

	async #runCaller(caller: number): Promise<void> {
		for (let sent = 0; !this.#isStopping; sent++) {
			// eslint-disable-next-line no-await-in-loop -- a caller sends its requests sequentially
			const outcome = await this.#complete(`Is pond ${caller} safe today? Reading ${sent}.`);
			this.#responses.push({at: performance.now(), outcome});
		}
	}

	async #complete(content: string): Promise<'whole' | 'brokenOff' | 'failed'> {
		let isStarted = false;
		try {
			const res = await request(`http://${this.#node.address}/v1/chat/completions`, {
				method: 'POST',
				headers: {authorization: 'Bearer faults-key'},
				body: JSON.stringify({model: 'crew-advice', stream: true, messages: [{role: 'user', content}]}),
			});
			isStarted = res.statusCode === 200;
			const text = await res.body.text();
			if (!isStarted) {
				await sleep(TOKEN_INTERVAL_MS);
				return 'failed';
			}

			return text.endsWith('data: [DONE]\n\n') ? 'whole' : 'brokenOff';
		} catch {
			return isStarted ? 'brokenOff' : 'failed';
		}
	}
}

function createDeployment(ports: readonly number[]): Deployment {
	return Deployment.create(new Map([['team', subtreeSchema.parse({
		services: {
			advice: {
				kind: 'model', models: ['crew-advice'], tiers: [{name: 'advice', deadlineMs: 20_000}], defaultTier: 'advice',
			},
		},
		customers: {guest: {keyDigests: [digestKey('faults-key')]}},
		upstreams: Object.fromEntries(ports.map((port, index) => [`engine-${index}`, {
			service: 'advice', url: `http://127.0.0.1:${port}`, canResume: true, maxConcurrency: MAX_CONCURRENCY, ...location,
		}])),
	})]]));
}

/** Measures a stall of one engine and a crash of another. */
export async function measureUpstreamFaults(): Promise<{stall: FaultReport; crash: FaultReport}> {
	const run = await FaultRun.start();
	try {
		return {stall: await run.stall(0), crash: await run.crash(1)};
	} finally {
		await run.stop();
	}
}
