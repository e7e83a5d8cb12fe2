import {expect} from 'chai';
import {Assignment, REMOTE_NODES_PER_UPSTREAM, NODES_PER_UPSTREAM} from '../../src/members/assignment.js';
import {chooseEntries, mayClose} from '../../src/members/entries.js';
import {type AssignableUpstream} from '../../src/members/pool-coverage.js';
import {MemberStatus, type MemberView} from '../../src/members/member.js';

function member(index: number, view: Partial<MemberView> = {}): MemberView {
	return {
		id: `vm-${index}`,
		process: `p${index}`,
		address: `10.0.0.${index}:7000`,
		entryAddress: `10.0.0.${index}:80`,
		region: index % 2 === 0 ? 'a' : 'b',
		dataCentre: 'a-1',
		incarnation: 1,
		status: MemberStatus.Alive,
		load: 0,
		...view,
	};
}

const members = (count: number) => Array.from({length: count}, (_, index) => member(index));
const upstream = (index: number, pool: string): AssignableUpstream => ({
	id: `${pool}-${index}`, pool, region: index % 2 === 0 ? 'a' : 'b', dataCentre: `${index % 2 === 0 ? 'a' : 'b'}-${index % 5}`,
});
const upstreams = Array.from({length: 200}, (_, index) => upstream(index, 'team/chat'));

function pairs(assignment: Assignment): Set<string> {
	return new Set(upstreams.flatMap(({id}) => assignment.nodesOf(id).map(node => `${id} ${node.id}`)));
}

describe('assignment', () => {
	// Guards against a join or leave that moves most assignments, and against nodes with too many or no upstreams.
	it('moves few assignments when any node joins or leaves, and stays balanced', () => {
		const before = pairs(Assignment.create(members(60), upstreams));
		const mean = before.size / 60;
		expect(before.size).to.equal(upstreams.length * NODES_PER_UPSTREAM);
		for (const {id} of members(60)) {
			const assignment = Assignment.create(members(60).filter(view => view.id !== id), upstreams);
			const after = pairs(assignment);
			expect([...after].filter(pair => !before.has(pair)).length).to.be.lessThan(4 * mean);
			const counts = members(60).filter(view => view.id !== id).map(view => assignment.upstreamsOf(view.id).length);
			expect(Math.min(...counts)).to.be.greaterThan(mean / 4);
			expect(Math.max(...counts)).to.be.lessThan(1.5 * mean);
		}
	});

	// Guards against reassignment when a region is partitioned, and against allocators that are not alive.
	it('keeps suspects assigned but not as allocators, and prefers nodes of the same region', () => {
		const membersWithSuspects = members(60).map(view => view.region === 'b' ? {...view, status: MemberStatus.Suspect} : view);
		const assignment = Assignment.create(membersWithSuspects, upstreams);
		expect(pairs(assignment)).to.deep.equal(pairs(Assignment.create(members(60), upstreams)));
		for (const {id, region} of upstreams) {
			const isSameRegion = assignment.nodesOf(id).map(node => node.region === region);
			const localCount = NODES_PER_UPSTREAM - REMOTE_NODES_PER_UPSTREAM;
			expect(isSameRegion).to.deep.equal(isSameRegion.map((_, index) => index < localCount));
			expect(isSameRegion.length).to.equal(NODES_PER_UPSTREAM);
		}

		expect(upstreams.every(({id}) => assignment.allocatorOf(id)?.status !== MemberStatus.Suspect)).to.equal(true);
		expect(Assignment.create(members(3), upstreams).nodesOf('team/chat-0').length).to.equal(3);
	});
});

