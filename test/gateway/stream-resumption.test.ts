import {clearInterval, setInterval} from 'node:timers';
import {expect} from 'chai';
import {eventually} from '../support/eventually.js';
import {
	formatChunk, formatStreamHead, FrontHarness, RawUpstream, type ReceivedRequest,
} from '../support/front-harness.js';

describe('a stream that breaks off', () => {
	let harness: FrontHarness;
	let upstreams: RawUpstream[];

	beforeEach(async () => {
		harness = await FrontHarness.start();
		upstreams = [];
	});

	afterEach(() => {
		harness.stop();
		for (const upstream of upstreams) {
			upstream.stop();
		}
	});

	async function start(id: string, answer: (req: ReceivedRequest) => void): Promise<RawUpstream> {
		const upstream = await RawUpstream.start(id, answer);
		upstreams.push(upstream);
		harness.state.applyUpstreams({changed: [upstream.toUpstream()], removed: []});
		return upstream;
	}

	// Guards against a stream that is not resumed because it began longer ago than callers wait for a first event.
	it('resumes elsewhere however long ago it began', async () => {
		const broken = await start('broken', ({id, socket}) => {
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
		const other = await start('other', ({id, socket}) => {
			socket.write(`${formatStreamHead(id)}${formatChunk('id: 9\ndata: b\n\n')}0\r\n\r\n`);
		});
		const {body} = await stream;
		expect(harness.decisions.map(({refusal}) => refusal)).to.deep.equal([undefined, undefined]);
		expect(other.received.map(({lastEventId}) => lastEventId)).to.deep.equal(['8']);
		expect(body.match(/data: a/gv)).to.have.length(8);
		expect(body).to.include('data: b');
		expect(harness.heldCount).to.equal(0);
	});
});
