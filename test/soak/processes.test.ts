import {once} from 'node:events';
import {expect} from 'chai';
import {VmProcess} from '../../soak/platform-deployment.js';
import {ProcessRun} from '../../soak/process-run.js';

describe('randomised run of real processes', function () {
	this.timeout(90_000);

	// A short run with one seed; `npm run soak:processes` plays long ones. docs/measurements/soak-processes.md lists seeds.
	it('keeps the promises under faults from outside', async () => {
		const run = await ProcessRun.create(1);
		await run.play(4);
		await run.deployment.stop();
		expect(run.deployment.checks).to.be.above(500);
		expect([...run.injected.values()].reduce((sum, count) => sum + count, 0)).to.be.above(1);
		expect(run.deployment.violations).to.deep.equal([]);
	});

	// Seed 408: two kills of one VM overlapped, and the second process found the ports taken.
	it('starts one process where overlapping faults each start it again', async () => {
		const vm = new VmProcess('vm-1', '/nonexistent', {front: '', ready: '', directory: ''});
		vm.start();
		const first = vm.child!;
		vm.start();
		expect(vm.child).to.equal(first);
		await vm.terminate('SIGKILL');
		vm.start();
		expect(vm.child).to.not.equal(first);
		await vm.terminate('SIGKILL');
	});

	// Seeds 206 and 221: a process that had just been restarted was told to reload before Node.js ran its first line.
	it('starts a process again that was told to reload before its first line', async () => {
		const vm = new VmProcess('vm-1', '/nonexistent', {front: '', ready: '', directory: ''});
		vm.start();
		const first = vm.child!;
		vm.signal('SIGHUP');
		await once(first, 'exit');
		expect(first.signalCode).to.equal('SIGHUP');
		expect(vm.earlyHupCount).to.equal(1);
		const second = vm.child!;
		expect(second).to.not.equal(first);
		await once(second, 'exit');
		expect(second.exitCode).to.equal(2);
		expect(vm.hasEndedByItself).to.equal(true);
	});
});
