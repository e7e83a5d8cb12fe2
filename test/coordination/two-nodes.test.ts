import {expect} from 'chai';
import {request} from 'undici';
import {type Node} from '../../src/serve/node.js';
import {BookingStandIn} from '../../standins/booking.js';
import {PlatformStandIn} from '../../standins/platform.js';
import {createAdapters} from '../store/platform-adapters.js';
import {createDeployment, createTestNode, testApiKey} from '../support/dev-cluster.js';

type Answer = {readonly status: number; readonly ran: string | undefined; readonly text: string};

describe('two nodes that share the table service over its network protocol', () => {
	let platform: PlatformStandIn;
	let booking: BookingStandIn;
	let nodes: Node[];
	let adapters: ReturnType<typeof createAdapters>;

	beforeEach(async () => {
		platform = await PlatformStandIn.start();
		booking = await BookingStandIn.start();
		adapters = createAdapters(platform);
		nodes = [createTestNode(adapters.table), createTestNode(adapters.table)];
		for (const node of nodes) {
			node.settings.apply(createDeployment([], booking, true));
		}

		await Promise.all(nodes.map(async node => node.start()));
	});

	afterEach(async () => {
		await Promise.all(nodes.map(async node => node.stop()));
		await Promise.all([booking.stop(), platform.stop()]);
		adapters.table.destroy();
	});

	async function placeHold(node: Node, key: string, headers: Record<string, string> = {}): Promise<Answer> {
		const res = await request(`http://${node.address}/services/booking/holds`, {
			method: 'POST', body: 'table 4', headers: {authorization: `Bearer ${testApiKey}`, 'idempotency-key': key, ...headers},
		});
		return {status: res.statusCode, ran: res.headers['redwingspool-ran']?.toString(), text: await res.body.text()};
	}

	it('place a hold once if it is retried on the other node while it runs and after it has ended', async () => {
		booking.delayMs = 200;
		const first = placeHold(nodes[0]!, 'k/1 "u"');
		while (booking.holds.length === 0) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(setImmediate);
		}

		expect(await placeHold(nodes[1]!, 'k/1 "u"')).to.deep.include({status: 409, ran: 'unknown'});
		expect(await first).to.deep.include({status: 201, text: '{"hold":1}'});
		expect(await placeHold(nodes[1]!, 'k/1 "u"')).to.deep.include({status: 201, text: '{"hold":1}'});
		expect(booking.holds).to.have.length(1);
	});

	it('place a hold once if the response to the claim write is lost, or the write takes effect late', async () => {
		platform.inject({dropAnswerCount: 1});
		expect(await placeHold(nodes[0]!, 'k')).to.deep.include({status: 201});
		platform.inject({lateWriteCount: 1, lateWriteMs: 20});
		expect(await placeHold(nodes[1]!, 'late')).to.deep.include({status: 201});
		expect(await placeHold(nodes[1]!, 'k')).to.deep.include({status: 201, text: '{"hold":1}'});
		expect(booking.holds).to.have.length(2);
	});

	it('refuse holds while the store is down, and report only a declared first attempt as not run', async () => {
		await placeHold(nodes[0]!, 'k');
		platform.inject({isDown: true});
		const [repeat, first] = await Promise.all([placeHold(nodes[1]!, 'k'), placeHold(nodes[1]!, 'new', {'redwingspool-attempt': '1'})]);
		expect(repeat).to.deep.include({status: 503, ran: 'unknown'});
		expect(first).to.deep.include({status: 503, ran: 'no'});
		expect(booking.holds).to.have.length(1);
		platform.clearFaults();
		expect(await placeHold(nodes[1]!, 'k')).to.deep.include({status: 201, text: '{"hold":1}'});
	});
});
