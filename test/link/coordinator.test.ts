import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {ok} from 'true-myth/result';
import {emptyReport} from '../../src/allocation/allocation.js';
import {SystemClock} from '../../src/base/clock.js';
import {ErrorKind} from '../../src/base/errors.js';
import {Log} from '../../src/base/log.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {Role} from '../../src/link/coordinator.js';
import {type FromLeader, type ToLeader} from '../../src/link/messages.js';
import {TcpNetwork} from '../../src/link/tcp-network.js';
import {createPlaceRequest} from '../support/place-request.js';
import {eventually} from '../support/eventually.js';
import {freePort} from '../support/free-port.js';
import {
	createConfiguration as configuration, LinkedVms, type MemoryRow, type Vm,
} from '../support/linked-vms.js';

const clock = SystemClock.create();

describe('choice of the allocator', function () {
	this.timeout(15_000);
	let deployment: LinkedVms;
	let row: MemoryRow;
	let vms: Vm[];

	beforeEach(() => {
		deployment = LinkedVms.create();
		({row, vms} = deployment);
	});

	afterEach(() => {
		deployment.stop();
	});

	async function startVm(name: string, strength: number, seeds: readonly string[] = []): Promise<Vm> {
		return deployment.start(name, strength, seeds);
	}

	async function startVms(): Promise<void> {
		await deployment.startThree();
	}

	async function settled(count: number): Promise<Vm> {
		return deployment.settled(count);
	}

	function kill(vm: Vm): void {
		deployment.kill(vm);
	}

	// Guards against a VM that neither searches for the allocator nor takes over after one error (report FAULT).
	it('goes on after an error in a VM that becomes alone', async () => {
		const starting = deployment.start('strong', 3, [], (_state, allocator) => {
			const adopt = allocator.adopt.bind(allocator);
			allocator.adopt = () => {
				allocator.adopt = adopt;
				throw new Error('once');
			};
		});
		await expectFailure(starting);
		await eventually(() => vms[0]!.coordinator.role === Role.Leading);
		await startVm('weak', 1);
		await settled(2);
	});

	// Guards against a VM that is in no directory because it became ready between its hello and the answer to it (report FAULT).
	it('tells the allocator of a readiness that changes while it is being linked', async () => {
		const leader = {
			name: 'leader', linkAddress: `127.0.0.1:${await freePort()}`, boot: 'leader-1', term: {era: 1, version: 1}, vmCount: 2,
		};
		const received: ToLeader[] = [];
		const network = TcpNetwork.create(clock, Log.create('silent'));
		await network.listen(leader.linkAddress, connection => {
			const channel = connection.open<FromLeader, ToLeader>({
				onMessage(message) {
					received.push(message);
					if (message.kind === 'hello') {
						vms[0]!.coordinator.setReady(false);
						channel.send({kind: 'welcome', leader});
					}
				},
				onClose() {
					// The test ends.
				},
			}, value => ok(value as ToLeader));
		});
		row.leader = leader;
		await startVm('other', 1);
		await eventually(() => received.some(message => message.kind === 'member' && !message.member.isReady));
		network.stop();
	});

	async function expectFailure(promise: Promise<unknown>): Promise<void> {
		let message = '';
		try {
			await promise;
		} catch (error) {
			({message} = error as Error);
		}

		expect(message).to.equal('once');
	}

	describe('with an upstream that states a limit', () => {
		const limit = {id: 'up-1', startedAt: 1};

		function stateLimit(vm: Vm, perSecond: number | undefined): void {
			vm.state.noteLimit({...limit, perSecond}, clock.now(), clock.now());
		}

		async function eventuallyKnown(perSecond: number | undefined, at = vms): Promise<void> {
			await eventually(() => at.every(vm => vm.state.limits.perSecond(limit) === perSecond));
		}

		// Guards against a limit that holds only at the VM that was told: the leader grants the other VMs' requests regardless.
		it('tells the leader and all VMs of the limit, of its changes and of its end, whichever VM learns of them', async () => {
			await startVms();
			for (const [index, perSecond] of [2, 0, 0.5, 100, undefined, 3].entries()) {
				stateLimit(vms[index % vms.length]!, perSecond);
				await eventuallyKnown(perSecond); // eslint-disable-line no-await-in-loop -- changes follow each other
			}
		});

		it('keeps the limit when the leader that learnt of it is gone', async () => {
			await startVms();
			stateLimit(vms[0]!, 2);
			await eventuallyKnown(2);
			vms.shift()!.coordinator.stop();
			await settled(2);
			expect(vms.map(vm => vm.state.limits.perSecond(limit))).to.deep.equal([2, 2]);
		});

		it('tells a VM that starts later', async () => {
			await startVms();
			stateLimit(vms[1]!, 2);
			await eventuallyKnown(2);
			await startVm('late', 0.5);
			await eventuallyKnown(2);
		});

		it('learns of a limit that a VM was told while it decided alone', async () => {
			await startVm('strong', 3);
			await eventually(() => vms[0]!.coordinator.role === Role.Leading);
			const alone = await startVm('alone', 1);
			stateLimit(alone, 2);
			await eventuallyKnown(2);
		});

		it('does not restore a limit that has ended since a VM that links learnt of it', async () => {
			await startVms();
			const [leader, , weak] = vms;
			weak!.state.replaceLimits([{...limit, perSecond: 2, ageMs: 60_000}], clock.now());
			stateLimit(leader!, 5);
			await eventuallyKnown(5);
			leader!.state.noteLimit({...limit, perSecond: undefined}, clock.now() + 1, clock.now() + 1);
			await eventuallyKnown(undefined);
			weak!.state.replaceLimits([{...limit, perSecond: 2, ageMs: 60_000}], clock.now());
			weak!.coordinator.stop();
			vms.pop();
			const again = await startVm('again', 1);
			again.state.replaceLimits([{...limit, perSecond: 2, ageMs: 60_000}], clock.now());
			await settled(3);
			await eventuallyKnown(undefined);
		});
	});

	it('converges on one allocator, the only VM that watches the store', async () => {
		await startVms();
		const leader = await settled(3);
		expect(vms.filter(vm => vm.isWatchingStore)).to.deep.equal([leader]);
	});

	it('replaces an allocator that stopped, and the successor decides the waiting requests', async () => {
		await startVms();
		const leader = await settled(3);
		const other = vms.find(vm => vm !== leader)!;
		let grantedTo: string | undefined;
		leader.state.applyUpstreams({
			changed: [{
				id: 'full', pool: 'advice', address: '10.0.0.1:80', dataCentre: 'a', region: 'r', slots: 1, isLeaving: false, startedAt: 1,
			}],
			removed: [],
		});
		await eventually(() => other.state.upstreams.size === 1);
		leader.allocation.ask(createPlaceRequest('holder'), {
			grant() {
				// Its VM is stopped while it holds the place.
			},
			refuse() {
				throw new Error('refused');
			},
		});
		other.allocation.ask(createPlaceRequest('waiting'), {
			grant(upstreamId) {
				grantedTo = upstreamId;
			},
			refuse() {
				throw new Error('refused');
			},
		});
		kill(leader);
		await eventually(() => grantedTo === 'full');
		await settled(2);
	});

	// Guards against VMs that already know the new leader but allocate alone until their own claim delay is over: up to
	// 1.8 s after a loss of power.
	it('links to an allocator that it hears of while it waits to take over itself', async () => {
		await startVms();
		const leader = await settled(3);
		const weak = vms.findLast(vm => vm !== leader)!;
		const lostVms = Array.from({length: 11}, (_, index) => ({
			...weak.state.members[0]!, name: `dead-${index}`, linkAddress: '127.0.0.1:1', strength: 50, boot: `dead-${index}`,
		}));
		weak.state.setMembers([...weak.state.members, ...lostVms]);
		kill(leader);
		await eventually(() => vms.some(vm => vm.coordinator.role === Role.Leading));
		const start = performance.now();
		await eventually(() => weak.coordinator.role === Role.Linked);
		expect(performance.now() - start).to.be.below(700);
	});

	it('does not replace an allocator that the other VMs are connected to', async () => {
		await startVms();
		const leader = await settled(3);
		const {term} = row.leader!;
		const restarted = vms.find(vm => vm !== leader)!;
		// A restarted VM reaches the others, but the record holds an address at which it cannot reach the leader.
		row.leader = {...row.leader!, linkAddress: '127.0.0.1:1'};
		kill(restarted);
		const late = await startVm('late', 9);
		late.state.setMembers(vms.filter(vm => vm !== late && vm !== leader).flatMap(vm => vm.state.members.filter(member => member.name === vm.name)));
		await clock.sleep(1200);
		expect(row.leader?.term).to.deep.equal(term);
		expect(late.coordinator.role).to.equal(Role.Alone);
	});

	it('replaces an allocator that is the only VM unable to reach the store', async () => {
		await startVms();
		const leader = await settled(3);
		row.unreachableFor.add(leader.name);
		await eventually(() => leader.coordinator.role !== Role.Leading);
		expect(await settled(3)).to.not.equal(leader);
	});

	it('keeps the allocator while no VM reaches the store, and every VM watches the store', async () => {
		await startVms();
		const leader = await settled(3);
		row.unreachableFor.add('all');
		await eventually(() => vms.every(vm => vm.isWatchingStore));
		await clock.sleep(2000);
		expect(await settled(3)).to.equal(leader);
		row.unreachableFor.clear();
		await eventually(() => vms.filter(vm => vm.isWatchingStore).length === 1);
	});

	it('sends only the last of several small configurations in quick succession to linked VMs', async () => {
		await startVms();
		const leader = await settled(3);
		for (const version of [2, 3, 4]) {
			leader.state.applyConfiguration(configuration(version, 3));
		}

		await eventually(() => vms.every(vm => vm.state.table?.version === 4));
		expect(vms.every(vm => vm.state.table!.configuration.pools.length === 3)).to.equal(true);
		const late = await startVm('late', 1);
		await eventually(() => late.state.table?.version === 4);
		expect(vms.flatMap(vm => vm.versions)).to.deep.equal([]);
	});

	it('sends only the version of a large configuration, which VMs read from the store', async () => {
		await startVms();
		const leader = await settled(3);
		leader.state.applyConfiguration(configuration(2, 2000));
		await eventually(() => vms.every(vm => vm === leader || vm.versions.includes(2)));
		expect(vms.filter(vm => vm !== leader).map(vm => vm.state.table)).to.deep.equal([undefined, undefined]);
	});

	/** A leader with an older configuration, then VMs with a later one. */
	async function checkLaterConfiguration(poolCount: number): Promise<void> {
		const leader = await deployment.start('leader', 3, [], state => {
			state.applyConfiguration(configuration(3, poolCount));
		});
		await settled(1);
		await deployment.start('blank', 2);
		await settled(2);
		for (const name of ['later', 'later too']) {
			// eslint-disable-next-line no-await-in-loop -- the second one brings nothing new
			await deployment.start(name, 1, [], state => {
				state.applyConfiguration(configuration(4, poolCount));
			});
		}

		await settled(4);
		await eventually(() => leader.state.table?.version === 4);
		await eventually(() => vms.every(vm => vm.state.table?.version === 4 || vm.versions.includes(4)));
	}

	// Guards against a leader that started with an older copy of the store, and from which no VM gets the confirmed version.
	it('learns a later small configuration from a VM that links, and tells the others of it', async () => {
		await checkLaterConfiguration(3);
	});

	it('learns a later large configuration from a VM that links, and tells the others of it', async () => {
		await checkLaterConfiguration(2000);
	});

	// Guards against VMs that act by different configurations because the operator wrote a version twice.
	it('has its configuration in force at all VMs where another one has the same version', async () => {
		await deployment.start('leader', 3, [], state => {
			state.applyConfiguration(configuration(4, 3));
		});
		await settled(1);
		const other = await deployment.start('other', 1, [], state => {
			state.applyConfiguration(configuration(4, 2));
			state.applyConfiguration(configuration(4, 5));
			expect(state.table?.configuration.pools).to.have.length(2);
		});
		await eventually(() => other.state.table?.configuration.pools.length === 3);
		await settled(2);
		expect(vms.map(vm => vm.state.table?.configuration.pools.length)).to.deep.equal([3, 3]);
	});

	it('learns a later configuration from a VM that is no leader while there is none', async () => {
		row.unreachableFor.add('all');
		const other = await deployment.start('later', 1, [], state => {
			state.applyConfiguration(configuration(4, 3));
		});
		const vm = await deployment.start('older', 1, [other.linkAddress], state => {
			state.applyConfiguration(configuration(3, 3));
		});
		await eventually(() => vm.state.table?.version === 4);
	});

	it('tells every VM of an upstream that told one of them that it leaves, whoever allocates next', async () => {
		await startVms();
		const upstream = {
			id: 'one', pool: 'desk', address: '10.0.0.1:80', dataCentre: 'a', region: 'r', slots: 1, isLeaving: false, startedAt: 1,
		};
		const isLeaving = (vm: Vm) => vm.state.upstreams.get('one')?.isLeaving;
		for (const vm of vms) {
			vm.state.applyUpstreams({changed: [upstream], removed: []});
		}

		vms.find(({coordinator}) => coordinator.role === Role.Linked)!.state.noteLeaving([upstream]);
		await eventually(() => vms.every(vm => isLeaving(vm) === true));

		// The newcomer, which may become the next leader, has not been told; only the VMs that keep running know.
		kill(vms.find(({coordinator}) => coordinator.role === Role.Leading)!);
		const newcomer = await startVm('newcomer', 9);
		newcomer.state.applyUpstreams({changed: [upstream], removed: []});
		await settled(3);
		await eventually(() => isLeaving(newcomer) === true);
		expect(vms.map(vm => isLeaving(vm))).to.deep.equal([true, true, true]);
	});

	// Guards against crashes that each VM saw alone, or that only a lost leader knew of, and that are not summed.
	it('sums crashes by a prompt part over the VMs that saw them, also after a change of the leader', async () => {
		await startVms();
		const upstreams = Array.from({length: 8}, (_, index) => ({
			id: `engine-${index}`, pool: 'advice', address: `10.2.0.${index}:80`, dataCentre: 'a', region: 'r', slots: 4, isLeaving: false, startedAt: 1,
		}));
		for (const {state} of vms) {
			state.applyUpstreams({changed: upstreams, removed: []});
		}

		const crashed: string[] = [];
		const decide = async (vm: Vm, id: string, part: string) => new Promise<string>(resolve => {
			vm.allocation.ask(createPlaceRequest(id, {features: [id, `part:${part}`], excluded: crashed}), {grant: resolve, refuse: resolve});
		});
		const crash = async (vm: Vm, id: string) => {
			crashed.push(await decide(vm, id, 'dead'));
			vm.allocation.release(id, emptyReport(Ending.Lost));
			await sleep(120);
		};

		const answerOthers = async (vm: Vm, round: string) => {
			for (const id of [`${round}-1`, `${round}-2`, `${round}-3`]) {
				await decide(vm, id, 'sound'); // eslint-disable-line no-await-in-loop -- one request after the other
				vm.allocation.release(id, emptyReport(Ending.Answered));
			}
		};

		const leader = await settled(3);
		const [one, two] = vms.filter(vm => vm !== leader) as [Vm, Vm];
		await crash(one, 'c1');
		await crash(two, 'c2');
		kill(leader);
		const next = await settled(2);
		const other = next === one ? two : one;
		await answerOthers(other, 'before');
		await crash(other, 'c3');
		await answerOthers(other, 'after');
		await crash(next, 'c4');
		expect(await decide(other, 'refused', 'dead')).to.equal(ErrorKind.CrashSuspect);
		expect(await decide(next, 'refused too', 'dead')).to.equal(ErrorKind.CrashSuspect);
		expect(await decide(next, 'sound', 'sound')).to.match(/^engine-/v);
		expect(crashed).to.have.length(4);
	});

	// Guards against a request that crashes further upstreams after each change of the leader, which alone had seen the crashes.
	it('refuses a request that crashed three upstreams, whichever VM allocates next', async () => {
		await startVms();
		const upstreams = ['one', 'two', 'three', 'four'].map(id => ({
			id, pool: 'advice', address: '10.2.0.1:80', dataCentre: 'a', region: 'r', slots: 4, isLeaving: false, startedAt: 1,
		}));
		for (const {state} of vms) {
			state.applyUpstreams({changed: upstreams, removed: []});
		}

		const decide = async (vm: Vm, id: string) => new Promise<string>(resolve => {
			vm.allocation.ask(createPlaceRequest(id, {fingerprint: 'crasher'}), {grant: resolve, refuse: resolve});
		});
		const leader = await settled(3);
		const reporter = vms.find(vm => vm !== leader)!;
		for (const id of ['first', 'second', 'third']) {
			const crashed = await decide(reporter, id); // eslint-disable-line no-await-in-loop -- one crash after the other
			reporter.allocation.release(id, emptyReport(Ending.Lost));
			for (const {state} of vms) {
				state.applyUpstreams({changed: [], removed: [crashed]});
			}
		}

		// Time for the last release to reach the leader, and for what the leader learns to reach the others.
		await sleep(400);
		expect(await decide(leader, 'fourth')).to.equal(ErrorKind.CrashSuspect);
		kill(leader);
		await settled(2);
		for (const vm of vms) {
			expect(await decide(vm, `${vm.name} again`)).to.equal(ErrorKind.CrashSuspect); // eslint-disable-line no-await-in-loop
		}

		const late = await startVm('late', 0.5);
		await settled(3);
		for (const vm of vms.filter(candidate => candidate !== late)) {
			kill(vm);
		}

		await settled(1);
		expect(await decide(late, 'late again')).to.equal(ErrorKind.CrashSuspect);
	});

	it('learns what is in force from any VM when it starts without the store and without an allocator', async () => {
		await startVms();
		const upstream = {
			id: 'one', pool: 'desk', address: '10.0.0.1:80', dataCentre: 'a', region: 'r', slots: 1, isLeaving: false, startedAt: 1,
		};
		for (const vm of vms) {
			vm.state.applyConfiguration(configuration(4, 3));
			vm.state.applyUpstreams({changed: [upstream], removed: []});
			vm.state.noteLimit({id: 'one', startedAt: 1, perSecond: 2}, clock.now(), clock.now());
		}

		row.unreachableFor.add('all');
		const seed = vms.find(({coordinator}) => coordinator.role === Role.Linked)!;
		kill(vms.find(({coordinator}) => coordinator.role === Role.Leading)!);
		const newcomer = await startVm('newcomer', 1, [seed.linkAddress]);
		await eventually(() => newcomer.state.table?.version === 4 && newcomer.state.upstreams.size === 1 && newcomer.state.limits.perSecond(upstream) === 2);
	});

	it('hands over to another VM before a planned stop', async () => {
		await startVms();
		const leader = await settled(3);
		leader.coordinator.resign();
		await eventually(() => vms.some(vm => vm !== leader && vm.coordinator.role === Role.Leading));
	});

	it('asks a waiting request again when it decides alone a second time', async () => {
		row.unreachableFor.add('all');
		const vm = await startVm('only', 1);
		vm.state.applyUpstreams({
			changed: [{
				id: 'full', pool: 'advice', address: '10.0.0.1:80', dataCentre: 'a', region: 'r', slots: 1, isLeaving: false, startedAt: 1,
			}],
			removed: [],
		});
		const granted = new Set<string>();
		for (const id of ['holder', 'waiting']) {
			vm.allocation.ask(createPlaceRequest(id), {
				grant() {
					granted.add(id);
				},
				refuse() {
					throw new Error('refused');
				},
			});
		}

		await eventually(() => granted.has('holder'));
		vm.coordinator.noteLeader({
			name: 'gone', linkAddress: '127.0.0.1:1', boot: 'gone', term: {era: 1, version: 5}, vmCount: 2,
		});
		vm.allocation.release('holder', {
			ending: Ending.Answered, firstMs: 10, streamMs: 0, events: 0, load: undefined,
		});
		await eventually(() => granted.has('waiting'));
	});

	it('does not allocate under a term that was over when the answer to its claim came', async () => {
		let answerClaim: () => void = () => undefined;
		row.claimAnswers = new Promise(resolve => {
			answerClaim = resolve;
		});
		const vm = await startVm('slow', 1);
		await eventually(() => row.leader?.term.version === 1);
		vm.coordinator.noteLeader({
			name: 'next', linkAddress: '127.0.0.1:1', boot: 'next', term: {era: 1, version: 2}, vmCount: 2,
		});
		answerClaim();
		await clock.sleep(20);
		expect(vm.coordinator.role).to.equal(Role.Alone);
		expect(vm.coordinator.leader?.term).to.deep.equal({era: 1, version: 2});
	});

	it('becomes the allocator when the store watch reports its claim before the claim is answered', async () => {
		let answerClaim: () => void = () => undefined;
		row.claimAnswers = new Promise(resolve => {
			answerClaim = resolve;
		});
		const vm = await startVm('only', 1);
		await eventually(() => row.leader?.term.version === 1);
		vm.coordinator.noteLeader(row.leader!);
		answerClaim();
		await clock.sleep(20);
		expect(vm.coordinator.role).to.equal(Role.Leading);
		expect(row.leader?.term.version).to.equal(1);
	});

	it('elects the strongest remaining VM', async () => {
		await startVm('strong', 30);
		await startVm('middle', 20);
		await startVm('weak', 1);
		const first = await settled(3);
		const expected = vms.find(vm => vm !== first)!;
		kill(first);
		expect(await settled(2)).to.equal(expected);
	});
});
