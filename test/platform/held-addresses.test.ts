import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type VmProcess} from '../../soak/vm-process.js';
import {eventually} from '../support/eventually.js';
import {occupyAddress} from '../support/occupy-address.js';

/** How long an address stays in use, in ms. */
const IN_USE_MS = 20_000;

// Guards against a process that ends, again and again, while something else has one of its addresses (report FAULT).
describe('processes of which each has an address in use for long', function () {
	this.timeout(90_000);
	let deployment: PlatformDeployment;

	before(async () => {
		deployment = await PlatformDeployment.start(4, 1);
	});

	after(async () => {
		await deployment.stop();
	});

	it('run on, and serve once the address is free', async () => {
		const {vms} = deployment;
		await Promise.all(vms.map(async vm => vm.terminate('SIGKILL')));
		const held = await Promise.all((['front', 'ready', 'control', 'directory'] as const).map(async (name, index) => occupyAddress(vms[index]![name])));
		for (const vm of vms) {
			vm.start();
		}

		await sleep(IN_USE_MS);
		expect(vms.filter(vm => vm.hasExitedUnexpectedly).map(({name}) => name)).to.deep.equal([]);
		const [withoutFront, , withoutControl] = vms as [VmProcess, VmProcess, VmProcess];
		expect(await deployment.isReady(withoutFront)).to.equal(false);
		expect(await deployment.addresses(withoutControl)).to.not.include(withoutFront.front);
		const answer = await deployment.call(withoutControl, 'safe');
		expect(answer.status).to.equal(200);
		for (const server of held) {
			server.close();
		}

		await deployment.ready();
		await eventually(async () => await deployment.disagreement() === undefined);
		const answers = await Promise.all(vms.map(async vm => deployment.call(vm, 'safe')));
		expect(answers.map(({status}) => status)).to.deep.equal(vms.map(() => 200));
	});
});
