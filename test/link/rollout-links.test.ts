import {Socket} from 'node:net';
import {expect} from 'chai';
import {ok} from 'true-myth/result';
import {Log} from '../../src/base/log.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {DeploymentState} from '../../src/gateway/deployment-state.js';
import {LeaderHost} from '../../src/link/leader-host.js';
import {LineChannel} from '../../src/link/line-channel.js';
import {type FromLeader, type Member, type ToLeader} from '../../src/link/messages.js';
import {LOST_VM_LAPSE_MS} from '../../src/rollout/informed-vms.js';
import {createPlaceRequest} from '../support/place-request.js';
import {createUpstreams, MemoryRows, RolloutVm} from '../support/rollout-vm.js';

const self: Member = {
	name: 'vm', frontAddress: 'vm:80', linkAddress: 'vm:81', dataCentre: 'a', region: 'r', strength: 1, boot: 'vm-1', isReady: true,
};
const HELD_MS = 7000;

describe('links of the leader in a roll-out', () => {
	let clock: VirtualClock;
	let vm: RolloutVm;
	let host: LeaderHost;
	let sent: FromLeader[];

	function link(name: string): LineChannel<FromLeader, ToLeader> {
		const channel = LineChannel.create<FromLeader, ToLeader>(new Socket(), {
			onMessage() {
				// The test passes messages to the host directly.
			},
			onClose() {
				// The test calls `host.remove`.
			},
		}, value => ok(value as ToLeader));
		channel.send = message => {
			sent.push(message);
		};

		host.add(channel, {kind: 'hello', member: {...self, name, boot: `${name}-1`}, configurationVersion: 0});
		return channel;
	}

	beforeEach(() => {
		clock = VirtualClock.create();
		sent = [];
		vm = RolloutVm.create(clock, new MemoryRows());
		vm.list(...createUpstreams('v1', 2));
		vm.lead(1);
		const log = Log.create('silent');
		host = LeaderHost.create({
			clock, log, state: DeploymentState.create(log), allocator: vm.allocator, self: () => self, reachesStore: () => true, rollouts: vm.rollouts,
		});
	});

	function areInformed(): boolean {
		return vm.rollouts.informed.areInformed(vm.rollouts.message.revision, clock.now());
	}

	// Guards against old upstreams that are stopped while a VM has not been told of the switch.
	it('count a VM as informed only when it has acknowledged the present state', () => {
		const channel = link('other');
		const message = sent.find(({kind}) => kind === 'rollouts') as Extract<FromLeader, {kind: 'rollouts'}>;
		expect(areInformed()).to.equal(false);
		host.receive(channel, {kind: 'rollouts-known', revision: message.revision});
		expect(areInformed()).to.equal(true);
		vm.rollouts.merge([{pool: 'advice', known: ['v0']}]);
		expect(areInformed()).to.equal(false);
	});

	// Guards against old upstreams that are stopped under the requests of a VM that is cut off, whose places the leader has released.
	it('wait for the deadline of what a lost VM held, unless it links again', () => {
		const channel = link('other');
		host.receive(channel, {kind: 'ask', ask: createPlaceRequest('held', {remainingMs: HELD_MS})});
		host.remove(channel);
		expect(vm.allocator.heldCount).to.equal(0);
		clock.advance(LOST_VM_LAPSE_MS);
		expect(areInformed()).to.equal(false);
		clock.advance(HELD_MS - LOST_VM_LAPSE_MS);
		expect(areInformed()).to.equal(true);
		const next = link('other');
		host.receive(next, {kind: 'rollouts-known', revision: vm.rollouts.message.revision});
		expect(areInformed()).to.equal(true);
	});
});
