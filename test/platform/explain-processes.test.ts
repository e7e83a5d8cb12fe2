import {execFile} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {splitAddress} from '../../src/base/address.js';

const POLL_MS = 100;
const KEY_VARIABLE = 'REDWINGSPOOL_EXPLAIN_KEY';

describe('explanations of running VMs', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;

	before(async () => {
		process.env.REDWINGSPOOL_EXPLAIN_KEY = 'secret';
		deployment = await PlatformDeployment.start(2, 1);
	});

	after(async () => {
		delete process.env.REDWINGSPOOL_EXPLAIN_KEY;
		await deployment.stop();
	});

	// Guards against a VM whose program does not read the key, or that follows a leader and does not know its operator address.
	it('come from the VM that allocates, whichever VM is asked', async () => {
		const addresses = await Promise.all(deployment.vms.map(async ({settingsPath}) => {
			const {listen, internalPorts} = JSON.parse(await readFile(settingsPath, 'utf8')) as {listen: {front: string}; internalPorts: number[]};
			return `${splitAddress(listen.front).host}:${internalPorts[0]}`;
		}));
		const findFollower = async () => {
			const answers = await Promise.all(addresses.map(async address => {
				const res = await fetch(`http://${address}/explain?route=unsafe`, {headers: {authorization: 'Bearer secret'}});
				return await res.json() as {allocator?: {address: string}};
			}));
			return addresses.find((_, index) => answers[index]!.allocator !== undefined);
		};

		let follower = await findFollower();
		while (follower === undefined) {
			await sleep(POLL_MS); // eslint-disable-line no-await-in-loop -- polling, until the test times out
			follower = await findFollower(); // eslint-disable-line no-await-in-loop
		}

		const answer = await new Promise<string>(resolve => {
			const env = {PATH: process.env.PATH, [KEY_VARIABLE]: 'secret'};
			execFile(process.execPath, ['--import', 'tsx', 'src/main.ts', 'explain', '--address', follower, '--route', 'unsafe', '--json'], {env}, (_error, stdout, stderr) => {
				resolve(stdout + stderr);
			});
		});
		expect(JSON.parse(answer), answer).to.include({outcome: 'granted', isStandalone: false});
	});
});
