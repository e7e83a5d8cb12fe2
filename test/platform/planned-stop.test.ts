import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {CallerConnection} from '../../soak/caller-connection.js';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type CallKind, type SentCall} from '../../soak/sent-call.js';
import {type VmProcess} from '../../soak/vm-process.js';
import {Random} from '../../src/base/random.js';
import {eventually} from '../support/eventually.js';
import {sendRaw} from '../support/raw-http.js';

const CONNECT_TIMEOUT_MS = 1000;
/** Times that servers take for a request, in ms. */
const SERVICE_TIME_MS = {min: 300, max: 2200} as const;
/** Time until the body of some requests is sent, in ms. With the service time it is below the time limit of 3 s. */
const MAX_BODY_DELAY_MS = 500;
const REQUEST_INTERVAL_MS = 100;
/** Time over which requests are sent, in ms; the time for a stop is 8 s. */
const LOAD_MS = 8500;
const kinds = ['unsafe', 'safe', 'stream'] as const;
const MIN_CALLS = 80;
const MIN_SERVED_CALLS_OF_KIND = 10;

describe('planned stop of a process', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let random: Random;

	beforeEach(async () => {
		random = Random.create(32);
		deployment = await PlatformDeployment.start(3, 6);
		await eventually(() => leaders().length === 1, 50);
	});

	afterEach(async () => {
		await deployment.stop();
	});

	function leaders(): VmProcess[] {
		const terms = deployment.vms.map(vm => vm.log.findLast(line => line.includes('This VM allocates.'))).filter(line => line !== undefined)
			.map(line => (JSON.parse(line) as {term: number}).term);
		return deployment.vms.filter(vm => vm.log.some(line => line.includes('This VM allocates.') && line.includes(`"term":${Math.max(...terms)},`)));
	}

	/** Connects to the first VM that accepts the connection. */
	async function open(vms: readonly VmProcess[]): Promise<{readonly vm: VmProcess; readonly connection: CallerConnection}> {
		for (const vm of vms) {
			const connection = await CallerConnection.open(vm.front, CONNECT_TIMEOUT_MS); // eslint-disable-line no-await-in-loop -- one after the other
			if (connection !== undefined) {
				return {vm, connection};
			}
		}

		throw new Error('No VM accepts connections.');
	}

	/** Sends a request on an open connection, its body after the given time. */
	async function send(connection: CallerConnection, vm: VmProcess, kind: CallKind, bodyDelayMs: number): Promise<SentCall> {
		const call = deployment.createCall(vm, kind, {query: `ms=${random.integer(SERVICE_TIME_MS.min, SERVICE_TIME_MS.max)}`});
		const headers = Object.entries({...deployment.headersOf(call), 'content-length': String(call.body.length)});
		const answered = connection.answer();
		call.startedAt = performance.now();
		let isSent = connection.write(`${call.method} ${call.target} HTTP/1.1\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`);
		if (call.body !== '') {
			await sleep(bodyDelayMs);
			isSent = connection.write(call.body);
		}

		call.sentAt = isSent ? performance.now() : Number.NaN;
		deployment.endCall(call, await answered);
		return call;
	}

	/**
	 * Sends requests on connections of their own, some of them opened some time before. Every second caller sends the next
	 * request on a connection although it was told that this one closes.
	 */
	async function sendLoad(vms: readonly VmProcess[]): Promise<SentCall[]> {
		const calls: SentCall[] = [];
		const pending: Array<Promise<void>> = [];
		const callOnce = async (index: number) => {
			const {vm, connection} = await open([...vms.slice(index % vms.length), ...vms]);
			await sleep(index % 4 === 0 ? random.integer(0, 1000) : 0);
			for (let count = 0; count < 3 && connection.isOpen; count += 1) {
				const bodyDelayMs = index % 5 === 0 ? random.integer(0, MAX_BODY_DELAY_MS) : 0;
				const call = await send(connection, vm, kinds[(index + count) % kinds.length]!, bodyDelayMs); // eslint-disable-line no-await-in-loop -- one after the other on a connection
				calls.push(call);
				if (index % 2 === 0 && call.answer!.headers.connection === 'close') {
					break;
				}
			}

			connection.close();
		};

		const end = performance.now() + LOAD_MS;
		for (let index = 0; performance.now() < end; index += 1) {
			pending.push(callOnce(index));
			await sleep(REQUEST_INTERVAL_MS); // eslint-disable-line no-await-in-loop -- paces the requests
		}

		await Promise.all(pending);
		return calls;
	}

	function expectWholeAnswers(calls: readonly SentCall[]): void {
		deployment.checkServers();
		expect(deployment.violations).to.deep.equal([]);
		// Otherwise the load would show little.
		expect(calls).to.have.length.above(MIN_CALLS);
		for (const kind of kinds) {
			expect(calls.filter(call => call.kind === kind && call.answer?.status === 200), kind).to.have.length.above(MIN_SERVED_CALLS_OF_KIND);
		}

		const lost = calls.filter(({answer, sentAt, endedAt}) => answer?.isWhole !== true && !Number.isNaN(sentAt) && endedAt - sentAt > 200);
		expect(lost.map(({id, kind}) => `${kind} ${id}`)).to.deep.equal([]);
		for (const {id, answer} of calls) {
			expect(answer!.status === 503 && answer!.headers['retry-after'] === undefined, `refusal of ${id} without Retry-After`).to.equal(false);
		}
	}

	/** The account of requests in the last log line of a process. */
	function account(vm: VmProcess): {readonly open: number; readonly afterMs: number} {
		return JSON.parse(vm.log.findLast(line => line.includes('gateway: Stopped.'))!) as {open: number; afterMs: number};
	}

	// Guards against requests that a stopping VM took being cut at its end, and against signals that cut the stop short.
	it('leaves no request without an answer or a refusal if the VM that allocates stops, with slow servers and more signals', async () => {
		const [vm] = leaders();
		const load = sendLoad([vm!, vm!, ...deployment.vms]);
		await sleep(1000);
		const ended = vm!.terminate('SIGTERM');
		for (const signal of ['SIGHUP', 'SIGTERM', 'SIGHUP'] as const) {
			await sleep(400); // eslint-disable-line no-await-in-loop -- signals at intervals
			vm!.signal(signal);
		}

		const ready = await sendRaw(vm!.ready, ['GET /api/ready HTTP/1.1\r\nhost: ready\r\n\r\n']);
		expect(ready.status).to.equal(503);
		const addresses = await Promise.all(deployment.vms.map(async other => deployment.addresses(other)));
		expect(addresses.flat().filter(address => address === vm!.front)).to.deep.equal([]);
		expect(addresses.map(({length}) => length)).to.deep.equal([2, 2, 2]);
		const metrics = await sendRaw(vm!.metrics, ['GET /metrics HTTP/1.1\r\nhost: metrics\r\nconnection: close\r\n\r\n']);
		expect(metrics.status).to.equal(200);
		await ended;
		expectWholeAnswers(await load);
		expect(account(vm!)).to.include({open: 0});
		expect(vm!.log.filter(line => /"end":"(?:stopped|lost|broken)"/v.test(line))).to.deep.equal([]);
	});

	// Guards against requests of a stopping VM being lost with the VM that allocates for it.
	it('leaves no request without an answer or a refusal if the VM that allocates is killed meanwhile', async () => {
		const [leader] = leaders();
		const vm = deployment.vms.find(one => one !== leader)!;
		const load = sendLoad([vm, vm, deployment.vms.findLast(one => one !== leader)!]);
		await sleep(1000);
		const ended = vm.terminate('SIGTERM');
		await sleep(1000);
		await leader!.terminate('SIGKILL');
		await ended;
		expectWholeAnswers(await load);
		expect(account(vm)).to.include({open: 0});
		expect(vm.log.filter(line => /"end":"(?:stopped|lost|broken)"/v.test(line))).to.deep.equal([]);
	});

	// Guards against requests being lost while the place that decides on them moves from one stopping VM to another.
	it('leaves no request without an answer or a refusal if all VMs stop and start in turn', async () => {
		const load = sendLoad(deployment.vms);
		await Promise.all(deployment.vms.map(async (vm, index) => {
			await sleep(500 + (index * 1300));
			await vm.terminate('SIGTERM');
			vm.start();
		}));
		expectWholeAnswers(await load);
		for (const vm of deployment.vms) {
			expect(account(vm)).to.include({open: 0});
			expect(vm.log.filter(line => /"end":"(?:stopped|lost|broken)"/v.test(line))).to.deep.equal([]);
		}
	});
});
