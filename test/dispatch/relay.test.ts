import {connect} from 'node:net';
import {once} from 'node:events';
import {expect} from 'chai';
import fc from 'fast-check';
import {request} from 'undici';
import {Invariants} from '../../src/base/invariant.js';
import {ResponseBodyTracker} from '../../src/dispatch/response-body-tracker.js';
import {type EngineFaults} from '../../standins/engine.js';
import {expectedWords} from '../../standins/engine-answers.js';
import {testApiKey, TestCluster} from '../support/dev-cluster.js';
import {eventually} from '../support/eventually.js';

const tokenCount = 24;

describe('relay', () => {
	let cluster: TestCluster;

	beforeEach(async () => {
		cluster = await TestCluster.start({engineCount: 1, engine: {tokenIntervalMs: 0, defaultTokens: tokenCount}});
	});

	afterEach(async () => {
		await cluster.stop();
	});

	async function post(prompt: string, options: {stream?: boolean; maxTokens?: number; signal?: AbortSignal} = {}) {
		return request(`${cluster.url}/v1/chat/completions`, {
			method: 'POST',
			signal: options.signal,
			headers: {authorization: `Bearer ${testApiKey}`},
			body: JSON.stringify({
				model: 'crew-advice', stream: options.stream ?? true, max_tokens: options.maxTokens ?? tokenCount, messages: [{role: 'user', content: prompt}],
			}),
		});
	}

	function setFaults(faults: EngineFaults, cutAfterParts?: number): void {
		cluster.engines[0]!.faults = faults;
		cluster.engines[0]!.cutAfterParts = cutAfterParts;
	}

	/** Reads a body that may be truncated. */
	async function readAll(body: AsyncIterable<Uint8Array>): Promise<{text: string; isWhole: boolean}> {
		let text = '';
		try {
			for await (const chunk of body) {
				text += new TextDecoder().decode(chunk);
			}

			return {text, isWhole: true};
		} catch {
			return {text, isWhole: false};
		}
	}

	function contentOf(sse: string): string {
		return sse.split('\n\n').filter(event => event.startsWith('data: {'))
			.map(event => (JSON.parse(event.slice(6)) as {choices: Array<{delta: {content?: string}}>}).choices[0]?.delta.content ?? '').join('');
	}

	const resumable: Array<[string, EngineFaults, number | undefined]> = [
		['before the headers', {cutBeforeHeaders: true}, undefined],
		['repeatedly', {cutResumesAfterBytes: 700}, 2],
		['and resends bytes on resume', {resumeShiftBytes: -37}, 4],
	];
	for (const [title, faults, cutAfterParts] of resumable) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func -- mocha runs the tests one after the other
		it(`delivers each byte exactly once when the engine closes the connection ${title}`, async () => {
			setFaults(faults, cutAfterParts);
			const res = await post('cut');
			const {text, isWhole} = await readAll(res.body);
			expect(isWhole).to.equal(true);
			expect(contentOf(text)).to.equal(expectedWords('cut', tokenCount).join(''));
			expect(cluster.engines[0]!.accepted).to.have.length(1);
		});
	}

	it('ends a stream with an error event when the engine resumes past a gap', async () => {
		setFaults({resumeShiftBytes: 5}, 3);
		const res = await post('gap');
		const {text, isWhole} = await readAll(res.body);
		expect(isWhole).to.equal(false);
		const last = text.trimEnd().split('\n\n').at(-1)!;
		expect(last).to.match(/^event: error\ndata: /v);
		expect(JSON.parse(last.split('data: ')[1]!)).to.have.nested.property('error.code', 'answer-incomplete');
	});

	it('returns upstream-lost with ran unknown when the engine never received the dispatch', async () => {
		setFaults({loseRequests: true});
		const res = await post('lost');
		expect(res.statusCode).to.equal(502);
		expect(res.headers['redwingspool-ran']).to.equal('unknown');
		expect(await res.body.json()).to.have.nested.property('error.code', 'upstream-lost');
	});

	for (const stream of [true, false]) {
		it(`rejects a response that belongs to another dispatch (stream: ${stream})`, async () => {
			setFaults({echoedId: 'ffff'});
			const res = await post('other', {stream});
			expect(res.statusCode).to.equal(502);
			expect(await res.body.json()).to.have.nested.property('error.code', 'upstream-lost');
		});
	}

	it('never delivers a late response that an engine sends on a reused connection', async () => {
		setFaults({repeatsAnswers: true});
		for (let round = 0; round < 40; round++) {
			// eslint-disable-next-line no-await-in-loop -- sequential, so that connections are reused
			const res = await post(`late ${round}`, {stream: false});
			// eslint-disable-next-line no-await-in-loop
			const text = await res.body.text();
			if (res.statusCode === 200) {
				expect(text).to.include(expectedWords(`late ${round}`, tokenCount).join(''));
			} else {
				expect(res.headers['redwingspool-ran']).to.equal('unknown');
			}
		}
	});

	it('cancels the dispatch at the engine when the caller disconnects', async () => {
		await cluster.stop();
		cluster = await TestCluster.start({engineCount: 1, engine: {tokenIntervalMs: 5, defaultTokens: tokenCount}});
		const controller = new AbortController();
		const res = await post('gone', {maxTokens: 100_000, signal: controller.signal});
		await once(res.body, 'data');
		res.body.on('error', () => undefined);
		controller.abort();
		const [engine] = cluster.engines;
		await eventually(() => engine!.canceled.length === 1 && cluster.node.dispatcher.inFlightCount === 0);
		expect(engine!.canceled).to.deep.equal(engine!.accepted);
	});

	it('records the response to a keyed request whose caller disconnected, for replay on retry', async () => {
		cluster.booking.delayMs = 50;
		const placeHold = async (signal?: AbortSignal) => request(`${cluster.url}/services/booking/holds`, {
			method: 'POST', body: 'table 9', signal, headers: {authorization: `Bearer ${testApiKey}`, 'idempotency-key': 'gone'},
		});
		const controller = new AbortController();
		const first = Promise.allSettled([placeHold(controller.signal)]);
		await eventually(() => cluster.booking.holds.length === 1);
		controller.abort();
		await first;
		await eventually(() => cluster.node.dispatcher.inFlightCount === 0);
		const retry = await placeHold();
		expect(await retry.body.json()).to.deep.equal({hold: 1});
		expect(cluster.booking.holds).to.have.length(1);
	});

	// Guards against an error of the recording that leaves the caller without the end of its response.
	it('ends the response to a keyed request whose recording fails', async () => {
		cluster.node.core.claims.complete = async () => {
			throw new Error('fault');
		};

		const res = await request(`${cluster.url}/services/booking/holds`, {
			method: 'POST', body: 'table 9', signal: AbortSignal.timeout(2000), headers: {authorization: `Bearer ${testApiKey}`, 'idempotency-key': 'fault'},
		});
		expect(await res.body.json()).to.deep.equal({hold: 1});
		await eventually(() => cluster.node.dispatcher.inFlightCount === 0);
	});

	it('applies backpressure to the engine when the caller reads slowly', async () => {
		const body = JSON.stringify({
			model: 'crew-advice', stream: true, max_tokens: 200_000, messages: [{role: 'user', content: 'slow'}],
		});
		const [host, port] = cluster.node.address.split(':');
		const socket = connect(Number(port), host);
		socket.on('error', () => undefined);
		socket.write(`POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${testApiKey}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
		await once(socket, 'readable');
		const [engine] = cluster.engines;
		let sent = -1;
		// The engine stops sending once all buffers between it and the caller are full.
		await eventually(() => {
			const previous = sent;
			sent = engine!.sentParts;
			return sent > 0 && sent === previous;
		}, 100);
		expect(sent).to.be.below(150_000);
		socket.destroy();
		await eventually(() => cluster.node.dispatcher.inFlightCount === 0);
	});
});

describe('answer', () => {
	it('delivers a prefix of the body without gaps or duplicates for arbitrary chunk offsets', () => {
		const part = fc.record({offset: fc.nat(40), length: fc.nat(30)});
		fc.assert(fc.property(fc.array(part, {maxLength: 30}), parts => {
			const body = Uint8Array.from({length: 100}, (_, index) => index);
			const tracker = ResponseBodyTracker.create('id', Invariants.create({throwOnViolation: true}));
			tracker.bind('id');
			const delivered: number[] = [];
			for (const {offset, length} of parts) {
				const newBytes = tracker.accept(offset, body.subarray(offset, offset + length));
				expect(newBytes === undefined).to.equal(offset > delivered.length);
				delivered.push(...newBytes ?? []);
			}

			expect(delivered).to.deep.equal([...body.subarray(0, delivered.length)]);
		}), {seed: 1, numRuns: 500});
	});
});
