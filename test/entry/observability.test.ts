import {once} from 'node:events';
import {createServer} from 'node:http';
import {Writable} from 'node:stream';
import {type AddressInfo} from 'node:net';
import {InMemorySpanExporter, SimpleSpanProcessor} from '@opentelemetry/sdk-trace-node';
import {expect} from 'chai';
import {request} from 'undici';
import {SystemClock} from '../../src/base/clock.js';
import {Log} from '../../src/base/log.js';
import {Tracing} from '../../src/base/trace.js';
import {Node} from '../../src/serve/node.js';
import {MemoryTable} from '../../src/store/memory-table.js';
import {BookingStandIn} from '../../standins/booking.js';
import {EngineStandIn} from '../../standins/engine.js';
import {createDeployment, testApiKey} from '../support/dev-cluster.js';
import {sendRaw} from '../support/raw-http.js';

const traceId = '0af7651916cd43dd8448eb211c80319c';
const traceparent = `00-${traceId}-b7ad6b7169203331-01`;

describe('observability', () => {
	const exporter = new InMemorySpanExporter();
	const lines: Array<Record<string, unknown>> = [];
	const logStream = new Writable({
		write(line: Uint8Array, _encoding, done) {
			lines.push(JSON.parse(String(line)) as Record<string, unknown>);
			done();
		},
	});
	let node: Node;
	let booking: BookingStandIn;
	let engine: EngineStandIn;

	before(async () => {
		booking = await BookingStandIn.start();
		engine = await EngineStandIn.start({tokenIntervalMs: 1, defaultTokens: 8});
		node = Node.create({
			clock: SystemClock.create(),
			log: Log.create('debug', logStream),
			platform: {table: MemoryTable.create()},
			host: '127.0.0.1',
			port: 0,
			region: 'local',
			dataCentre: 'local-1',
			throwOnViolation: true,
			tracing: Tracing.create({target: new SimpleSpanProcessor(exporter), sampleRatio: 0, instanceId: 'test'}),
		});
		node.settings.apply(createDeployment([engine], booking, true));
		await node.start();
	});

	after(async () => {
		await node.stop();
		await Promise.all([booking, engine].map(async standIn => standIn.stop()));
	});

	async function send(method: 'GET' | 'POST', path: string, body?: string, headers: Record<string, string> = {}): Promise<string> {
		const res = await request(`http://${node.address}${path}`, {method, body, headers: {authorization: `Bearer ${testApiKey}`, ...headers}});
		return res.body.text();
	}

	it('records a span for each stage in the caller\'s trace, propagates the trace and records no secrets', async () => {
		await send('POST', '/services/booking/holds', 'private', {traceparent, 'idempotency-key': 'private-key'});
		engine.cutAfterParts = 3;
		await send('POST', '/v1/chat/completions', '{"model":"crew-advice","stream":true,"messages":[{"role":"user","content":"private"}]}', {traceparent});
		engine.cutAfterParts = undefined;
		expect(booking.lastHeaders.traceparent).to.match(new RegExp(`^00-${traceId}-(?!b7ad6b7169203331)`, 'v'));
		const spans = exporter.getFinishedSpans();
		expect(spans.map(span => span.name)).to.have.members(['claim', 'queue', 'upstream', 'entry', 'queue', 'resume', 'upstream', 'entry']);
		expect(new Set(spans.map(span => span.spanContext().traceId))).to.deep.equal(new Set([traceId]));
		const text = JSON.stringify(spans.map(span => [span.attributes, span.status, span.events]));
		expect(text).not.to.match(/private|test-key/v);
	});

	it('includes the caller\'s trace ID in each log line of a request, and no secrets', () => {
		const requestLines = lines.filter(line => String(line.message).startsWith('dispatch: '));
		const ended = requestLines.filter(line => line.message === 'dispatch: Request ended.');
		expect(ended.map(({outcome, tier, upstream}) => ({outcome, tier, upstream}))).to.deep.equal([
			{outcome: 'done', tier: 0, upstream: 'team/booking-1'},
			{outcome: 'done', tier: 0, upstream: 'team/engine-1'},
		]);
		expect(requestLines.find(line => line.message === 'dispatch: The connection of an answer was lost; the answer is resumed.'))
			.to.include({level: 'warn', upstream: 'team/engine-1'});
		expect(requestLines.every(line => line.traceId === traceId)).to.equal(true);
		expect(JSON.stringify(lines)).not.to.match(/private|test-key/v);
	});

	it('logs a warning when an upstream fails', async () => {
		booking.cutsRequests = true;
		await send('POST', '/services/booking/holds', 'x', {traceparent, 'idempotency-key': 'lost'});
		booking.cutsRequests = false;
		expect(lines.find(line => line.message === 'dispatch: An upstream failed.'))
			.to.include({
				level: 'warn', traceId, upstream: 'team/booking-1', kind: 'upstream-lost',
			});
		expect(lines.at(-1)).to.include({
			message: 'dispatch: Request ended.', level: 'debug', traceId, outcome: 'failed', kind: 'upstream-lost',
		});
	});

	it('counts requests that the HTTP parser rejects', async () => {
		const count = async () => Number(/redwingspool_errors_total\{kind="malformed-request"\} (?<count>\d+)/v.exec(await send('GET', '/metrics'))?.groups?.count ?? 0);
		const before = await count();
		await sendRaw(node.address, ['no HTTP at all\r\n\r\n']);
		expect(await count()).to.equal(before + 1);
	});

	it('samples no request at a ratio of 0 unless its caller does', async () => {
		exporter.reset();
		await send('GET', '/services/booking/x');
		expect(exporter.getFinishedSpans()).to.have.length(0);
	});

	it('exposes counters, gauges and summaries whose label values come from fixed sets', async () => {
		await send('GET', '/v2/none/anything-the-caller-likes');
		const text = await send('GET', '/metrics');
		expect(text).to.include('redwingspool_requests_total{tier="0",outcome="done"}');
		expect(text).to.match(/redwingspool_errors_total\{kind="not-found"\} \d/v);
		expect(text).to.match(/redwingspool_promises_evaluated_total\{promise="P3"\} [1-9]/v);
		expect(text).to.include('redwingspool_promises_violated_total{promise="P1"} 0');
		expect(text).to.match(/redwingspool_in_flight 0\n/v);
		expect(text).to.match(/redwingspool_time_to_first_token_seconds\{quantile="0.95"\} 0\.\d+/v);
		expect(text).to.match(/redwingspool_time_between_tokens_seconds_count [1-9]/v);
		expect(text).to.match(/redwingspool_queue_wait_seconds_count [1-9]/v);
		expect(text).not.to.include('anything');
	});

	it('exports spans with OTLP over HTTP', async () => {
		const collector = createServer((req, res) => {
			req.resume();
			res.end('{}');
		});
		collector.listen(0, '127.0.0.1');
		await once(collector, 'listening');
		const tracing = Tracing.create({target: `http://127.0.0.1:${(collector.address() as AddressInfo).port}/v1/traces`, sampleRatio: 1, instanceId: 'test'});
		const received = once(collector, 'request');
		tracing.start({}, {}).end();
		await tracing.stop();
		const [req] = await received as [{url: string}];
		expect(req.url).to.equal('/v1/traces');
		collector.close();
	});
});
