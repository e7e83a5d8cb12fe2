import {once} from 'node:events';
import {readFile, writeFile} from 'node:fs/promises';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type VmProcess} from '../../soak/vm-process.js';
import {splitAddress} from '../../src/base/address.js';
import {eventually} from '../support/eventually.js';
import {occupyAddress} from '../support/occupy-address.js';

/** Time that the platform allows for a stop, in ms; `graceS` of the settings. */
const GRACE_MS = 8000;
/** Bytes of the settings file that are written at first. */
const INCOMPLETE_BYTES = 200;
const CONNECT_INTERVAL_MS = 20;

// Guards against processes that do not end, or begin to serve, when they are told to stop before they have started (report FAULT).
describe('stop of a platform process that has not started', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let vm: VmProcess;

	beforeEach(async () => {
		deployment = await PlatformDeployment.start(1, 1);
		[vm] = deployment.vms as [VmProcess];
		await vm.terminate('SIGKILL');
		vm.log.splice(0);
	});

	afterEach(async () => {
		await deployment.stop();
	});

	function hasLogged(message: string): boolean {
		return vm.log.some(line => line.includes(`"${message}"`));
	}

	/** Sends SIGTERM and calls `during` until the process has ended. */
	async function checkStop(during: () => Promise<void>): Promise<void> {
		const child = vm.child!;
		const stoppedAt = performance.now();
		const ended = once(child, 'close');
		child.kill('SIGTERM');
		while (child.exitCode === null && child.signalCode === null && performance.now() - stoppedAt < GRACE_MS) {
			await during(); // eslint-disable-line no-await-in-loop -- polling
			await sleep(CONNECT_INTERVAL_MS); // eslint-disable-line no-await-in-loop
		}

		expect({status: child.exitCode, signal: child.signalCode}).to.deep.equal({status: 0, signal: null});
		await ended;
		vm.child = undefined;
	}

	it('ends it while its settings are incomplete', async () => {
		const text = await readFile(vm.settingsPath, 'utf8');
		await writeFile(vm.settingsPath, text.slice(0, INCOMPLETE_BYTES));
		vm.start();
		await eventually(() => hasLogged('platform: Settings not readable; trying again.'));
		await checkStop(async () => undefined);
		expect(hasLogged('gateway: Started.')).to.equal(false);
	});

	it('ends it while its front address is in use, and it accepts no callers when the address becomes free', async () => {
		const server = await occupyAddress(vm.front);
		vm.start();
		await eventually(() => hasLogged('gateway: Address not available; trying again.'));
		let connectionCount = 0;
		await checkStop(async () => {
			if (!hasLogged('gateway: Stopping.')) {
				return;
			}

			if (server.listening) {
				server.close();
				await once(server, 'close');
			}

			connectionCount += await isAccepted(vm.front) ? 1 : 0;
		});
		expect(server.listening).to.equal(false);
		expect(connectionCount).to.equal(0);
		expect(hasLogged('gateway: Callers can connect.')).to.equal(false);
		expect(hasLogged('gateway: Stopped.')).to.equal(true);
	});
});

/** @returns Whether a connection to the address is accepted. */
async function isAccepted(address: string): Promise<boolean> {
	const socket = connect(splitAddress(address));
	try {
		await once(socket, 'connect');
		return true;
	} catch {
		return false;
	} finally {
		socket.destroy();
	}
}
