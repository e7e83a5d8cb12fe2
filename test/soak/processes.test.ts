import {once} from 'node:events';
import process from 'node:process';
import {expect} from 'chai';
import {LayoutKind} from '../support/address-layout.js';
import {ProcessRun} from '../../soak/process-run.js';
import {VmProcess} from '../../soak/vm-process.js';
import {MEMORY_LIMIT_MB} from '../../soak/vm-settings.js';
import {eventually} from '../support/eventually.js';

describe('randomised run of real processes', function () {
	this.timeout(90_000);

	// Short runs; `npm run soak:processes` executes long ones. docs/measurements/soak-processes.md lists seeds.
	for (const seed of [1, 2]) {
		it(`violates no promise under external faults with seed ${seed}`, async () => {
			const run = await ProcessRun.create(seed);
			await run.execute(6);
			await run.stop();
			expect(run.deployment.checks).to.be.above(1000);
			expect([...run.injectedFaults.values()].reduce((sum, count) => sum + count, 0)).to.be.above(1);
			// Even seeds have the contracts, and so roll-outs.
			expect(run.rollouts !== undefined && Object.keys(run.rollouts.outcomes).length > 0).to.equal(seed % 2 === 0);
			expect(run.deployment.violations).to.deep.equal([]);
		});
	}

	// Guards against processes that end while they start (report FAULT).
	it('runs on through addresses and ports that are taken, incomplete settings and a build, with nine VMs that start at once', async () => {
		const run = await ProcessRun.create(3, {
			layout: LayoutKind.OutgoingRange, isLarge: true, isBundled: true, kinds: ['portOfVm', 'incompleteSettings', 'build', 'herdKill', 'killAfterChange'],
		});
		await run.execute(6);
		await run.stop();
		expect(run.deployment.checks).to.be.above(1000);
		expect([...run.injectedFaults.values()].reduce((sum, count) => sum + count, 0)).to.be.above(1);
		expect(run.gauge.peak.memoryMb).to.be.within(1, MEMORY_LIMIT_MB);
		expect(run.deployment.violations).to.deep.equal([]);
	});

	it('records a process that ended by itself, and starts it again', async () => {
		const run = await ProcessRun.create(4, {vmCount: 1, kinds: []});
		const {deployment} = run;
		const [vm] = deployment.vms;
		const {pid} = vm!.child!;
		process.kill(pid!, 'SIGKILL');
		await eventually(() => vm!.isRunning && vm!.child?.pid !== pid);
		await deployment.ready();
		await run.stop();
		expect(deployment.violations).to.have.lengthOf(1);
		expect(deployment.violations[0]).to.include(`process ${pid} of vm-0 ended by itself: status null, signal SIGKILL; {`);
	});

	// Guards against a second process that finds the ports in use, as after two overlapping kills of one VM (seed 408).
	it('starts only one process when overlapping faults each restart it', async () => {
		const vm = new VmProcess('vm-1', '/nonexistent', {
			front: '', ready: '', directory: '', metrics: '', control: '',
		});
		vm.start();
		const first = vm.child!;
		vm.start();
		expect(vm.child).to.equal(first);
		await vm.terminate('SIGKILL');
		vm.start();
		expect(vm.child).to.not.equal(first);
		await vm.terminate('SIGKILL');
	});

	// Guards against a SIGHUP that terminates a restarting process before Node.js runs its first line (seeds 206 and 221).
	it('restarts a process that a SIGHUP terminated before its first line ran', async () => {
		const vm = new VmProcess('vm-1', '/nonexistent', {
			front: '', ready: '', directory: '', metrics: '', control: '',
		});
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
		expect(vm.hasExitedUnexpectedly).to.equal(true);
	});
});
