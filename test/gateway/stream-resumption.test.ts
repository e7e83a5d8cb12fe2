import {clearInterval, setInterval} from 'node:timers';
import {expect} from 'chai';
import {eventually} from '../support/eventually.js';
import {
	formatChunk, formatRequest, formatStreamHead, FrontHarness,
} from '../support/front-harness.js';

describe('a stream that breaks off', () => {
	let harness: FrontHarness;

	beforeEach(async () => {
		harness = await FrontHarness.start();
	});

	afterEach(() => {
		harness.stop();
	});

	// Guards against a stream that is not resumed because it began longer ago than callers wait for a first event.
	it('resumes elsewhere however long ago it began', async () => {
		const broken = await harness.startUpstream('broken', ({id, socket}) => {
			socket.write(formatStreamHead(id));
			let count = 0;
			const timer = setInterval(() => {
				count += 1;
				socket.write(formatChunk(`id: ${count}\ndata: a\n\n`));
				if (count === 8) {
					clearInterval(timer);
					socket.destroy();
				}
			}, 350);
		});
		const stream = harness.call('resumable', 3900);
		await eventually(() => broken.received.length === 1);
		const other = await harness.startUpstream('other', ({id, socket}) => {
			socket.write(`${formatStreamHead(id)}${formatChunk('id: 9\ndata: b\n\n')}0\r\n\r\n`);
		});
		const {body} = await stream;
		expect(harness.decisions.map(({refusal}) => refusal)).to.deep.equal([undefined, undefined]);
		expect(other.received.map(({lastEventId}) => lastEventId)).to.deep.equal(['8']);
		expect(body.match(/data: a/gv)).to.have.length(8);
		expect(body).to.include('data: b');
		expect(harness.heldCount).to.equal(0);
	});

	// Guards against a stream that is not resumed because there would be no time to run all of it again.
	it('asks for a place for the rest of its events only', async () => {
		const events = formatChunk('id: 1\ndata: a\n\n'.repeat(30));
		await harness.startUpstream('broken', ({id, socket}) => {
			socket.write(formatStreamHead(id) + events);
			setTimeout(() => socket.destroy(), 500);
		});
		harness.change({
			pools: [{
				name: 'desk', slots: 4, maxConnections: 100, isEngine: true, tokensPerEvent: 1,
			}],
		});
		const caller = harness.connect();
		caller.socket.write(formatRequest('resumable', 'long', 'X-Token-Count: 100,200\r\nX-Length-Hint: 70\r\nX-Deadline-Ms: 1500\r\n'));
		await eventually(() => caller.text.includes('data: a'));
		await harness.startUpstream('other', ({id, socket}) => socket.write(`${formatStreamHead(id)}${formatChunk('id: 2\ndata: b\n\n')}0\r\n\r\n`));
		await eventually(() => harness.decisions.length === 2);
		expect(harness.decisions.map(({refusal}) => refusal)).to.deep.equal([undefined, undefined]);
		expect(harness.decisions.map(({ask}) => ask.outputEvents)).to.deep.equal([70, 40]);
		caller.socket.destroy();
	});

	// Guards against sound streams that are refused because other streams at the same upstream were torn.
	it('does not eject its upstream, which answers other requests', async () => {
		await harness.startUpstream('tearing', ({id, socket}) => {
			socket.write(formatStreamHead(id) + formatChunk('id: 1\ndata: a\n\n'));
			socket.end(formatChunk('id: 2\ndata'));
		});
		for (let count = 0; count < 8; count += 1) {
			const {status, body} = await harness.call('stream'); // eslint-disable-line no-await-in-loop -- one after another
			expect(status, `stream ${count}`).to.equal(200);
			expect(body).to.include('data: a');
		}
	});
});
