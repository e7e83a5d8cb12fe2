import process from 'node:process';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type VmProcess} from '../../soak/vm-process.js';
import {eventually} from '../support/eventually.js';
import {sendRaw} from '../support/raw-http.js';

/** Loaded into the process beside the program; SIGUSR2 triggers the errors. */
const faults = `
	import {EventEmitter} from 'node:events';
	process.on('SIGUSR2', () => {
		setTimeout(() => { throw new Error('thrown in a timer'); }, 1);
		setTimeout(() => { Promise.reject(new Error('rejected')); }, 1);
		setTimeout(() => { new EventEmitter().emit('error', new Error('emitted')); }, 1);
		setTimeout(() => { throw undefined; }, 1);
		setTimeout(() => { throw Object.create(null); }, 1);
	});
`;

// Guards against a process that ends by an error that no handler caught, without a log line (report FAULT).
describe('errors that no handler of a platform process caught', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let vm: VmProcess;

	before(async () => {
		deployment = await PlatformDeployment.start(1, 1);
		vm = deployment.vms[0]!;
	});

	after(async () => {
		await deployment.stop();
	});

	it('are logged and counted, and the process goes on', async () => {
		await vm.terminate('SIGKILL');
		process.env.NODE_OPTIONS = `--import=data:text/javascript,${encodeURIComponent(faults)}`;
		vm.start();
		delete process.env.NODE_OPTIONS;
		await deployment.ready();
		vm.signal('SIGUSR2');
		const lines = () => vm.log.filter(line => line.includes('Unhandled error'));
		await eventually(() => lines().length === 5 || vm.hasExitedUnexpectedly);
		expect(vm.hasExitedUnexpectedly).to.equal(false);
		for (const reason of ['thrown in a timer', 'rejected', 'emitted']) {
			const line = lines().find(text => text.includes(`Error: ${reason}`))!;
			expect(JSON.parse(line)).to.include({level: 'error'}).and.to.include.keys('stack', 'origin', 'timestamp');
		}

		const answer = await deployment.call(vm, 'safe');
		expect(answer.status).to.equal(200);
		const metrics = await sendRaw(vm.metrics, ['GET /metrics HTTP/1.1\r\nhost: metrics\r\nconnection: close\r\n\r\n']);
		expect(metrics.body).to.include('\nredwingspool_unhandled_errors_total 5\n');
	});
});
