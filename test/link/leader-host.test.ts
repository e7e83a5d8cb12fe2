import {Socket} from 'node:net';
import {expect} from 'chai';
import {ok} from 'true-myth/result';
import {Allocator} from '../../src/allocation/allocator.js';
import {type PlaceRequest} from '../../src/allocation/allocation.js';
import {Log} from '../../src/base/log.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {DeploymentState} from '../../src/gateway/deployment-state.js';
import {Operation} from '../../src/gateway/routing-table.js';
import {LeaderHost} from '../../src/link/leader-host.js';
import {LineChannel} from '../../src/link/line-channel.js';
import {type Channel} from '../../src/link/link-network.js';
import {
	type FromLeader, type Leader, type Member, type ToLeader,
} from '../../src/link/messages.js';
import {createPlaceRequest} from '../support/place-request.js';

const self: Member = {
	name: 'vm', frontAddress: 'vm:80', linkAddress: 'vm:81', dataCentre: 'a', region: 'r', strength: 1, boot: 'vm-1', isReady: true,
};

function makeDeskAsk(id: string): PlaceRequest {
	return createPlaceRequest(id, {
		pool: 'desk', operation: Operation.Unsafe, objectiveMs: 200, remainingMs: 1000, callerLeavesMs: 1000, patienceMs: 1000,
	});
}

function makeChannel(): LineChannel<FromLeader, ToLeader> {
	return LineChannel.create<FromLeader, ToLeader>(new Socket(), {
		onMessage() {
			// The test passes messages to the host directly.
		},
		onClose() {
			// The tests call `host.remove` where they need it.
		},
	}, value => ok(value as ToLeader));
}

