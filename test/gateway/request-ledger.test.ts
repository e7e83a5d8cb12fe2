import {once} from 'node:events';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';
import {Invariants} from '../../src/base/invariant.js';
import {Log} from '../../src/base/log.js';
import {Metrics, RequestEnd} from '../../src/base/metrics.js';
import {RequestLedger} from '../../src/gateway/request-ledger.js';
import {eventually} from '../support/eventually.js';
import {
	formatChunk, formatRequest, formatResponse, formatStreamHead, FrontHarness, type RawUpstream, type ReceivedRequest,
} from '../support/front-harness.js';

// Guards against requests that end without an answer, or without a trace of how they ended.
describe('the account of requests', () => {
	let harness: FrontHarness;
	let upstream: RawUpstream;

	beforeEach(async () => {
		harness = await FrontHarness.start();
		upstream = await harness.startUpstream('one', ({id, socket}) => socket.write(formatResponse(id, 'done')));
	});

	afterEach(() => {
		harness.stop();
	});

	/** Checks that all requests have ended as stated, in the log and in the metrics. */
	async function expectEnds(expected: ReadonlyArray<readonly [id: string | undefined, end: string]>): Promise<void> {
		await eventually(() => harness.ends.length >= expected.length);
		expect(harness.ends).to.deep.equal(expected);
		expect(harness.ledger.counts).to.deep.equal({begun: expected.length, ended: expected.length, open: 0});
		const text = await harness.metrics.expose();
		expect(text).to.include(`redwingspool_requests_begun_total ${expected.length}\n`);
		for (const end of new Set(expected.map(([, end]) => end))) {
			expect(text).to.include(`redwingspool_request_ends_total{end="${end}"} ${expected.filter(([, other]) => other === end).length}\n`);
		}

		expect(harness.violations).to.deep.equal([]);
	}

	it('ends answered, refused and failed requests with their response', async () => {
		const caller = harness.connect();
		caller.socket.write(formatRequest('unsafe', 'answered'));
		await eventually(() => caller.statuses.length === 1);
		caller.socket.write(formatRequest('unknown', 'refused', '', 'body'));
		await eventually(() => caller.statuses.length === 2);
		upstream.answer = ({socket}) => socket.destroy();
		caller.socket.write(formatRequest('unsafe', 'failed'));
		await eventually(() => caller.statuses.length === 3);
		caller.socket.write('not HTTP\r\n\r\n');
		await eventually(() => caller.statuses.length === 4);
		expect(caller.statuses).to.deep.equal([200, 404, 502, 400]);
		await expectEnds([['answered', 'answered'], ['refused', 'refused'], ['failed', 'failed'], [undefined, 'refused']]);
	});

	it('ends a request as aborted if the caller leaves, and not if it leaves while its body is read', async () => {
		upstream.answer = () => {
			// The request stays unanswered.
		};

		const half = harness.connect();
		half.socket.write(formatRequest('unsafe', 'half', '', 'body').slice(0, -1));
		const caller = harness.connect();
		caller.socket.write(formatRequest('unsafe', 'aborted'));
		await eventually(() => upstream.received.length === 1);
		expect(harness.ledger.counts).to.deep.equal({begun: 1, ended: 0, open: 1});
		half.socket.destroy();
		caller.socket.destroy();
		await expectEnds([['aborted', 'aborted']]);
		await sleep(20);
		expect(harness.ledger.counts.begun).to.equal(1);
	});

	it('ends a stream as broken if it cannot be completed, and as aborted if its caller leaves', async () => {
		const begin = ({id, socket}: ReceivedRequest) => socket.write(formatStreamHead(id) + formatChunk('id: 1\ndata: a\n\n'));
		upstream.answer = req => {
			begin(req);
			setTimeout(() => req.socket.destroy(), 50);
		};

		await harness.call('stream');
		upstream.answer = begin;
		const caller = harness.connect();
		caller.socket.write(formatRequest('stream', 'left'));
		await eventually(() => caller.text.includes('data: a'));
		caller.socket.end();
		await expectEnds([['r1', 'broken'], ['left', 'aborted']]);
	});

	it('ends a response only when the caller has taken all of it', async () => {
		const body = 'x'.repeat(8_000_000);
		upstream.answer = ({id, socket}) => socket.write(formatResponse(id, body));
		const caller = harness.connect();
		caller.socket.pause();
		caller.socket.write(formatRequest('unsafe', 'slow'));
		await sleep(400);
		expect(harness.ledger.counts).to.deep.equal({begun: 1, ended: 0, open: 1});
		caller.socket.resume();
		await expectEnds([['slow', 'answered']]);
		caller.socket.destroy();
	});

	it('ends what is in flight at the end of a shutdown as stopped', async () => {
		upstream.answer = () => {
			// The request stays unanswered.
		};

		const caller = harness.connect();
		caller.socket.write(formatRequest('unsafe', 'cut'));
		await eventually(() => upstream.received.length === 1);
		harness.destroy();
		await expectEnds([['cut', 'stopped']]);
	});

	// Verifies that the check can fail: the connection is closed as if by a defect.
	it('reports a request whose connection is closed without an answer', async () => {
		const begin = harness.ledger.begin.bind(harness.ledger);
		harness.ledger.begin = (res, id) => {
			upstream.answer = () => res.req.socket.destroy();
			return begin(res, id);
		};

		const caller = harness.connect();
		caller.socket.write(formatRequest('unsafe', 'lost'));
		await once(caller.socket, 'close');
		await eventually(() => harness.ends.length === 1);
		expect(harness.ends).to.deep.equal([['lost', 'lost']]);
		expect(harness.violations).to.deep.equal(['request lost ended without an answer']);
	});

	// Verifies that the check can fail: a second response is decided on.
	it('reports a request that is answered twice', () => {
		const violations: string[] = [];
		const ledger = RequestLedger.create({
			clock: SystemClock.create(),
			log: Log.create('silent'),
			metrics: Metrics.create(),
			invariants: Invariants.create({
				throwOnViolation: false,
				onViolation(_promise, detail) {
					violations.push(detail);
				},
			}),
		});
		const entry = ledger.begin(new ServerResponse(new IncomingMessage(new Socket())), 'a');
		entry.decide(RequestEnd.Answered);
		expect(violations).to.deep.equal([]);
		entry.decide(RequestEnd.Failed);
		expect(violations).to.deep.equal(['request a was answered twice']);
	});
});
