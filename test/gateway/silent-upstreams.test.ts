import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {eventually} from '../support/eventually.js';
import {
	formatChunk, formatResponse, formatStreamHead, FrontHarness, type ReceivedRequest,
} from '../support/front-harness.js';

const firstEvent = formatChunk('id: 1\ndata: a\n\n');
const lastEvent = `${formatChunk('id: 2\ndata: b\n\n')}0\r\n\r\n`;

describe('an upstream that falls silent for a time', () => {
	let harness: FrontHarness;

	beforeEach(async () => {
		harness = await FrontHarness.start();
	});

	afterEach(() => {
		harness.stop();
	});

	/** Sends the first event, is silent for a time, and sends the rest. */
	function pauseFor(ms: number) {
		return ({id, socket}: ReceivedRequest) => {
			socket.write(formatStreamHead(id) + firstEvent);
			setTimeout(() => socket.write(lastEvent), ms);
		};
	}

	function resume({id, socket}: ReceivedRequest): void {
		socket.write(formatStreamHead(id) + lastEvent);
	}

	function ignore(): void {
		// The request stays unanswered.
	}

	// Guards against a stream that is cut while its upstream is silent, although no other upstream can take it over.
	it('goes on with a stream that no other upstream can take over', async () => {
		await harness.startUpstream('pausing', pauseFor(1700));
		const {body} = await harness.call('resumable', 3500);
		expect(body).to.include('data: a').and.include('data: b');
		expect(body.endsWith('0\r\n\r\n')).to.equal(true);
		expect(harness.heldCount).to.equal(0);
	});

	// Guards against a stream that is cut while its request waits for a place at another upstream.
	it('goes on with a stream whose request still waits for a place elsewhere', async () => {
		const busy = await harness.startUpstream('busy', ignore, {slots: 1});
		const held = harness.call('unsafe', 3800);
		await eventually(() => busy.received.length === 1);
		const pausing = await harness.startUpstream('pausing', pauseFor(1900));
		const {body} = await harness.call('resumable', 3500);
		expect(body).to.include('data: a').and.include('data: b');
		expect(harness.heldCount).to.equal(1);
		busy.received[0]!.socket.end(formatResponse(busy.received[0]!.id, 'done'));
		await held;
		await sleep(100);
		expect(busy.received.length + pausing.received.length).to.equal(2);
		expect(harness.heldCount).to.equal(0);
	});

	// Guards against a request that runs at two upstreams at once.
	it('closes the exchange with it before another upstream gets the request', async () => {
		const silent = await harness.startUpstream('silent', pauseFor(10_000));
		let closedAt = 0;
		silent.onConnection = socket => {
			socket.once('close', () => {
				closedAt = performance.now();
			});
		};

		const stream = harness.call('resumable', 3500);
		await eventually(() => silent.received.length === 1);
		let receivedAt = 0;
		const other = await harness.startUpstream('other', req => {
			receivedAt = performance.now();
			expect(req.lastEventId).to.equal('1');
			setTimeout(() => {
				resume(req);
			}, 50);
		});
		const {body} = await stream;
		expect(body).to.include('data: a').and.include('data: b');
		expect(other.received).to.have.length(1);
		expect(closedAt).to.be.above(0).and.below(receivedAt + 20);
		expect(harness.heldCount).to.equal(0);
	});

	// Guards against a stream that is cut because the upstream that was to take it over cannot be reached.
	it('goes on with a stream if the upstream that would take it over is unreachable', async () => {
		await harness.startUpstream('pausing', pauseFor(1900));
		const stream = harness.call('resumable', 3500);
		const gone = await harness.startUpstream('gone', ignore);
		gone.stop();
		const {body} = await stream;
		expect(body).to.include('data: a').and.include('data: b');
		expect(body.endsWith('0\r\n\r\n')).to.equal(true);
		expect(harness.heldCount).to.equal(0);
	});

	async function expectOneExchange(route: string, answer: (req: ReceivedRequest) => void): Promise<void> {
		const [one, other] = [await harness.startUpstream('one', answer), await harness.startUpstream('other', answer)];
		const {status} = await harness.call(route, 3500);
		expect(status).to.equal(200);
		expect(one.received.length + other.received.length).to.equal(1);
	}

	// Guards against sound upstreams that are blamed, and their requests repeated, because they pause for a second.
	for (const [route, answer] of [
		['safe', ({id, socket}: ReceivedRequest) => socket.write(formatResponse(id, 'answer'))],
		['resumable', resume],
	] as const) {
		it(`is given a second before a ${route} request goes elsewhere`, async () => expectOneExchange(route, req => {
			setTimeout(() => {
				answer(req);
			}, 1000);
		}));
	}

	it('leaves no exchange and no place behind at the deadline', async () => {
		const silent = await harness.startUpstream('silent', ({id, socket}) => socket.write(formatStreamHead(id) + firstEvent));
		const {body} = await harness.call('resumable', 2200);
		expect(body).to.include('data: a');
		await eventually(() => silent.received[0]!.socket.destroyed);
		expect(harness.heldCount).to.equal(0);
	});
});
