import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {request} from 'undici';
import {Deployment} from '../system/deployment.js';

/** Time in which the process writes log lines that nobody reads, in ms. */
const UNREAD_MS = 2000;

// Guards against a node that ends, or logs without end, once nobody reads its output any more (report FAULT).
describe('a serve process whose output is closed', function () {
	this.timeout(60_000);
	let deployment: Deployment;

	before(async () => {
		deployment = await Deployment.start(0);
	});

	after(async () => {
		await deployment.stop();
	});

	it('serves on, and ends with status 0', async () => {
		const node = await deployment.startNode(0);
		node.child.stdout!.destroy();
		node.child.stderr!.destroy();
		// A log line.
		deployment.platform.vms = 'not a list';
		await sleep(UNREAD_MS);
		expect(node.child.exitCode).to.equal(null);
		const res = await request(`${node.url}/metrics`);
		expect(await res.body.text()).to.include('\nredwingspool_unhandled_errors_total 0\n');
		expect(await deployment.stopNode(node)).to.equal(0);
	});
});
