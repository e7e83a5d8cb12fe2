/**
 * Faults of engine processes behind one whole node, over real sockets: how long the node goes on sending requests to an
 * engine that stalls or dies, what becomes of the answers, and when the engine receives requests again.
 */
import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ReadableSpan, type Span, type SpanProcessor} from '@opentelemetry/sdk-trace-node';
import {request} from 'undici';
import {SystemClock} from '../src/base/clock.js';
import {Log} from '../src/base/log.js';
import {SpanName, Tracing} from '../src/base/trace.js';
import {Deployment, digestKey} from '../src/config/deployment.js';
import {subtreeSchema} from '../src/config/schema.js';
import {Node} from '../src/serve/node.js';

const ENGINE_COUNT = 3;
const CALLERS = 60;
/** Two engines have places for less than all callers, so that the third is needed again when its fault is over. */
const MAX_CONCURRENCY = 24;
const TOKEN_INTERVAL_MS = 10;
const TOKENS = 20;
const WARM_UP_MS = 2000;
const FAULT_MS = 4000;
const RETURN_MS = 8000;
const location = {region: 'local', dataCentre: 'local-1'};

/** What was seen of one fault of one engine. */
export type FaultReport = {
	/** From the fault until the last request was sent to the engine while the fault lasted, in ms. */
	readonly avoidedAfterMs: number;
	/** Requests in flight at the engine when the fault began. */
	readonly inFlightAtFault: number;
	/** Requests that were sent to the engine while the fault lasted. */
	readonly sentDuringFault: number;
	/** From the end of the fault until the next request was sent to the engine, in ms; `undefined` when there was none. */
	readonly returnedAfterMs: number | undefined;
	/** Requests sent to the engine in the first and in the last second after its return. */
	readonly sentInFirstSecond: number;
	readonly sentInLastSecond: number;
	/** Answers that ended from the fault on: whole, broken off after their start, and refused or failed before. */
	readonly whole: number;
	readonly brokenOff: number;
	readonly failed: number;
};

type Sent = {
	readonly upstream: string;
	readonly at: number;
};

/** Records when requests are sent to which upstream. */
class SentRecorder implements SpanProcessor {
	readonly sent: Sent[] = [];
	readonly #open = new Map<string, number>();

	/** Requests in flight at an upstream. */
	openAt(upstream: string): number {
		return this.#open.get(upstream) ?? 0;
	}

	onStart(span: Span): void {
		const {upstream} = span.attributes;
		if (span.name === SpanName.Upstream && typeof upstream === 'string') {
			this.sent.push({upstream, at: performance.now()});
			this.#open.set(upstream, this.openAt(upstream) + 1);
		}
	}

	onEnd({name, attributes: {upstream}}: ReadableSpan): void {
		if (name === SpanName.Upstream && typeof upstream === 'string') {
			this.#open.set(upstream, this.openAt(upstream) - 1);
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

/** One node before three engine processes, under a steady load of streams. */
class FaultRun {
	static async start(): Promise<FaultRun> {
		const engines = await Promise.all(Array.from({length: ENGINE_COUNT}, async () => startEngine(0)));
		const recorder = new SentRecorder();
		const node = Node.create({
			clock: SystemClock.create(),
			log: Log.create('silent'),
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
	readonly #recorder: SentRecorder;
	readonly #answers: Array<{at: number; end: 'whole' | 'brokenOff' | 'failed'}> = [];
	readonly #callers: Array<Promise<void>>;
	#isStopping = false;

	private constructor(node: Node, engines: Array<{child: ChildProcess; port: number}>, recorder: SentRecorder) {
		this.#node = node;
		this.#engines = engines;
		this.#recorder = recorder;
		this.#callers = Array.from({length: CALLERS}, async (_, caller) => this.#call(caller));
	}

	/** Freezes the engine's process, and lets it run on after a while. */
	async stall(index: number): Promise<FaultReport> {
		const {child} = this.#engines[index]!;
		return this.#measure(index, () => {
			child.kill('SIGSTOP');
		}, async () => {
			child.kill('SIGCONT');
		});
	}

	/** Ends the engine's process in the middle of its streams, and starts another on its port after a while. */
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

	async #measure(index: number, begin: () => void, end: () => Promise<void>): Promise<FaultReport> {
		await sleep(WARM_UP_MS);
		const faultAt = performance.now();
		const inFlightAtFault = this.#recorder.openAt(`team/engine-${index}`);
		begin();
		await sleep(FAULT_MS);
		const endedAt = performance.now();
		await end();
		const returnedAt = performance.now();
		await sleep(RETURN_MS);
		const now = performance.now();
		const times = this.#recorder.sent.filter(({upstream}) => upstream === `team/engine-${index}`).map(({at}) => at);
		const during = times.filter(at => at >= faultAt && at < endedAt);
		const after = times.filter(at => at >= returnedAt);
		const answers = this.#answers.filter(({at}) => at >= faultAt);
		const count = (end: 'whole' | 'brokenOff' | 'failed') => answers.filter(answer => answer.end === end).length;
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

	async #call(caller: number): Promise<void> {
		for (let sent = 0; !this.#isStopping; sent++) {
			// eslint-disable-next-line no-await-in-loop -- one request of a caller after the other
			const end = await this.#complete(`Is pond ${caller} safe today? Reading ${sent}.`);
			this.#answers.push({at: performance.now(), end});
		}
	}

	async #complete(content: string): Promise<'whole' | 'brokenOff' | 'failed'> {
		let isBegun = false;
		try {
			const res = await request(`http://${this.#node.address}/v1/chat/completions`, {
				method: 'POST',
				headers: {authorization: 'Bearer faults-key'},
				body: JSON.stringify({model: 'crew-advice', stream: true, messages: [{role: 'user', content}]}),
			});
			isBegun = res.statusCode === 200;
			const text = await res.body.text();
			if (!isBegun) {
				await sleep(TOKEN_INTERVAL_MS);
				return 'failed';
			}

			return text.endsWith('data: [DONE]\n\n') ? 'whole' : 'brokenOff';
		} catch {
			return isBegun ? 'brokenOff' : 'failed';
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

/** Stalls one engine and crashes another. */
export async function measureUpstreamFaults(): Promise<{stall: FaultReport; crash: FaultReport}> {
	const run = await FaultRun.start();
	try {
		return {stall: await run.stall(0), crash: await run.crash(1)};
	} finally {
		await run.stop();
	}
}
