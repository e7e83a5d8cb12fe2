import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type CallerAnswer, type CallKind} from '../../soak/sent-call.js';
import {type VmProcess} from '../../soak/vm-process.js';
import {ServerMode} from '../../standins/platform-server.js';
import {eventually} from '../support/eventually.js';

const callKinds: readonly CallKind[] = ['safe', 'unsafe', 'stream'];
const CALL_COUNT = 24;
/** Peak memory of a VM's process, in kB; limited by the memory of the VMs that the program runs on. */
const MAX_MEMORY_KB = 350_000;

// Guards against servers whose responses never end: in a head, in the framing of a body, or a byte at a time.
describe('platform processes with servers whose responses never end', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let vm: VmProcess;

	before(async () => {
		deployment = await PlatformDeployment.start(1, 2);
		[vm] = deployment.vms as [VmProcess];
	});

	after(async () => {
		await deployment.stop();
	});

	const call = async (count: number): Promise<CallerAnswer[]> => Promise.all(Array.from({length: count}, async (_, index) => deployment.call(vm, callKinds[index % callKinds.length]!)));

	function setMode(mode: ServerMode): void {
		for (const {server} of deployment.servers.values()) {
			server.mode = mode;
		}
	}

	/** Sends requests while all servers are in a mode, and checks the answers, the memory and that the servers are used again. */
	async function callDuring(mode: ServerMode): Promise<void> {
		setMode(mode);
		for (const {status, isWhole} of await call(CALL_COUNT)) {
			expect(status === 200 && isWhole).to.equal(false);
		}

		const status = await readFile(`/proc/${vm.child!.pid}/status`, 'utf8');
		expect(Number(/VmHWM:\s+(?<kB>\d+)/v.exec(status)!.groups!.kB)).to.be.below(MAX_MEMORY_KB);
		setMode(ServerMode.Healthy);
		await eventually(async () => {
			const answers = await call(callKinds.length);
			return answers.every(answer => answer.status === 200 && answer.isWhole);
		}, 50);
		deployment.checkServers();
		expect(deployment.violations).to.deep.equal([]);
	}

	it('bounds an endless head', async () => callDuring(ServerMode.EndlessHead));
	it('bounds an endless framing of a body', async () => callDuring(ServerMode.EndlessFraming));
	it('bounds an endless body', async () => callDuring(ServerMode.Floods));
	it('bounds a response that trickles', async () => callDuring(ServerMode.Trickles));
});
