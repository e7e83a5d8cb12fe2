import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {LEADER_KEY, LEADER_TABLE} from '../../platform/leader-row.js';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type VmProcess} from '../../soak/vm-process.js';

/** Calls to each VM in one round; few enough for one server of each service. */
const CALL_COUNT = 6;
/** Time in which the VMs read changed rows, in ms. */
const READ_MS = 1500;

describe('rows that another writer left in the store', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let vms: VmProcess[];

	beforeEach(async () => {
		deployment = await PlatformDeployment.start(2, 1);
		({vms} = deployment);
	});

	afterEach(async () => {
		deployment.checkServers();
		await deployment.stop();
		expect(deployment.violations).to.deep.equal([]);
	});

	async function callVm(vm: VmProcess): Promise<number[]> {
		const answers = await Promise.all(Array.from({length: CALL_COUNT}, async (_, index) => deployment.call(vm, index % 2 === 0 ? 'unsafe' : 'stream')));
		return answers.map(({status}) => status);
	}

	/** @returns The statuses of a round of calls to all VMs. */
	async function callAll(): Promise<Set<number>> {
		const statuses = await Promise.all(vms.map(async vm => callVm(vm)));
		return new Set(statuses.flat());
	}

	async function expectAllServed(detail?: string): Promise<void> {
		const statuses = await callAll();
		for (const vm of vms) {
			expect(vm.hasExitedUnexpectedly, `${vm.name} ended: ${vm.log.slice(-12).join('\n')}`).to.equal(false);
		}

		expect([...statuses], detail).to.deep.equal([200]);
	}

	async function expectRecordReplaced(text: string): Promise<void> {
		deployment.store.putText(LEADER_TABLE, LEADER_KEY, text);
		await sleep(READ_MS);
		await expectAllServed(text);
		await vms[0]!.terminate('SIGKILL');
		vms[0]!.start();
		await deployment.ready();
		await sleep(READ_MS);
		await expectAllServed(text);
		const members = await Promise.all(vms.map(async vm => deployment.addresses(vm)));
		expect(members.map(({length}) => length), text).to.deep.equal([2, 2]);
		expect(deployment.store.getText(LEADER_TABLE, LEADER_KEY), text).to.include('"name":"vm-');
	}

	// Guards against an entry with an address, a number or a shape that no server has, which ended every VM that read it.
	it('neither ends a VM nor stops it from following the list of servers', async () => {
		const entry = {
			service: 'desk', address: '127.0.0.1:9', zone: 'zone-a', slots: 400, state: 'ready', born: 1,
		};
		const text = JSON.stringify(entry);
		const deepText = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;
		const addresses = ['127.0.0.1:70000', '127.0.0.1:0', '127.0.0.1:99999', 'host.invalid:80', '127.0.0.1:', '999.1.1.1:80', '-:1'];
		const texts = [
			...addresses.map(address => JSON.stringify({...entry, address})),
			text.replace('"127.0.0.1:9"', deepText),
			text.replace('400', '1e999'),
			text.replace('400', '9007199254740993'),
			text.replaceAll(/zone-a|desk/gv, '__proto__'),
			text.replaceAll(/zone-a|desk/gv, 'constructor'),
			deepText,
			'null',
			'{',
			'',
			'\0',
		];
		for (const [index, oddText] of texts.entries()) {
			deployment.store.putText('servers', `odd-${index}`, oddText);
		}

		deployment.store.put('servers', 'odd\nid', entry);
		deployment.store.put('servers', 'odd-✓', entry);
		await sleep(READ_MS);
		await expectAllServed();
		const [firstId] = [...deployment.servers].find(([, {service}]) => service === 'desk')!;
		const added = await deployment.addServer('desk', 6);
		deployment.drainServer(firstId);
		await sleep(READ_MS);
		await expectAllServed();
		expect(added.runs).to.have.length.above(0);
		const refused = vms.flatMap(vm => vm.log.filter(line => line.includes('Entry of a server not usable.')));
		expect(refused.length).to.be.at.least(texts.length);
	});

	// Guards against a configuration with a time that a socket refuses, which ended every VM that answered a request under it.
	it('leaves the configuration in force that an unusable one follows, and applies the next', async () => {
		const usable = JSON.parse(deployment.store.getText('op', 'config')!) as {limits: Record<string, number>};
		for (const limit of [{idleTimeoutMs: -5000}, {headerTimeoutMs: -1}, {maxBodyBytes: -1}]) {
			deployment.store.put('op', 'config', {...usable, version: 50, limits: {...usable.limits, ...limit}});
			/* eslint-disable no-await-in-loop -- one configuration after the other */
			await sleep(READ_MS);
			await expectAllServed(JSON.stringify(limit));
			/* eslint-enable no-await-in-loop */
		}

		const refused = vms.flatMap(vm => vm.log.filter(line => line.includes('Manifest not readable')));
		expect(refused).to.have.length(3);
		deployment.store.put('op', 'config', {...usable, version: 51, tenants: [{name: 'crew', apiKeys: ['other']}]});
		await sleep(READ_MS);
		const statuses = await callAll();
		expect([...statuses]).to.deep.equal([401]);
	});

	// Guards against a record of the leader that names no VM: those that read it ended, or could not replace it, and shares of quotas were infinite.
	it('neither ends a VM nor leaves it without a leader where the record of the leader is unusable', async () => {
		const sound = JSON.parse(deployment.store.getText(LEADER_TABLE, LEADER_KEY)!) as Record<string, unknown>;
		const record = {...sound, name: 'x', boot: 'x'};
		for (const text of ['{', JSON.stringify({...record, linkAddress: '127.0.0.1:70000'}), JSON.stringify({...record, vmCount: 0})]) {
			await expectRecordReplaced(text); // eslint-disable-line no-await-in-loop -- one record after the other
		}
	});
});
