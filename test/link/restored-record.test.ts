/**
 * The store comes back in an earlier state and no longer records the leader.
 */
import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';
import {Role} from '../../src/link/coordinator.js';
import {isCurrent} from '../../src/link/leader-register.js';
import {type Leader} from '../../src/link/messages.js';
import {eventually} from '../support/eventually.js';
import {LinkedVms, type Vm} from '../support/linked-vms.js';

const clock = SystemClock.create();
/** Time within which VMs agree on a leader, in ms: as after the loss of a leader. */
const CHANGE_LIMIT_MS = 3000;

describe('leader record that the store forgot', function () {
	this.timeout(20_000);
	let deployment: LinkedVms;
	let leader: Vm;
	/** The first leader, which a later one has replaced. */
	let earlier: Leader;

	beforeEach(async () => {
		deployment = LinkedVms.create();
		await deployment.startThree();
		earlier = deployment.row.leader!;
		deployment.vms.find(vm => vm.boot === earlier.boot)!.coordinator.resign();
		await eventually(() => deployment.row.leader!.boot !== earlier.boot);
		leader = await deployment.settled(3);
	});

	afterEach(() => {
		deployment.stop();
	});

	/** Waits until the store records the leader that all VMs follow, under one term. */
	async function eventuallyRecorded(count = 3): Promise<Vm> {
		const start = performance.now();
		let current: Vm;
		await eventually(async () => {
			current = await deployment.settled(count);
			return isCurrent(deployment.row.record) && deployment.row.leader!.boot === current.boot
				&& deployment.vms.every(vm => vm.coordinator.leader?.term.version === deployment.row.leader!.term.version && vm.coordinator.leader.term.era === deployment.row.era);
		});
		expect(performance.now() - start).to.be.below(CHANGE_LIMIT_MS);
		return current!;
	}

	const recordsByCase: Readonly<Record<string, () => Leader | undefined>> = {
		'an earlier leader that runs': () => earlier,
		'an earlier leader that ended': () => ({
			...earlier, name: 'gone', boot: 'gone', linkAddress: '127.0.0.1:1',
		}),
		'the leader under an earlier term': () => ({...deployment.row.leader!, term: {era: 1, version: 1}}),
		'a process of the leader\'s VM from before its restart': () => ({...deployment.row.leader!, boot: 'before', term: {era: 1, version: 1}}),
		'no leader': () => undefined,
	};

	function forEachRecord(title: string, test: (record: Leader | undefined) => Promise<void>): void {
		for (const [name, createRecord] of Object.entries(recordsByCase)) {
			it(`${title}, where the copy names ${name}`, async () => test(createRecord()));
		}
	}

	// Guards against a change of leader, or lost links, only since the store forgot the record.
	forEachRecord('is claimed again by the leader, which keeps its links', async record => {
		const roles = new Set<string>();
		deployment.restore(record);
		const endsAt = clock.now() + 1000;
		while (clock.now() < endsAt) {
			for (const vm of deployment.vms) {
				roles.add(`${vm.name} ${vm.coordinator.role}`);
			}

			await clock.sleep(10); // eslint-disable-line no-await-in-loop -- samples the roles
		}

		expect(await eventuallyRecorded()).to.equal(leader);
		expect(roles.size).to.equal(3);
	});

	// Guards against VMs that refuse each later leader, as its term is lower than one from before.
	forEachRecord('is claimed by another VM if the leader ends at that moment', async record => {
		deployment.kill(leader);
		deployment.restore(record);
		await eventuallyRecorded(2);
	});

	forEachRecord('is claimed again after two returns in a row', async record => {
		deployment.restore(record);
		deployment.restore(record);
		expect(await eventuallyRecorded()).to.equal(leader);
		deployment.kill(leader);
		await eventuallyRecorded(2);
	});

	// Guards against a restarted VM that knows nobody and deposes a leader that all others hear.
	forEachRecord('is not claimed by a VM that starts while the leader does not reach the store', async record => {
		for (const vm of deployment.vms) {
			deployment.row.unreachableFor.add(vm.name);
		}

		deployment.restore(record);
		const seeds = deployment.vms.filter(vm => vm !== leader).map(({linkAddress}) => linkAddress);
		const late = await deployment.start('late', 9, seeds);
		await eventually(() => late.coordinator.role === Role.Linked);
		expect(leader.coordinator.role).to.equal(Role.Leading);
		deployment.row.unreachableFor.clear();
		deployment.tellRecord();
		await eventually(() => isCurrent(deployment.row.record));
	});

	it('is claimed again if a claim made before is performed late', async () => {
		deployment.restore(undefined);
		await eventuallyRecorded();
		const before = deployment.row.leader!;
		deployment.row.leader = {
			...earlier, name: 'gone', boot: 'gone', linkAddress: '127.0.0.1:1', term: {era: 1, version: before.term.version + 1},
		};
		deployment.tellRecord();
		expect(await eventuallyRecorded()).to.equal(leader);
	});

	it('makes no leader of a VM whose claim is answered after the store went back', async () => {
		let answerClaims: () => void = () => undefined;
		deployment.row.claimAnswers = new Promise(resolve => {
			answerClaims = resolve;
		});
		const {term} = deployment.row.leader!;
		deployment.kill(leader);
		await eventually(() => deployment.row.leader!.term.version > term.version);
		deployment.row.claimAnswers = undefined;
		deployment.restore(earlier);
		answerClaims();
		await eventuallyRecorded(2);
	});

	// Guards against two leaders, or none, where the store serves only some of the VMs that it has forgotten.
	forEachRecord('names one leader while the store turns away half of the VMs', async record => {
		const late = await deployment.start('late', 1.5);
		await deployment.settled(4);
		const served = deployment.vms.filter(vm => vm !== leader && vm !== late);
		for (const vm of [leader, late]) {
			deployment.row.unreachableFor.add(vm.name);
		}

		deployment.restore(record);
		const next = await eventuallyRecorded(4);
		expect(served).to.include(next);
		deployment.row.unreachableFor.clear();
		deployment.tellRecord();
		await clock.sleep(500);
		expect(await eventuallyRecorded(4)).to.equal(next);
	});

	// Guards against a leader that started beside an older copy of the store, and uses upstreams that the others know to be gone.
	it('tells a leader that has just started of upstreams that left before the store went back', async () => {
		const upstream = {
			id: 'gone', pool: 'desk', address: '10.0.0.1:80', dataCentre: 'a', region: 'r', slots: 1, isLeaving: false, startedAt: 1,
		};
		const isListed = (vm: Vm) => vm.state.upstreams.get('gone') !== undefined;
		for (const vm of deployment.vms) {
			vm.state.upstreams.departed.beginEra(1);
			vm.state.applyUpstreams({changed: [upstream, {...upstream, id: 'back'}], removed: []});
			vm.state.applyUpstreams({changed: [], removed: ['gone', 'back']});
			deployment.row.unreachableFor.add(vm.name);
		}

		deployment.kill(leader);
		deployment.restore(undefined);
		const late = await deployment.start('late', 9, [], state => {
			state.upstreams.departed.beginEra(2);
			state.upstreams.departed.noteRegistered({id: 'back', startedAt: 1});
			state.applyUpstreams({changed: [upstream, {...upstream, id: 'back'}], removed: []});
		});
		await eventually(() => late.coordinator.role === Role.Leading);
		deployment.row.unreachableFor.clear();
		expect(await deployment.settled(3)).to.equal(late);
		await eventually(() => deployment.vms.every(vm => !isListed(vm)));
		expect(deployment.vms.map(vm => vm.state.upstreams.get('back')?.id)).to.deep.equal(['back', 'back', 'back']);
		// The others still know that it left in the earlier era.
		expect(deployment.vms.map(vm => vm.state.upstreams.departed.all.find(({id}) => id === 'gone')?.era)).to.deep.equal([1, 1, 1]);
	});

	it('gives way to a VM that was recorded since the store went back', async () => {
		deployment.row.unreachableFor.add(leader.name);
		deployment.restore(earlier);
		const next = await eventuallyRecorded();
		expect(next).to.not.equal(leader);
		deployment.row.unreachableFor.clear();
		deployment.tellRecord();
		expect(await eventuallyRecorded()).to.equal(next);
	});
});
