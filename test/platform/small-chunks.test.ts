import {readFile} from 'node:fs/promises';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {CALLER_TIMEOUT_MS} from '../../soak/operator.js';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type VmProcess} from '../../soak/vm-process.js';
import {splitAddress} from '../../src/base/address.js';
import {ServerMode} from '../../standins/platform-server.js';
import {flood} from '../../standins/responses.js';

/** Peak memory of a VM's process, in kB; limited by the memory of the VMs that the program runs on. */
const MAX_MEMORY_KB = 350_000;
/** How late an answer may be at the time limit of its route, in ms. */
const MAX_DELAY_MS = 500;
const MAX_BODY_BYTES = 4_194_304;
const FLOOD_MS = 5000;
const FLOOD_COUNT = 10;

// Guards against peers that send a body in very small chunks: objects held for each chunk ended the process, and work for
// each chunk kept the event loop from answering others (review/1, review/4, review/5).
describe('platform process with peers that send small chunks', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let vm: VmProcess;

	before(async () => {
		deployment = await PlatformDeployment.start(1, 1);
		[vm] = deployment.vms as [VmProcess];
	});

	after(async () => {
		await deployment.stop();
	});

	/** Sends lookups at a sound server, one after another, and checks the answers and the memory. */
	async function checkLookups(): Promise<void> {
		const endsAt = performance.now() + FLOOD_MS;
		while (performance.now() < endsAt) {
			const sentAt = performance.now();
			const {status, isWhole} = await deployment.call(vm, 'safe'); // eslint-disable-line no-await-in-loop -- one after another
			expect(status).to.equal(200);
			expect(isWhole).to.equal(true);
			expect(performance.now() - sentAt).to.be.below(CALLER_TIMEOUT_MS + MAX_DELAY_MS);
		}

		expect(vm.hasExitedUnexpectedly).to.equal(false);
		const status = await readFile(`/proc/${vm.child!.pid}/status`, 'utf8');
		expect(Number(/VmHWM:\s+(?<kB>\d+)/v.exec(status)!.groups!.kB)).to.be.below(MAX_MEMORY_KB);
	}

	it('answers lookups while servers send endless bodies', async () => {
		for (const {server, service} of deployment.servers.values()) {
			server.mode = service === 'engines' ? ServerMode.SmallChunks : ServerMode.Healthy;
		}

		const streams = Array.from({length: FLOOD_COUNT}, async (_, index) => {
			await sleep(index * FLOOD_MS / FLOOD_COUNT / 2);
			return deployment.call(vm, 'stream');
		});
		await checkLookups();
		for (const {status, isWhole} of await Promise.all(streams)) {
			expect(status === 200 && isWhole).to.equal(false);
		}
	});

	it('answers lookups while callers send bodies', async () => {
		const {manifest} = deployment.operator.written.at(-1)!;
		deployment.store.put('op', 'config', {...manifest, version: manifest.version + 1, limits: {...manifest.limits, maxBodyBytes: MAX_BODY_BYTES}});
		const {host, port} = splitAddress(vm.front);
		const sockets = Array.from({length: FLOOD_COUNT}, () => {
			const socket = connect(port, host);
			// The VM may close the connection behind its answer.
			socket.on('error', () => undefined);
			socket.resume();
			socket.write('POST /unsafe/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: flood\r\nAuthorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n');
			flood(socket, '1\r\nx\r\n'.repeat(10_000));
			return socket;
		});
		await checkLookups();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
});
