import {expect} from 'chai';
import {Random} from '../../src/base/random.js';
import {Liveness} from '../../src/members/failure-detector.js';
import {Heartbeats} from '../../src/members/heartbeats.js';
import {GOSSIP_FAN_OUT, GOSSIP_INTERVAL_MS} from '../../src/members/membership.js';
import {MemberState} from '../../src/peer/generated/redwingspool/peer/v1/peer_pb.js';

const NODES = 180;
const LOSS = 0.01;
const WARM_UP_MS = 10_000;
const RUN_MS = 40_000;
const STEPS_PER_INTERVAL = 10;

function createNodes(): Heartbeats[] {
	const ids = Array.from({length: NODES}, (_, index) => `vm-${index}`);
	return ids.map(self => {
		const heartbeats = Heartbeats.create(self);
		for (const id of ids) {
			heartbeats.setMember({
				$typeName: 'redwingspool.peer.v1.Member', id, process: id, address: id, entryAddress: id, region: 'a', dataCentre: 'a-1', state: MemberState.ALIVE,
			}, 1, 0);
		}

		return heartbeats;
	});
}

describe('heartbeats', () => {
	// Guards against messages with too few heartbeats, which delay updates until live nodes become suspect at 180 nodes.
	it('does not suspect any live node of 180 at 1% message loss', function () {
		this.timeout(60_000);
		const random = Random.create(1);
		const nodes = createNodes();
		const exchange = (from: Heartbeats, to: Heartbeats, now: number) => {
			const req = from.select();
			if (random.next() >= LOSS) {
				to.merge(req, now);
				from.merge(random.next() < LOSS ? undefined : to.select(), now);
			}
		};

		let falseSuspicions = 0;
		for (let step = 0; step * GOSSIP_INTERVAL_MS / STEPS_PER_INTERVAL < RUN_MS; step += 1) {
			const now = step * GOSSIP_INTERVAL_MS / STEPS_PER_INTERVAL;
			for (let index = step % STEPS_PER_INTERVAL; index < NODES; index += STEPS_PER_INTERVAL) {
				nodes[index]!.beat(now);
				for (let call = 0; call < GOSSIP_FAN_OUT; call += 1) {
					exchange(nodes[index]!, nodes[random.integer(0, NODES - 1)]!, now);
				}
			}

			for (const node of now > WARM_UP_MS && now % 1000 === 0 ? nodes : []) {
				falseSuspicions += nodes.filter((_, index) => node.liveness(`vm-${index}`, now) !== Liveness.Alive).length;
			}
		}

		expect(falseSuspicions).to.equal(0);
	});
});