describe('assignment of pools', () => {
	const mixedUpstreams = [
		...Array.from({length: 760}, (_, index) => upstream(index, `team-${index % 9}/chat`)),
		...Array.from({length: 9}, (_, team) => Array.from({length: 3}, (__, index) => upstream(index, `team-${team}/bookings`))).flat(),
		upstream(0, 'team-0/single'),
		...[0, 10].map(index => upstream(index, 'team-0/one-site')),
	];
	const pools = [...new Set(mixedUpstreams.map(({pool}) => pool))];
	const byId = new Map(mixedUpstreams.map(entry => [entry.id, entry]));
	const reachedBy = (assignment: Assignment, node: string, pool: string) => assignment.upstreamsOf(node).map(id => byId.get(id)!).filter(entry => entry.pool === pool);

	// Guards against nodes that reject the callers of a small pool because they are assigned none of its upstreams.
	it('assigns each of 360 nodes two upstreams of each pool, in two data centres if the pool has them', () => {
		const assignment = Assignment.create(members(360), mixedUpstreams);
		for (const pool of pools) {
			const all = mixedUpstreams.filter(entry => entry.pool === pool);
			for (const {id} of members(360)) {
				const reached = reachedBy(assignment, id, pool);
				expect(new Set(reached).size, 'no duplicate upstreams').to.equal(reached.length);
				expect(reached.length).to.be.at.least(Math.min(2, all.length));
				const dataCentres = new Set(reached.map(({dataCentre}) => dataCentre)).size;
				expect(dataCentres).to.be.at.least(Math.min(2, new Set(all.map(({dataCentre}) => dataCentre)).size));
			}
		}
	});

	// Guards against a pool that becomes unusable when all upstreams or all nodes of one region are lost.
	it('assigns each node upstreams of both regions of a pool, and each upstream nodes of both regions', () => {
		const assignment = Assignment.create(members(360), mixedUpstreams);
		for (const pool of pools.filter(name => /chat|bookings/v.test(name))) {
			for (const {id} of members(360)) {
				expect(new Set(reachedBy(assignment, id, pool).map(({region}) => region)).size).to.equal(2);
			}
		}

		for (const {id} of mixedUpstreams) {
			expect(new Set(assignment.nodesOf(id).map(({region}) => region)).size).to.equal(2);
		}
	});

	// Guards against pool coverage that reassigns the upstreams of nodes that neither joined nor left.
	it('moves few assignments with pool coverage when a node leaves', () => {
		const pairsOf = (assignment: Assignment) => new Set(mixedUpstreams.flatMap(({id}) => assignment.nodesOf(id).map(node => `${id} ${node.id}`)));
		const before = pairsOf(Assignment.create(members(360), mixedUpstreams));
		const mean = before.size / 360;
		for (const removed of [0, 7, 118, 359]) {
			const after = pairsOf(Assignment.create(members(360).filter(view => view.id !== `vm-${removed}`), mixedUpstreams));
			expect([...after].filter(pair => !before.has(pair)).length).to.be.lessThan(4 * mean);
		}
	});
});

describe('entries', () => {
	// Guards against callers that are directed to a leaving or suspect VM, or to another region unnecessarily.
	it('returns three live addresses with the caller\'s region first, and omits leaving VMs immediately', () => {
		const views = members(8).map((view, index) => index === 0 ? {...view, status: MemberStatus.Leaving} : (index === 2 ? {...view, status: MemberStatus.Suspect} : view));
		for (let caller = 0; caller < 100; caller += 1) {
			const {addresses, keepSeconds} = chooseEntries({id: `team/c${caller}`, region: 'a'}, views);
			expect(keepSeconds).to.equal(10);
			expect(addresses.slice(0, 2).toSorted()).to.deep.equal(['10.0.0.4:80', '10.0.0.6:80']);
			expect(addresses[2]).to.match(/\.[1357]:80$/v);
		}
	});

	// Guards against loaded VMs that get as many callers as idle ones, and against callers that change VMs unnecessarily.
	it('distributes callers by load and keeps each caller on its VM', () => {
		const views = members(4).map((view, index) => ({...view, region: 'a', load: index === 0 ? 75 : 0}));
		const firstAddresses = (count: number, list: readonly MemberView[]) => Array.from({length: count}, (_, index) => chooseEntries({id: `c${index}`, region: 'a'}, list).addresses[0]!);
		const chosen = firstAddresses(4000, views);
		const share = chosen.filter(address => address === '10.0.0.0:80').length / chosen.length;
		expect(share).to.be.within((0.25 / 3.25) - 0.02, (0.25 / 3.25) + 0.02);
		const without = firstAddresses(4000, views.slice(0, 3));
		expect(chosen.every((address, index) => address === '10.0.0.3:80' || address === without[index])).to.equal(true);
	});

	// Guards against a listener that closes while callers still have its address cached or requests are running.
	it('lets a leaving VM close after twice the cache time and when no request is in flight', () => {
		expect(mayClose({leavingForMs: 19_999, inFlight: 0})).to.equal(false);
		expect(mayClose({leavingForMs: 20_000, inFlight: 1})).to.equal(false);
		expect(mayClose({leavingForMs: 20_000, inFlight: 0})).to.equal(true);
	});
});
