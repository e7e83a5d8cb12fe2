import process from 'node:process';
import {expect} from 'chai';
import {request} from 'undici';
import {eventually} from '../support/eventually.js';
import {Deployment, type RunningNode} from '../system/deployment.js';

/** Time after which the errors occur, in ms; the process serves by then. */
const ERROR_DELAY_MS = 4000;
/** Loaded into the process beside the program. */
const faults = `
	import {EventEmitter} from 'node:events';
	setTimeout(() => { throw new Error('thrown in a timer'); }, ${ERROR_DELAY_MS});
	setTimeout(() => { Promise.reject(new Error('rejected')); }, ${ERROR_DELAY_MS});
	setTimeout(() => { new EventEmitter().emit('error', new Error('emitted')); }, ${ERROR_DELAY_MS});
	setTimeout(() => { throw undefined; }, ${ERROR_DELAY_MS});
`;

// Guards against a node that ends by an error that no handler caught, without a log line (report FAULT).
describe('errors that no handler of a serve process caught', function () {
	this.timeout(60_000);
	let deployment: Deployment;
	let node: RunningNode;

	before(async () => {
		deployment = await Deployment.start(0);
		process.env.NODE_OPTIONS = `--import=data:text/javascript,${encodeURIComponent(faults)}`;
		const launched = deployment.launchNode(0);
		delete process.env.NODE_OPTIONS;
		node = await launched.started;
	});

	after(async () => {
		await deployment.stop();
	});

	it('are logged and counted, and the process goes on', async () => {
		const lines = () => node.logLines.filter(line => line.includes('Unhandled error'));
		await eventually(() => lines().length === 4 || node.child.exitCode !== null, 400);
		expect(node.child.exitCode).to.equal(null);
		for (const reason of ['thrown in a timer', 'rejected', 'emitted']) {
			const line = lines().find(text => text.includes(`Error: ${reason}`))!;
			expect(JSON.parse(line)).to.include({level: 'error'}).and.to.include.keys('stack', 'origin', 'timestamp');
		}

		const res = await request(`${node.url}/metrics`);
		expect(await res.body.text()).to.include('\nredwingspool_unhandled_errors_total 4\n');
		expect(await deployment.stopNode(node)).to.equal(0);
	});
});
