import {readFile, writeFile} from 'node:fs/promises';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {eventually} from '../support/eventually.js';

describe('settings file of a platform process', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;

	before(async () => {
		deployment = await PlatformDeployment.start(1, 1);
	});

	after(async () => {
		await deployment.stop();
	});

	// Guards against a process that ends because its settings are being written while it starts (report FAULT).
	it('may be incomplete at first', async () => {
		const vm = deployment.vms[0]!;
		await vm.terminate('SIGKILL');
		const text = await readFile(vm.settingsPath, 'utf8');
		await writeFile(vm.settingsPath, text.slice(0, 200));
		vm.log.splice(0);
		vm.start();
		await eventually(() => vm.log.length > 0);
		await writeFile(vm.settingsPath, text);
		await deployment.ready();
		expect(vm.hasExitedUnexpectedly).to.equal(false);
	});
});
