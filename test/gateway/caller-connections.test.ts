import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {eventually} from '../support/eventually.js';
import {
	formatChunk, formatRequest, formatResponse, FrontHarness, type RawUpstream, type ReceivedRequest,
} from '../support/front-harness.js';

describe('a connection of a caller', () => {
	let harness: FrontHarness;
	let upstream: RawUpstream;

	beforeEach(async () => {
		harness = await FrontHarness.start();
		upstream = await harness.startUpstream('one', answerAfter(150));
	});

	afterEach(() => {
		harness.stop();
	});

	function answerAfter(ms: number) {
		return ({id, socket}: ReceivedRequest) => {
			setTimeout(() => socket.write(formatResponse(id, `answer to ${id}`)), ms);
		};
	}

	/** @returns IDs of the requests that reached the upstream. */
	function received(): string[] {
		return upstream.received.map(({id}) => id);
	}

	it('answers requests that are sent together in their order', async () => {
		const caller = harness.connect();
		caller.socket.write(formatRequest('unsafe', 'a') + formatRequest('unsafe', 'b', '', 'body') + formatRequest('safe', 'c'));
		await eventually(() => caller.statuses.length === 3 && caller.text.endsWith('answer to c'));
		expect([...caller.text.matchAll(/answer to (?<id>\w)/gv)].map(match => match.groups!.id)).to.deep.equal(['a', 'b', 'c']);
		expect(received()).to.deep.equal(['a', 'b', 'c']);
		caller.socket.destroy();
	});

	// Guards against a caller that sends requests without waiting for answers: each was held with its response, until memory ran out.
	it('stops reading while many requests wait, and answers all of them in their order', async () => {
		const ids = Array.from({length: 1500}, (_, index) => `r${index}`);
		const answers: Array<() => void> = [];
		upstream.answer = ({id, socket}) => {
			const answer = () => socket.write(formatResponse(id, `answer to ${id}`));
			if (answers.push(answer) > 1) {
				answer();
			}
		};

		const caller = harness.connect();
		const padding = `X-Padding: ${'x'.repeat(14_000)}\r\n`;
		caller.socket.write(ids.map(id => formatRequest('safe', id, padding)).join(''));
		await eventually(() => answers.length === 1);
		await sleep(300);
		// The system's buffers take some MB of the 21.
		expect(caller.socket.writableLength).to.be.above(5_000_000);
		answers[0]!();
		await eventually(() => caller.text.endsWith(`answer to ${ids.at(-1)}`), 200);
		expect([...caller.text.matchAll(/answer to (?<id>r\d+)/gv)].map(match => match.groups!.id)).to.deep.equal(ids);
		caller.socket.destroy();
	});

	/** Sends two requests together and checks that the second is not run, as the connection closes behind the first answer. */
	async function expectOneAnswer(first: string): Promise<void> {
		const caller = harness.connect();
		caller.socket.write(first + formatRequest('unsafe', 'b'));
		await eventually(() => caller.isClosed);
		await sleep(50);
		expect(caller.statuses).to.deep.equal([200]);
		expect(received()).to.deep.equal(['a']);
	}

	// Guards against a request that runs although its connection closes behind the answer before it.
	for (const [name, first] of [
		['the first asks for it', formatRequest('unsafe', 'a', 'Connection: close\r\n')],
		['the first is of HTTP/1.0', formatRequest('unsafe', 'a').replace('HTTP/1.1', 'HTTP/1.0')],
	] as const) {
		it(`passes no second request on that will get no answer: ${name}`, async () => expectOneAnswer(first));
	}

	it('passes no second request on that will get no answer: the VM is stopping', async () => {
		harness.beginStop(8000);
		await expectOneAnswer(formatRequest('unsafe', 'a'));
	});

	async function expectAnswerBefore(second: string, status: number): Promise<void> {
		const caller = harness.connect();
		caller.socket.write(formatRequest('unsafe', 'a') + second);
		await eventually(() => caller.isClosed);
		expect(caller.statuses).to.deep.equal([200, status]);
		expect(caller.text.indexOf('answer to a')).to.be.within(1, caller.text.lastIndexOf('HTTP/1.1'));
		expect(harness.heldCount).to.equal(0);
	}

	// Guards against an answer that is lost because the bytes behind its request cannot be used.
	for (const [name, second, status] of [
		['malformed', 'GET / HTTP/1.1\r\nContent Length: 3\r\n\r\n', 400],
		['over the header limit', `GET / HTTP/1.1\r\nX-Long: ${'x'.repeat(70_000)}\r\n\r\n`, 431],
		['not HTTP', '\u0000\u0001\u0002\u0003', 400],
		['CONNECT', 'CONNECT other.example:443 HTTP/1.1\r\nHost: other.example:443\r\n\r\n', 405],
	] as const) {
		it(`answers a request before one that is ${name}`, async () => expectAnswerBefore(second, status));
	}

	it('answers a request before one whose head is not complete within the header limit', async () => {
		harness.setLimits({headerTimeoutMs: 300});
		upstream.answer = answerAfter(2500);
		const caller = harness.connect();
		caller.socket.write(`${formatRequest('unsafe', 'a')}GET /unsafe/b HTTP/1.1\r\nHost: `);
		await eventually(() => caller.isClosed);
		expect(caller.statuses).to.deep.equal([200, 408]);
		expect(caller.text.indexOf('answer to a')).to.be.within(1, caller.text.lastIndexOf('HTTP/1.1'));
	});

	// Guards against bytes that no request waits for, which a caller may take for the answer to the next one.
	it('closes a connection on which nothing was sent within the header limit, without an answer', async () => {
		harness.setLimits({headerTimeoutMs: 300});
		const caller = harness.connect();
		await eventually(() => caller.isClosed, 100);
		expect(caller.text).to.equal('');
		expect(harness.ledger.counts.begun).to.equal(0);
	});

	it('answers 408 to a head that is not complete within the header limit, and passes on nothing of it', async () => {
		harness.setLimits({headerTimeoutMs: 300});
		const caller = harness.connect();
		caller.socket.write('GET /unsafe/b HTTP/1.1\r\nHost: ');
		await eventually(() => caller.statuses.length === 1);
		caller.socket.write('desk.example\r\nX-Request-Id: b\r\n\r\n');
		await eventually(() => caller.isClosed);
		expect(caller.statuses).to.deep.equal([408]);
		expect(received()).to.deep.equal([]);
	});

	// Guards against a request that runs although its connection was closed for a malformed request before it.
	it('passes on no request behind a malformed one', async () => {
		const caller = harness.connect();
		caller.socket.write('GET / HTTP/1.1\r\nContent Length: 3\r\n\r\n');
		await eventually(() => caller.statuses.length === 1);
		caller.socket.write(formatRequest('unsafe', 'b'));
		await eventually(() => caller.isClosed);
		expect(caller.statuses).to.deep.equal([400]);
		expect(received()).to.deep.equal([]);
	});

	// Guards against requests that are answered by the HTTP library in place of the gateway.
	it('serves a request with an expectation it does not know', async () => {
		const caller = harness.connect();
		caller.socket.write(formatRequest('unsafe', 'a', 'Expect: a-miracle\r\n'));
		await eventually(() => caller.statuses.length === 1);
		expect(caller.statuses).to.deep.equal([200]);
		caller.socket.destroy();
	});

	it('asks for the body of a request that expects to be told to continue', async () => {
		const caller = harness.connect();
		const [head, body] = formatRequest('unsafe', 'a', 'Expect: 100-continue\r\n', 'body').split('\r\n\r\n');
		caller.socket.write(`${head}\r\n\r\n`);
		await eventually(() => caller.statuses.length === 1);
		expect(received()).to.deep.equal([]);
		caller.socket.write(body!);
		await eventually(() => caller.statuses.length === 2);
		expect(caller.statuses).to.deep.equal([100, 200]);
		caller.socket.destroy();
	});

	it('serves a request whose body comes in many pieces, and the one behind it', async () => {
		const caller = harness.connect();
		caller.socket.write(formatRequest('unsafe', 'a').replace('Content-Length: 0', 'Transfer-Encoding: chunked'));
		for (let piece = 0; piece < 20; piece += 1) {
			caller.socket.write(formatChunk('piece'));
			await sleep(5); // eslint-disable-line no-await-in-loop -- pieces are sent apart
		}

		caller.socket.write(`0\r\n\r\n${formatRequest('unsafe', 'b')}`);
		await eventually(() => caller.text.endsWith('answer to b'));
		expect(caller.statuses).to.deep.equal([200, 200]);
		caller.socket.destroy();
	});

	/** Sends a body over its limit bit by bit, also behind the answer. */
	async function expectTooLarge(lengthHeader: string, piece: string): Promise<void> {
		harness.setLimits({maxBodyBytes: 1000});
		const caller = harness.connect();
		caller.socket.write(formatRequest('unsafe', 'a').replace('Content-Length: 0', lengthHeader));
		let sent = 0;
		while (sent < 5_000_000 && caller.statuses.length === 0) {
			caller.socket.write(piece);
			sent += piece.length;
			await sleep(2); // eslint-disable-line no-await-in-loop -- written bit by bit
		}

		expect(caller.statuses).to.deep.equal([413]);
		for (let count = 0; count < 20 && !caller.isClosed; count += 1) {
			caller.socket.write(piece);
			await sleep(10); // eslint-disable-line no-await-in-loop
		}

		await eventually(() => caller.isClosed);
		expect(caller.text.endsWith('"}')).to.equal(true);
		expect(received()).to.deep.equal([]);
		expect(harness.ends).to.deep.equal([['a', 'refused']]);
	}

	// Guards against a body that is read without end, and against an answer that is lost with the rest of a body.
	for (const [name, lengthHeader, piece] of [
		['a length', 'Content-Length: 100000000', 'x'.repeat(65_536)],
		['chunks', 'Transfer-Encoding: chunked', formatChunk('x'.repeat(65_536))],
	] as const) {
		it(`rejects a body with ${name} over its limit before it has arrived, and delivers the answer`, async () => expectTooLarge(lengthHeader, piece));
	}

	it('serves the request behind one that was refused together with its body', async () => {
		const caller = harness.connect();
		caller.socket.write(formatRequest('unknown', 'a', '', 'x'.repeat(30_000)) + formatRequest('unsafe', 'b'));
		await eventually(() => caller.text.endsWith('answer to b'));
		expect(caller.statuses).to.deep.equal([404, 200]);
		caller.socket.destroy();
	});
});