describe('links of the leader', () => {
	let allocator: Allocator;
	let host: LeaderHost;
	let clock: VirtualClock;
	let state: DeploymentState;
	let reachesStore: boolean;
	let channel: LineChannel<FromLeader, ToLeader>;

	beforeEach(() => {
		clock = VirtualClock.create();
		reachesStore = true;
		const log = Log.create('silent');
		state = DeploymentState.create(log);
		allocator = Allocator.create({
			clock, random: Random.create(1), nodeId: 'test', repeatBounds: {ratio: 0.2, slack: 20, windowMs: 10_000}, quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000}, limits: state.limits,
		});
		allocator.setUpstreams({
			changed: [{
				id: 'one', pool: 'desk', address: '10.0.0.1:80', dataCentre: 'a', region: 'r', slots: 1, isLeaving: false, startedAt: 1,
			}],
			removed: [],
		});
		host = LeaderHost.create({
			clock, log, state, allocator, self: () => self, reachesStore: () => reachesStore,
		});
		channel = makeChannel();
		host.add(channel, {kind: 'hello', member: {...self, name: 'other', boot: 'other-1'}, configurationVersion: 0});
	});

	afterEach(() => {
		host.stop();
	});

	// Guards against places that stay held at the leader although their VM has released them. A list sent with the hello
	// would include places that the VM releases before the welcome, and the leader does not learn of these releases. In a
	// deployment of 81 VMs with growing load, about 28 of 36 places of a service stayed held this way.
	it('adopt held places only from the list that is sent after the welcome', () => {
		expect(allocator.heldCount).to.equal(0);
		host.receive(channel, {
			kind: 'places', places: [{
				ask: makeDeskAsk('held'), upstreamId: 'one', heldMs: 10, hasFirst: false,
			}],
		});
		expect(allocator.heldCount).to.equal(1);
		host.receive(channel, {
			kind: 'release', id: 'held', report: {
				ending: 'answered', firstMs: 10, streamMs: 0, events: 0, load: undefined,
			},
		});
		expect(allocator.heldCount).to.equal(0);
	});

	it('keep places that a VM lists on a new link when its previous link ends', () => {
		host.receive(channel, {kind: 'ask', ask: makeDeskAsk('kept')});
		host.receive(channel, {kind: 'ask', ask: makeDeskAsk('given-up')});
		const next = makeChannel();
		host.add(next, {kind: 'hello', member: {...self, name: 'other', boot: 'other-1'}, configurationVersion: 0});
		host.receive(next, {
			kind: 'places', places: [{
				ask: makeDeskAsk('kept'), upstreamId: 'one', heldMs: 10, hasFirst: false,
			}],
		});
		host.remove(channel);
		expect([allocator.heldCount, allocator.waitingCount]).to.deep.equal([1, 0]);
	});

	it('release a place whose grant crosses the withdrawal of its ask', () => {
		host.receive(channel, {kind: 'ask', ask: makeDeskAsk('crossing')});
		expect(allocator.heldCount).to.equal(1);
		host.receive(channel, {kind: 'withdraw', id: 'crossing'});
		expect(allocator.heldCount).to.equal(0);
	});

	// Guards against an allocating VM that sends no more heartbeats after one error (report FAULT).
	it('send heartbeats after an error in one round', () => {
		let rounds = 0;
		allocator.setShare = () => {
			rounds += 1;
			if (rounds === 2) {
				throw new Error('once');
			}
		};

		host.start({
			name: 'vm', linkAddress: 'vm:81', boot: 'vm-1', term: {era: 1, version: 1}, vmCount: 2,
		});
		expect(() => {
			clock.advance(1000);
		}).to.throw('once');
		clock.advance(3000);
		expect(rounds).to.be.above(10);
	});

	// Guards against a former leader that drops all other VMs from its member list while it closes their links: it would
	// then claim leadership without probing any of them.
	// Guards against VMs that go on watching the store after an outage of the leader: under load, grants took the place of the
	// heartbeat that says that the store is back, and 30 VMs made 2,759 calls on a day that needs some hundred.
	it('tell a VM that the store is back although it is sent other messages all the time', () => {
		const sent: FromLeader[] = [];
		channel.sendLine = line => {
			sent.push(JSON.parse(line) as FromLeader);
		};

		channel.send = message => {
			sent.push(message);
		};

		host.start({
			name: 'vm', linkAddress: 'vm:81', boot: 'vm-1', term: {era: 1, version: 1}, vmCount: 2,
		});
		reachesStore = false;
		clock.advance(500);
		reachesStore = true;
		for (let count = 0; count < 10; count += 1) {
			host.receive(channel, {kind: 'ask', ask: makeDeskAsk(`busy-${count}`)});
			host.receive(channel, {
				kind: 'release', id: `busy-${count}`, report: {
					ending: 'answered', firstMs: 10, streamMs: 0, events: 0, load: undefined,
				},
			});
			// A VM that sends nothing for too long is taken as lost.
			clock.advance(100);
		}

		const beats = sent.filter(message => message.kind === 'beat').map(message => message.reachesStore);
		expect(beats).to.include(false);
		expect(beats.at(-1)).to.equal(true);
	});

	it('publish no member list after the VM has stopped leading', () => {
		const leader: Leader = {
			name: 'vm', linkAddress: 'vm:81', boot: 'vm-1', term: {era: 1, version: 1}, vmCount: 2,
		};
		const closed: Array<Channel<FromLeader>> = [];
		const thirdChannel = LineChannel.create<FromLeader, ToLeader>(new Socket(), {
			onMessage() {
				// The test passes messages to the host directly.
			},
			onClose() {
				host.remove(thirdChannel);
				closed.push(thirdChannel);
			},
		}, value => ok(value as ToLeader));
		host.add(thirdChannel, {kind: 'hello', member: {...self, name: 'third', boot: 'third-1'}, configurationVersion: 0});
		host.start(leader);
		clock.advance(100);
		expect(state.members).to.have.length(3);
		host.stop();
		expect(closed).to.have.length(1);
		clock.advance(1000);
		expect(state.members).to.have.length(3);
	});

	it('count a VM with an earlier link only once', () => {
		host.add(makeChannel(), {kind: 'hello', member: {...self, name: 'other', boot: 'other-1'}, configurationVersion: 0});
		clock.advance(100);
		expect(state.members.map(({name}) => name)).to.deep.equal(['vm', 'other']);
	});

	it('grant a smaller share of the quotas while lost VMs may have another leader', () => {
		const shares: number[] = [];
		const setShare = allocator.setShare.bind(allocator);
		allocator.setShare = share => {
			shares.push(share);
			setShare(share);
		};

		reachesStore = false;
		host.start({
			name: 'vm', linkAddress: 'vm:81', boot: 'vm-1', term: {era: 1, version: 1}, vmCount: 2,
		});
		clock.advance(600);
		expect(shares.at(-1)).to.equal(1);
		clock.advance(400);
		expect(shares.at(-1)).to.equal(0.25);
		reachesStore = true;
		clock.advance(6000);
		expect(shares.at(-1)).to.equal(1);
	});

	// Guards against customers that are refused for half of their quota: VMs that stopped in turn while the store was away
	// counted as lost ones, which may have another leader.
	it('grant the whole of the quotas after a VM has stopped as planned, also without the store', () => {
		const shares: number[] = [];
		allocator.setShare = share => {
			shares.push(share);
		};

		reachesStore = false;
		host.start({
			name: 'vm', linkAddress: 'vm:81', boot: 'vm-1', term: {era: 1, version: 1}, vmCount: 2,
		});
		clock.advance(300);
		host.receive(channel, {kind: 'resigned'});
		host.remove(channel);
		clock.advance(1000);
		expect(new Set(shares)).to.deep.equal(new Set([1]));
	});

	it('release all places and queue entries of a VM whose link is lost', () => {
		host.receive(channel, {kind: 'ask', ask: makeDeskAsk('granted')});
		host.receive(channel, {kind: 'ask', ask: makeDeskAsk('waiting')});
		expect([allocator.heldCount, allocator.waitingCount]).to.deep.equal([1, 1]);
		host.remove(channel);
		expect([allocator.heldCount, allocator.waitingCount]).to.deep.equal([0, 0]);
	});
});
