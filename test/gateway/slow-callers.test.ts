import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {eventually} from '../support/eventually.js';
import {
	formatChunk, formatRequest, formatResponse, formatStreamHead, FrontHarness,
} from '../support/front-harness.js';

describe('a caller that reads slowly', () => {
	let harness: FrontHarness;

	beforeEach(async () => {
		harness = await FrontHarness.start();
	});

	afterEach(() => {
		harness.stop();
	});

	const event = `id: 7\ndata: ${'x'.repeat(16_000)}\n\n`;

	// Guards against an upstream that is blamed and cut because its caller does not read.
	it('gets each byte of a stream, from one upstream', async () => {
		const count = 1500;
		const sound = await harness.startUpstream('sound', ({id, socket}) => {
			socket.write(formatStreamHead(id) + formatChunk(event).repeat(count));
			socket.write('0\r\n\r\n');
		});
		const caller = harness.connect();
		caller.socket.write(formatRequest('resumable', 'slow'));
		await eventually(() => sound.received.length === 1);
		const other = await harness.startUpstream('other', ({socket}) => socket.destroy());
		caller.socket.pause();
		await sleep(2200);
		caller.socket.resume();
		await eventually(() => caller.isClosed || caller.text.endsWith('0\r\n\r\n'));
		expect(caller.text.match(/data: x/gv)).to.have.length(count);
		expect(caller.text.endsWith('0\r\n\r\n')).to.equal(true);
		expect(other.received).to.have.length(0);
		caller.socket.destroy();
	});

	// Guards against a connection that is read on although it was paused: what the caller has not taken was held without a bound.
	async function expectUpstreamWaits(repeatedEvent: string): Promise<void> {
		const upstream = await harness.startUpstream('sound', ({id, socket}) => {
			const chunk = formatChunk(repeatedEvent);
			socket.write(formatStreamHead(id) + chunk.repeat(40_000_000 / chunk.length));
		});
		const caller = harness.connect();
		caller.socket.pause();
		caller.socket.write(formatRequest('resumable', 'slow'));
		await eventually(() => upstream.received.length === 1);
		await sleep(1500);
		// The system's buffers take some MB of the 40.
		expect(upstream.received[0]!.socket.writableLength).to.be.above(20_000_000);
		caller.socket.destroy();
	}

	it('keeps an upstream waiting that sends large events', async () => expectUpstreamWaits(event));
	it('keeps an upstream waiting that sends small events', async () => expectUpstreamWaits('id: 7\n\n'));

	it('gets each byte of a response with a length before its connection closes', async () => {
		const body = 'y'.repeat(6_000_000);
		await harness.startUpstream('sound', ({id, socket}) => socket.write(formatResponse(id, body)));
		const caller = harness.connect();
		caller.socket.pause();
		caller.socket.write(formatRequest('safe', 'slow', 'Connection: close\r\n'));
		await sleep(1500);
		caller.socket.resume();
		await eventually(() => caller.isClosed);
		expect(Buffer.byteLength(caller.text.split('\r\n\r\n')[1]!)).to.equal(body.length);
	});
});
