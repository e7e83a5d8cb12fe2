/** Membership: two nodes discover each other by gossip; the application provides the transport. */
import {Membership} from 'redwingspool/members';
import {Random} from 'redwingspool/random';

const [a, b] = ['a', 'b'].map((id, index) => Membership.create({
	self: {
		id, process: `process-${id}`, address: `10.0.0.${index}:7000`, entryAddress: `10.0.0.${index}:80`, region: 'north', dataCentre: 'north-1',
	},
	incarnation: 1,
	random: Random.create(index),
	now: 0,
}));
a!.setSeeds([b!.self.address]);
for (let now = 500; now <= 5000; now += 500) {
	for (const call of a!.tick(now)) {
		a!.receiveAnswer(b!.receiveRequest(call.req, now), now);
	}
}

console.log(`b knows: ${b!.members(5000).map(({id}) => id).toSorted().join(', ')}`);
