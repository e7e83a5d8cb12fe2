import {expect} from 'chai';
import {HeaderCodec} from '../../platform/header-codec.js';
import {eventually} from '../support/eventually.js';
import {
	formatChunk, formatRequest, formatResponse, formatStreamHead, FrontHarness, RawUpstream,
} from '../support/front-harness.js';

// Guards against an exception in the handling of one request that ends the process, and with it all other requests.
describe('an exception in the handling of a request', () => {
	let harness: FrontHarness;
	let upstream: RawUpstream;

	beforeEach(async () => {
		harness = await FrontHarness.start();
		upstream = await harness.startUpstream('one', ({id, socket}) => socket.write(formatResponse(id, 'done')));
	});

	afterEach(() => {
		harness.stop();
	});

	function fail(): never {
		throw new Error('a defect');
	}

	async function expectFailure(route = 'unsafe'): Promise<void> {
		const other = harness.connect();
		const caller = harness.connect();
		caller.socket.write(formatRequest(route, 'a'));
		await eventually(() => caller.statuses.length === 1);
		expect(caller.statuses).to.deep.equal([500]);
		await eventually(() => harness.ends.length === 1);
		expect(harness.ends).to.deep.equal([['a', 'failed']]);
		expect(harness.violations).to.deep.equal(['a defect']);
		expect(harness.heldCount).to.equal(0);
		Object.assign(harness.codec, {encode: HeaderCodec.prototype.encode, decodeResponse: HeaderCodec.prototype.decodeResponse});
		upstream.answer = ({id, socket}) => socket.write(formatResponse(id, 'done'));
		other.socket.write(formatRequest('unsafe', 'b'));
		await eventually(() => other.statuses.length === 1);
		expect(other.statuses).to.deep.equal([200]);
		other.socket.destroy();
		caller.socket.destroy();
	}

	it('fails this request only: while it is read', async () => {
		harness.codec.decode = fail;
		const caller = harness.connect();
		caller.socket.write(formatRequest('unsafe', 'a'));
		await eventually(() => caller.statuses.length === 1);
		expect(caller.statuses).to.deep.equal([500]);
		await eventually(() => harness.ends.length === 1);
		expect(harness.ends).to.deep.equal([[undefined, 'failed']]);
		expect(harness.violations).to.deep.equal(['a defect']);
		caller.socket.destroy();
	});

	it('fails this request only: while it is sent', async () => {
		harness.codec.encode = fail;
		await expectFailure();
	});

	it('fails this request only: while its response is read', async () => {
		harness.codec.decodeResponse = fail;
		await expectFailure();
	});

	it('fails this request only: while its stream begins', async () => {
		upstream.answer = ({id, socket}) => {
			harness.metrics.timeToFirstToken.record = fail;
			socket.write(formatStreamHead(id) + formatChunk('id: 1\ndata: a\n\n'));
		};

		await expectFailure('stream');
	});

	it('breaks this request off only: while its stream ends', async () => {
		upstream.answer = ({id, socket}) => {
			socket.write(`${formatStreamHead(id)}${formatChunk('id: 1\ndata: a\n\n')}`);
			setTimeout(() => {
				harness.codec.encode = fail;
				socket.destroy();
			}, 50);
		};

		const caller = harness.connect();
		caller.socket.write(formatRequest('resumable', 'a'));
		await eventually(() => caller.text.includes('data: a'));
		const other = await RawUpstream.start('other', () => undefined);
		harness.state.applyUpstreams({changed: [other.toUpstream()], removed: []});
		await eventually(() => caller.isClosed);
		other.stop();
		expect(caller.text.endsWith('0\r\n\r\n')).to.equal(false);
		await eventually(() => harness.ends.length === 1);
		expect(harness.ends).to.deep.equal([['a', 'broken']]);
		expect(harness.violations).to.deep.equal(['a defect']);
	});

	for (const method of ['decode', 'encode'] as const) {
		it(`breaks this request off only: while its failure is answered, after ${method}`, async () => expectBroken(method));
	}

	async function expectBroken(method: 'decode' | 'encode'): Promise<void> {
		Object.assign(harness.codec, {[method]: fail, errorResponseHeaders: fail});
		const caller = harness.connect();
		caller.socket.write(formatRequest('unsafe', 'a'));
		await eventually(() => caller.isClosed);
		expect(caller.text).to.equal('');
		await eventually(() => harness.ends.length === 1);
		expect(harness.ends.map(([, end]) => end)).to.deep.equal(['broken']);
		expect(harness.violations).to.deep.equal(['a defect', 'a defect']);
		expect(harness.heldCount).to.equal(0);
	}
});
