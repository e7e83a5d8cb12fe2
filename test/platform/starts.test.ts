import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type VmProcess} from '../../soak/vm-process.js';
import {eventually} from '../support/eventually.js';
import {occupyAddress} from '../support/occupy-address.js';

/** How long an address stays in use, in ms. */
const IN_USE_MS = 2500;

// Guards against a process that ends because an address of it is in use when it starts, as by the process before it.
describe('start of a platform process whose addresses are in use', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let vm: VmProcess;

	before(async () => {
		deployment = await PlatformDeployment.start(1, 1);
		[vm] = deployment.vms as [VmProcess];
	});

	after(async () => {
		await deployment.stop();
	});

	async function startBeside(address: string): Promise<void> {
		await vm.terminate('SIGKILL');
		const server = await occupyAddress(address);
		vm.start();
		const {child} = vm;
		await sleep(IN_USE_MS);
		expect(vm.hasExitedUnexpectedly).to.equal(false);
		server.close();
		await deployment.ready();
		const answer = await deployment.call(vm, 'safe');
		expect(answer.status).to.equal(200);
		await eventually(async () => {
			await deployment.checkAccounts();
			return deployment.violations.splice(0).length === 0;
		});
		expect(vm.child).to.equal(child);
		expect(vm.hasExitedUnexpectedly).to.equal(false);
	}

	it('goes on when its front address is free', async () => startBeside(vm.front));
	it('goes on when its ready address is free', async () => startBeside(vm.ready));
	it('goes on when its directory address is free', async () => startBeside(vm.directory));
	it('goes on when its control address is free', async () => startBeside(vm.control));
	it('goes on when its metrics address is free', async () => startBeside(vm.metrics));

	it('serves callers while its metrics address is in use', async () => {
		await vm.terminate('SIGKILL');
		const server = await occupyAddress(vm.metrics);
		vm.start();
		await deployment.ready();
		const answer = await deployment.call(vm, 'safe');
		expect(answer.status).to.equal(200);
		server.close();
	});
});
