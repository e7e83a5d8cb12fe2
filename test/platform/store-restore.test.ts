/**
 * A store that comes back from a copy some seconds old: what the VMs wrote since is gone, and versions are given out again.
 */
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type VmProcess} from '../../soak/vm-process.js';
import {type StoreCopy} from '../../standins/platform-store.js';
import {eventually} from '../support/eventually.js';

describe('platform processes and a store that goes back', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let copy: StoreCopy;

	beforeEach(async () => {
		deployment = await PlatformDeployment.start(4, 1);
		await agreed();
		copy = deployment.store.copy();
	});

	afterEach(async () => {
		await deployment.stop();
		expect(deployment.violations).to.deep.equal([]);
	});

	/** Waits until all running VMs list exactly the running VMs. */
	async function agreed(): Promise<void> {
		const running = deployment.vms.filter(vm => vm.child !== undefined);
		const expected = running.map(({front}) => front).toSorted();
		await eventually(async () => {
			const lists = await Promise.all(running.map(async vm => deployment.addresses(vm)));
			return lists.every(list => JSON.stringify(list.toSorted()) === JSON.stringify(expected));
		}, 50);
	}

	function recordedLeader(): VmProcess {
		const {name} = deployment.store.get('redwingspool', 'allocator') as {name: string};
		return deployment.vms.find(vm => vm.name === name)!;
	}

	/** Ends the recorded leader, and waits until another VM is recorded. */
	async function replaceLeader(): Promise<void> {
		const leader = recordedLeader();
		await leader.terminate('SIGKILL');
		await eventually(() => recordedLeader() !== leader);
	}

	// Guards against VMs that refuse each leader whose term is lower than one from before the store went back.
	it('agree on one leader when the leader ends after the store forgot who it was', async () => {
		for (let count = 0; count < 20; count += 1) {
			deployment.setConfiguration();
		}

		await replaceLeader();
		await agreed();
		const leader = recordedLeader();
		deployment.store.restore(copy);
		deployment.setConfiguration();
		await leader.terminate('SIGKILL');
		await agreed();
	});
});
