import process from 'node:process';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type PlatformServer} from '../../standins/platform-server.js';
import {Random} from '../../src/base/random.js';
import {AddressLayout, LayoutKind} from '../support/address-layout.js';
import {eventually} from '../support/eventually.js';

/** Requests at once: several times the slots of the server at home. */
const REQUEST_COUNT = 30;

describe('settings for leaving the data centre, in a platform process', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let other: PlatformServer;

	before(async () => {
		const layout = AddressLayout.create(LayoutKind.OneAddress, Random.create());
		deployment = await PlatformDeployment.create(1, {vmCount: 1, zones: ['zone-a', 'zone-b'], layout});
		other = await deployment.addServer('desk', 6);
		deployment.store.put('servers', other.id, {...other.entry('desk'), zone: 'zone-b'});
		process.env.REDWINGSPOOL_LOCALITY = 'never';
		deployment.vms[0]!.start();
		delete process.env.REDWINGSPOOL_LOCALITY;
		await deployment.ready();
	});

	after(async () => {
		await deployment.stop();
	});

	// Guards against settings that are read but not used by the VM that allocates, requests that `never` leaves unserved, and
	// traffic that is not counted.
	it('keep requests at home with `never`, until no server is there', async () => {
		const vm = deployment.vms[0]!;
		const home = [...deployment.servers.values()].find(({service}) => service === 'desk')!.server;
		await eventually(async () => vm.log.some(line => line.includes('Rule for leaving the data centre set.') && line.includes('"rule":"never"')));
		const answers = await Promise.all(Array.from({length: REQUEST_COUNT}, async () => deployment.call(vm, 'safe')));
		expect(new Set(answers.map(({status}) => status))).to.deep.equal(new Set([200]));
		expect([home.arrivals.length, other.arrivals.length]).to.deep.equal([REQUEST_COUNT, 0]);

		deployment.store.put('servers', home.id, home.entry('desk', 'draining'));
		await eventually(async () => {
			const {status} = await deployment.call(vm, 'safe');
			return status === 200 && other.arrivals.length > 0;
		});
		const response = await fetch(`http://${vm.metrics}/metrics`);
		const metrics = await response.text();
		expect(metrics).to.include(`redwingspool_data_centre_requests_total{from="zone-a",to="zone-b"} ${other.arrivals.length}\n`);
	});
});
