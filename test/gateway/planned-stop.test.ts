import {setTimeout as sleep} from 'node:timers/promises';
import {setTimeout} from 'node:timers';
import {expect} from 'chai';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {PlannedStop} from '../../src/gateway/planned-stop.js';
import {Operation, type Route} from '../../src/gateway/routing-table.js';
import {eventually} from '../support/eventually.js';
import {
	type ReceivedRequest, formatChunk, formatResponse, formatStreamHead,
} from '../support/front-harness.js';
import {GatewayHarness} from '../support/gateway-harness.js';
import {RawConnection} from '../support/raw-http.js';

/** Time that a planned stop may take here, in ms. */
const GRACE_MS = 5000;

describe('planned stop of a gateway', function () {
	this.timeout(30_000);
	let harness: GatewayHarness;

	afterEach(async () => {
		await harness.gateway.stop();
		harness.close();
	});

	async function expectRefused(address: string): Promise<void> {
		const connection = RawConnection.open(address);
		await connection.closed();
		expect(connection.errorCode).to.equal('ECONNREFUSED');
	}

	/** Answers after the given time. */
	const after = (ms: number) => ({id, target, socket}: ReceivedRequest) => {
		setTimeout(() => {
			const isStream = target.startsWith('/stream/') || target.startsWith('/resumable/');
			socket.write(isStream ? `${formatStreamHead(id)}${formatChunk('id: 1\ndata: 1\n\n')}0\r\n\r\n` : formatResponse(id, 'answer'));
		}, ms);
	};

	// Guards against requests that may not be repeated being taken late in the stop, passed on and cut at its end.
	it('refuses at once an unsafe request whose deadline is after the end, and runs none', async () => {
		harness = await GatewayHarness.start(GRACE_MS, after(3800));
		const stopped = harness.gateway.stop();
		await sleep(1000);
		const [unsafe, stream] = await Promise.all([harness.call('unsafe'), harness.call('stream')]);
		for (const {status, text, id, afterMs} of [unsafe, stream]) {
			expect(status).to.equal(503);
			expect(text.toLowerCase()).to.include('retry-after: 0.000\r\n');
			expect(afterMs).to.be.below(500);
			expect(harness.hasRun(id)).to.equal(false);
		}

		await stopped;
	});

	// Guards against requests being refused for the route's timeout although their caller waits only briefly.
	it('serves late requests whose caller waits no longer than the stop lasts', async () => {
		harness = await GatewayHarness.start(GRACE_MS, after(100));
		const stopped = harness.gateway.stop();
		const open = harness.call('unsafe', {deadlineMs: 3500, bodyBytes: 10, bodyDelayMs: 3000});
		await sleep(2900);
		const answers = await Promise.all([open, ...['unsafe', 'safe', 'stream', 'resumable'].map(async route => harness.call(route, {deadlineMs: 800}))]);
		expect(answers.map(({status}) => status)).to.deep.equal([200, 200, 200, 200, 200]);
		await stopped;
	});

	// Guards against a request whose head came early and whose body ended late being cut at the end of the stop.
	it('refuses an unsafe request whose body ends too late for its deadline', async () => {
		harness = await GatewayHarness.start(GRACE_MS, after(3000), {timeoutMs: 4500});
		const stopped = harness.gateway.stop();
		await sleep(100);
		const {status, id} = await harness.call('unsafe', {bodyBytes: 10, bodyDelayMs: 2000});
		expect(status).to.equal(503);
		expect(harness.hasRun(id)).to.equal(false);
		await stopped;
	});

	// Guards against connections being closed without an answer at the end of the stop.
	it('answers every request that is still open at the end', async () => {
		harness = await GatewayHarness.start(GRACE_MS, ({id, target, socket}) => {
			if (target.startsWith('/resumable/')) {
				socket.write(formatStreamHead(id) + formatChunk('id: 1\ndata: 1'));
			}
		}, {timeoutMs: 20_000});
		const calls = ['unsafe', 'safe', 'stream', 'resumable'].map(async route => harness.call(route));
		const unread = harness.call('unsafe', {bodyBytes: 10, bodyDelayMs: Number.POSITIVE_INFINITY});
		await sleep(500);
		harness.gateway.state.applyUpstreams({changed: [harness.upstream.toUpstream({slots: 0})], removed: []});
		const waiting = harness.call('unsafe');
		await sleep(100);
		await harness.gateway.stop();
		const answers = await Promise.all(calls);
		expect(answers.map(({status}) => status)).to.deep.equal([504, 504, 504, 504]);
		const {status, id} = await waiting;
		expect(status).to.equal(503);
		expect(harness.hasRun(id)).to.equal(false);
		expect(await unread).to.include({status: 503});
	});

	// Guards against the process leaving while callers with older address lists still connect to it.
	it('serves as long as requests come, and ends soon after the last', async () => {
		harness = await GatewayHarness.start(8000, after(20));
		let isStopped = false;
		const stopped = (async () => {
			await harness.gateway.stop();
			isStopped = true;
		})();
		const startedAt = performance.now();
		while (performance.now() - startedAt < 5000) {
			/* eslint-disable no-await-in-loop -- sequential calls */
			expect(await harness.call('unsafe', {deadlineMs: 1000})).to.include({status: 200});
			await sleep(300);
			/* eslint-enable no-await-in-loop */
		}

		expect(isStopped).to.equal(false);
		await stopped;
		expect(performance.now() - startedAt).to.be.below(7000);
	});

	// Guards against a second SIGTERM ending the process at once, with requests in flight.
	it('ends no sooner if it is told to stop again', async () => {
		harness = await GatewayHarness.start(GRACE_MS, after(3500));
		const call = harness.call('unsafe', {deadlineMs: 4000});
		await eventually(() => harness.upstream.received.length === 1);
		void harness.gateway.stop();
		await sleep(100);
		expect(harness.gateway.isReady).to.equal(false);
		expect(harness.gateway.state.members.filter(({isReady}) => isReady)).to.deep.equal([]);
		const startedAt = performance.now();
		await harness.gateway.stop();
		expect(performance.now() - startedAt).to.be.above(2000);
		expect(await call).to.include({status: 200});
	});

	// Guards against a process that is told to stop while it starts taking callers, and members listing it.
	it('does not start, and ends at once, if it was told to stop before', async () => {
		harness = await GatewayHarness.create(GRACE_MS, after(20));
		const startedAt = performance.now();
		const stopped = harness.gateway.stop();
		harness.gateway.start();
		await stopped;
		expect(performance.now() - startedAt).to.be.below(500);
		await expectRefused(harness.address);
	});

	// Guards against an answer being destroyed because the caller had sent more bytes behind its request.
	it('delivers a whole answer on a connection that holds unread bytes', async () => {
		const body = 'x'.repeat(2_000_000);
		harness = await GatewayHarness.start(GRACE_MS, ({id, socket}) => {
			socket.write(formatResponse(id, body));
		});
		const stopped = harness.gateway.stop();
		const connection = RawConnection.open(harness.address);
		const first = harness.nextRequest('unsafe', {deadlineMs: 1000});
		connection.socket.pause();
		connection.socket.write(first.head);
		await sleep(300);
		const second = harness.nextRequest('unsafe', {deadlineMs: 1000});
		connection.socket.write(second.head);
		await sleep(300);
		connection.socket.resume();
		await connection.closed();
		expect(connection.errorCode).to.equal(undefined);
		expect(connection.text.length).to.be.above(body.length);
		expect(harness.hasRun(second.id)).to.equal(false);
		await stopped;
	});

	// Guards against connections being kept that the VM is about to close, and against requests that were just sent on them.
	it('closes connections behind the answers to requests that were in flight before', async () => {
		harness = await GatewayHarness.start(GRACE_MS, after(300));
		const call = harness.call('unsafe', {deadlineMs: 1000});
		await eventually(() => harness.upstream.received.length === 1);
		const stopped = harness.gateway.stop();
		const {status, text, afterMs} = await call;
		expect(status).to.equal(200);
		expect(text.toLowerCase()).to.include('connection: close\r\n');
		expect(afterMs).to.be.below(1000);
		await stopped;
	});

	/** Waits until the VM accepts no more connections. */
	async function listenerClosed(): Promise<void> {
		let probe: RawConnection;
		do {
			await sleep(10); // eslint-disable-line no-await-in-loop -- polling
			probe = RawConnection.open(harness.address);
			await probe.opened(); // eslint-disable-line no-await-in-loop
			probe.socket.end();
		} while (probe.errorCode !== 'ECONNREFUSED');
	}

	// Guards against requests being lost whose connection was accepted just before the listener closed.
	it('serves a request that arrives after the listener closed, on a connection that was opened before', async () => {
		harness = await GatewayHarness.start(GRACE_MS, after(20));
		const stopped = harness.gateway.stop();
		await sleep(2300);
		const connection = RawConnection.open(harness.address);
		await listenerClosed();
		connection.socket.write(harness.nextRequest('unsafe', {deadlineMs: 1000}).head);
		await connection.closed();
		expect(connection.statuses).to.deep.equal([200]);
		await stopped;
	});

	// Guards against idle connections being closed, with the requests that were just sent on them, before the process ends.
	it('serves a request that arrives after the listener closed, on a kept connection', async () => {
		harness = await GatewayHarness.start(GRACE_MS, after(20));
		const connection = RawConnection.open(harness.address);
		connection.socket.write(harness.nextRequest('unsafe', {deadlineMs: 1000}).head);
		await eventually(() => connection.text.endsWith('answer'));
		const stopped = harness.gateway.stop();
		await sleep(2300);
		await listenerClosed();
		connection.socket.write(harness.nextRequest('unsafe', {deadlineMs: 1000}).head);
		await connection.closed();
		expect(connection.statuses).to.deep.equal([200, 200]);
		await stopped;
	});

	// Guards against a refusal being destroyed by the rest of a body that still arrives.
	it('delivers the refusal of a request whose body arrives slowly until the end', async () => {
		harness = await GatewayHarness.start(GRACE_MS, after(20));
		const connection = RawConnection.open(harness.address);
		connection.socket.write(harness.nextRequest('unsafe', {bodyBytes: 60_000}).head);
		const stopped = harness.gateway.stop();
		while (connection.socket.writable) {
			connection.socket.write('x');
			await sleep(5); // eslint-disable-line no-await-in-loop -- bytes are sent at intervals
		}

		await connection.closed();
		expect(connection.statuses).to.deep.equal([503]);
		expect(connection.errorCode).to.equal(undefined);
		expect(harness.upstream.received).to.deep.equal([]);
		await stopped;
	});

	// Guards against the end of a long answer being cut because its caller reads slowly.
	it('ends only when a slow reader has been sent its whole answer', async () => {
		const body = 'x'.repeat(8_000_000);
		harness = await GatewayHarness.start(GRACE_MS, ({id, socket}) => {
			socket.write(formatResponse(id, body));
		});
		const connection = RawConnection.open(harness.address);
		connection.socket.pause();
		connection.socket.write(harness.nextRequest('unsafe', {deadlineMs: 1000}).head);
		await eventually(() => harness.upstream.received.length === 1);
		const stopped = harness.gateway.stop();
		await sleep(3200);
		connection.socket.resume();
		await connection.closed();
		expect(connection.text.endsWith(body)).to.equal(true);
		await stopped;
	});
});

describe('schedule of a planned stop', () => {
	// Guards against requests that are taken after those that are open got their final answer, and cut when the process exits.
	it('takes nothing after the end of a stop for which little time is allowed', () => {
		const clock = VirtualClock.create();
		const stop = PlannedStop.create(clock, 2000);
		clock.advance(1500);
		expect(stop.take({operation: Operation.Safe, isResumable: false} as Route, clock.now() + 3000)).to.equal(false);
	});
});
