import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type CallKind} from '../../soak/sent-call.js';
import {type VmProcess} from '../../soak/vm-process.js';
import {ServerMode, expectedBody, expectedStreamBody} from '../../standins/platform-server.js';
import {StoreMode} from '../../standins/platform-store.js';
import {eventually} from '../support/eventually.js';
import {sendRaw} from '../support/raw-http.js';

describe('platform processes', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let vms: VmProcess[];

	before(async () => {
		deployment = await PlatformDeployment.start(2, 2);
		({vms} = deployment);
	});

	after(async () => {
		await deployment.stop();
	});

	afterEach(() => {
		for (const {server} of deployment.servers.values()) {
			server.mode = ServerMode.Healthy;
		}

		deployment.checkServers();
		expect(deployment.violations).to.deep.equal([]);
	});

	function setMode(mode: ServerMode): void {
		for (const {server} of deployment.servers.values()) {
			server.mode = mode;
		}
	}

	it('serves each kind of request on each VM', async () => {
		for (const vm of vms) {
			/* eslint-disable no-await-in-loop -- sequential calls */
			const unsafe = await deployment.call(vm, 'unsafe');
			expect(unsafe).to.include({status: 200, body: expectedBody(unsafe.id)});
			const safe = await deployment.call(vm, 'safe');
			expect(safe).to.include({status: 200, body: expectedBody(safe.id)});
			const stream = await deployment.call(vm, 'stream');
			expect(stream).to.include({status: 200, body: expectedStreamBody(stream.id)});
			/* eslint-enable no-await-in-loop */
		}
	});

	it('returns the addresses of both VMs from the directory', async () => {
		await eventually(async () => {
			const answers = await Promise.all(vms.map(async vm => deployment.addresses(vm)));
			return answers.every(addresses => addresses.length === 2);
		}, 50);
	});

	// Guards against a target that is no URL ending the process, for all callers of the VM.
	it('answers any request target on the directory, and keeps running', async () => {
		for (const target of ['//', 'http://', 'http://[/', '/api/resolve?region=%zz', '*']) {
			// eslint-disable-next-line no-await-in-loop -- one target after the other shows which one fails
			const {status} = await sendRaw(vms[0]!.directory, [`GET ${target} HTTP/1.1\r\nhost: directory\r\nconnection: close\r\n\r\n`]);
			expect(status, target).to.equal(200);
		}

		expect(vms[0]!.isRunning).to.equal(true);
	});

	it('answers 404 where no route matches', async () => {
		expect(await deployment.call(vms[0]!, 'safe', '/nowhere/')).to.include({status: 404});
	});

	it('never sends an unsafe request twice when responses are lost, and retries a safe one', async () => {
		setMode(ServerMode.LosesAnswers);
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 502});
		const first = [...deployment.servers.values()].find(({service}) => service === 'desk');
		first!.server.mode = ServerMode.Healthy;
		const answers = await Promise.all(Array.from({length: 6}, async () => deployment.call(vms[1]!, 'safe')));
		expect(answers.filter(({status}) => status === 200)).to.have.length.above(0);
	});

	it('terminates endless responses with bounded memory use', async () => {
		setMode(ServerMode.Floods);
		const answers = await Promise.all(Array.from({length: 12}, async (_, index) => deployment.call(vms[0]!, index % 2 === 0 ? 'unsafe' : 'stream')));
		for (const {status, isWhole} of answers) {
			expect(status === 200 && isWhole).to.equal(false);
		}

		const status = await readFile(`/proc/${vms[0]!.child!.pid}/status`, 'utf8');
		// Limited by the memory of the VMs that the program runs on.
		expect(Number(/VmHWM:\s+(?<kB>\d+)/v.exec(status)!.groups!.kB)).to.be.below(350_000);
		setMode(ServerMode.Healthy);
		await eventually(async () => servesSafeRequests(vms[0]!), 50);
	});

	it('answers with Retry-After while its servers ask for a pause, and serves again afterwards', async () => {
		setMode(ServerMode.RetryAfter);
		const refused = await deployment.call(vms[0]!, 'unsafe');
		expect(refused).to.include({status: 503});
		expect(Number(refused.headers['retry-after'])).to.be.above(0);
		setMode(ServerMode.Healthy);
		await eventually(async () => servesSafeRequests(vms[0]!), 50);
	});

	it('reports that a request has not run only if it has not', async () => {
		setMode(ServerMode.Sheds);
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 503});
		expect(await deployment.call(vms[0]!, 'stream')).to.include({status: 503});
	});

	it('forwards no response to another request, no truncated response as complete, and no surplus bytes', async () => {
		setMode(ServerMode.WrongRequestId);
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 502});
		setMode(ServerMode.Truncates);
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 502});
		setMode(ServerMode.ExtraAnswer);
		const surplus = await deployment.call(vms[0]!, 'unsafe');
		expect(surplus).to.include({status: 200, body: expectedBody(surplus.id)});
	});

	it('resumes a stream on another server after it was truncated within an event', async () => {
		const first = [...deployment.servers.values()].find(({service}) => service === 'engines');
		first!.server.mode = ServerMode.Truncates;
		const answers = await Promise.all(Array.from({length: 4}, async () => deployment.call(vms[0]!, 'stream')));
		for (const answer of answers) {
			expect(answer).to.include({status: 200, body: expectedStreamBody(answer.id)});
		}
	});

	it('responds with an error to a stream that ended before its first event, instead of closing the connection', async () => {
		setMode(ServerMode.HeadOnly);
		expect(await deployment.call(vms[0]!, 'stream')).to.include({status: 502, isWhole: true});
	});

	it('forwards an error response of a server', async () => {
		setMode(ServerMode.Fails);
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 500, body: 'failed'});
		expect(await deployment.call(vms[0]!, 'safe')).to.include({status: 500, body: 'failed'});
	});

	async function servesSafeRequests(vm: VmProcess, prefix?: string): Promise<boolean> {
		const {status} = await deployment.call(vm, 'safe', prefix);
		return status === 200;
	}

	it('applies a new configuration on each VM', async () => {
		deployment.setConfiguration(['/new/']);
		for (const vm of vms) {
			await eventually(async () => servesSafeRequests(vm, '/new/'), 100); // eslint-disable-line no-await-in-loop
		}
	});

	it('serves while the store is unreachable', async () => {
		deployment.store.mode = StoreMode.Silent;
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 200});
		expect(await deployment.call(vms[1]!, 'stream')).to.include({status: 200});
		deployment.store.mode = StoreMode.Healthy;
	});

	it('serves from the other VM after one was killed, and lets it rejoin', async () => {
		for (const vm of vms) {
			/* eslint-disable no-await-in-loop -- one VM at a time */
			await vm.terminate('SIGKILL');
			const other = vms.find(one => one !== vm)!;
			await eventually(async () => servesSafeRequests(other), 50);
			vm.start();
			await deployment.ready();
			/* eslint-enable no-await-in-loop */
		}
	});

	it('completes requests in flight before a planned stop', async () => {
		const vm = vms[0]!;
		const inFlight = Promise.all(Array.from({length: 4}, async () => deployment.call(vm, 'stream')));
		await eventually(() => [...deployment.servers.values()].some(({server}) => server.runs.length > 0));
		const ended = vm.terminate('SIGTERM');
		for (const answer of await inFlight) {
			expect(answer).to.include({status: 200, body: expectedStreamBody(answer.id)});
		}

		await ended;
		vm.start();
		await deployment.ready();
	});

	it('completes every accepted request while it stops under load on persistent connections', async () => {
		const vm = vms[0]!;
		const load = {isEnded: false};
		const incompleteIds: string[] = [];
		const caller = async (kind: CallKind) => {
			while (!load.isEnded) {
				const answer = await deployment.call(vm, kind); // eslint-disable-line no-await-in-loop -- sequential calls
				if (!answer.isWhole) {
					incompleteIds.push(answer.id);
				}
			}
		};

		const callers = Promise.all((['unsafe', 'safe', 'stream', 'unsafe', 'stream', 'safe'] as const).map(async kind => caller(kind)));
		await eventually(() => [...deployment.servers.values()].some(({server}) => server.runs.length > 20));
		await vm.terminate('SIGTERM');
		load.isEnded = true;
		await callers;
		vm.start();
		await deployment.ready();
		// Requests that the kernel had not handed to the process when its listener closed were neither read nor run.
		const wasAccepted = (id: string) => vm.log.some(line => line.includes(`"${id}"`))
			|| [...deployment.servers.values()].some(({server}) => server.runs.some(run => run.id === id));
		expect(incompleteIds.filter(id => wasAccepted(id))).to.deep.equal([]);
	});

	it('does not use a drained server or a revoked API key after a restart while the store is unreachable', async () => {
		const drainedServer = [...deployment.servers.values()].find(({service}) => service === 'desk')!;
		await deployment.addServer('desk', 6);
		deployment.drainServer(drainedServer.server.id);
		deployment.setConfiguration(['/new/'], ['key-2']);
		await eventually(async () => {
			const answers = await Promise.all(vms.map(async vm => deployment.call(vm, 'unsafe')));
			return answers.every(({status}) => status === 401);
		}, 100);
		const before = drainedServer.server.runs.length;
		deployment.store.mode = StoreMode.Silent;
		// The restarted VM finds the first one through its seeds.
		const vm = vms[1]!;
		await vm.terminate('SIGKILL');
		vm.start();
		await deployment.ready();
		const answers = await Promise.all(Array.from({length: 12}, async () => deployment.call(vm, 'unsafe')));
		expect(new Set(answers.map(({status}) => status))).to.deep.equal(new Set([401]));
		deployment.store.mode = StoreMode.Healthy;
		deployment.setConfiguration(['/new/']);
		await eventually(async () => servesSafeRequests(vm), 100);
		await Promise.all(Array.from({length: 12}, async () => deployment.call(vm, 'unsafe')));
		expect(drainedServer.server.runs).to.have.length(before);
	});

	it('sends no request to a draining server', async () => {
		const drainingServer = [...deployment.servers.values()].find(({service}) => service === 'desk')!;
		deployment.drainServer(drainingServer.server.id);
		await eventually(async () => {
			const before = drainingServer.server.runs.length;
			await Promise.all(Array.from({length: 8}, async () => deployment.call(vms[1]!, 'unsafe')));
			return drainingServer.server.runs.length === before;
		}, 100);
	});
});
