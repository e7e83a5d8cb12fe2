import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {type CallKind, PlatformDeployment, type VmProcess} from '../../soak/platform-deployment.js';
import {ServerMood, wholeAnswer, wholeStream} from '../../standins/platform-server.js';
import {StoreMood} from '../../standins/platform-store.js';
import {eventually} from '../support/eventually.js';

describe('program of the users\' platform, as processes', function () {
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
			server.mood = ServerMood.Well;
		}

		deployment.checkServers();
		expect(deployment.violations).to.deep.equal([]);
	});

	function setMood(mood: ServerMood): void {
		for (const {server} of deployment.servers.values()) {
			server.mood = mood;
		}
	}

	it('answers each kind of request at each VM', async () => {
		for (const vm of vms) {
			/* eslint-disable no-await-in-loop -- one after the other */
			const unsafe = await deployment.call(vm, 'unsafe');
			expect(unsafe).to.include({status: 200, body: wholeAnswer(unsafe.id)});
			const safe = await deployment.call(vm, 'safe');
			expect(safe).to.include({status: 200, body: wholeAnswer(safe.id)});
			const stream = await deployment.call(vm, 'stream');
			expect(stream).to.include({status: 200, body: wholeStream(stream.id)});
			/* eslint-enable no-await-in-loop */
		}
	});

	it('names both VMs in the directory\'s answer', async () => {
		await eventually(async () => {
			const answers = await Promise.all(vms.map(async vm => deployment.addresses(vm)));
			return answers.every(addresses => addresses.length === 2);
		}, 50);
	});

	it('answers 404 and 401 where the configuration allows nothing', async () => {
		expect(await deployment.call(vms[0]!, 'safe', '/nowhere/')).to.include({status: 404});
	});

	it('never sends an unsafe request twice when answers are lost, and a safe one again', async () => {
		setMood(ServerMood.LosesAnswers);
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 502});
		const first = [...deployment.servers.values()].find(({service}) => service === 'desk');
		first!.server.mood = ServerMood.Well;
		const answers = await Promise.all(Array.from({length: 6}, async () => deployment.call(vms[1]!, 'safe')));
		expect(answers.filter(({status}) => status === 200)).to.have.length.above(0);
	});

	it('ends answers without end, and keeps its memory', async () => {
		setMood(ServerMood.Floods);
		const answers = await Promise.all(Array.from({length: 12}, async (_, index) => deployment.call(vms[0]!, index % 2 === 0 ? 'unsafe' : 'stream')));
		for (const {status, isWhole} of answers) {
			expect(status === 200 && isWhole).to.equal(false);
		}

		const status = await readFile(`/proc/${vms[0]!.child!.pid}/status`, 'utf8');
		// Memory of the machines that the program runs on.
		expect(Number(/VmHWM:\s+(?<kB>\d+)/v.exec(status)!.groups!.kB)).to.be.below(350_000);
		setMood(ServerMood.Well);
		await eventually(async () => isServed(vms[0]!), 50);
	});

	it('spares servers that ask for it, and serves again after', async () => {
		setMood(ServerMood.Pauses);
		const refused = await deployment.call(vms[0]!, 'unsafe');
		expect(refused).to.include({status: 503});
		expect(Number(refused.headers['retry-after'])).to.be.above(0);
		setMood(ServerMood.Well);
		await eventually(async () => isServed(vms[0]!), 50);
	});

	it('says that a request has not run only when it has not', async () => {
		setMood(ServerMood.Sheds);
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 503});
		expect(await deployment.call(vms[0]!, 'stream')).to.include({status: 503});
	});

	it('passes on no answer of another request, no truncated one as whole, and no surplus', async () => {
		setMood(ServerMood.Confuses);
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 502});
		setMood(ServerMood.Truncates);
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 502});
		setMood(ServerMood.Surplus);
		const surplus = await deployment.call(vms[0]!, 'unsafe');
		expect(surplus).to.include({status: 200, body: wholeAnswer(surplus.id)});
	});

	it('resumes a stream that broke off within an event at another server', async () => {
		const first = [...deployment.servers.values()].find(({service}) => service === 'engines');
		first!.server.mood = ServerMood.Truncates;
		const answers = await Promise.all(Array.from({length: 4}, async () => deployment.call(vms[0]!, 'stream')));
		for (const answer of answers) {
			expect(answer).to.include({status: 200, body: wholeStream(answer.id)});
		}
	});

	it('answers a stream that broke off before its first event, rather than closing the connection', async () => {
		setMood(ServerMood.HeadOnly);
		expect(await deployment.call(vms[0]!, 'stream')).to.include({status: 502, isWhole: true});
	});

	it('passes a server\'s own failure on', async () => {
		setMood(ServerMood.Fails);
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 500, body: 'failed'});
		expect(await deployment.call(vms[0]!, 'safe')).to.include({status: 500, body: 'failed'});
	});

	async function isServed(vm: VmProcess, prefix?: string): Promise<boolean> {
		const {status} = await deployment.call(vm, 'safe', prefix);
		return status === 200;
	}

	it('puts a new configuration in force at each VM, also while the store loses answers', async () => {
		deployment.setConfiguration(['/new/']);
		for (const vm of vms) {
			await eventually(async () => isServed(vm, '/new/'), 100); // eslint-disable-line no-await-in-loop
		}
	});

	it('serves while the store is away', async () => {
		deployment.store.mood = StoreMood.Silent;
		expect(await deployment.call(vms[0]!, 'unsafe')).to.include({status: 200});
		expect(await deployment.call(vms[1]!, 'stream')).to.include({status: 200});
		deployment.store.mood = StoreMood.Well;
	});

	it('goes on at the other VM after one was killed, and takes it back', async () => {
		for (const vm of vms) {
			/* eslint-disable no-await-in-loop -- one after the other */
			await vm.end('SIGKILL');
			const other = vms.find(one => one !== vm)!;
			await eventually(async () => isServed(other), 50);
			vm.start();
			await deployment.ready();
			/* eslint-enable no-await-in-loop */
		}
	});

	it('ends a request in flight before a planned stop', async () => {
		const vm = vms[0]!;
		const inFlight = Promise.all(Array.from({length: 4}, async () => deployment.call(vm, 'stream')));
		await eventually(() => [...deployment.servers.values()].some(({server}) => server.runs.length > 0));
		const ended = vm.end('SIGTERM');
		for (const answer of await inFlight) {
			expect(answer).to.include({status: 200, body: wholeStream(answer.id)});
		}

		await ended;
		vm.start();
		await deployment.ready();
	});

	it('cuts off no request that it accepted while it stops under load, on connections that callers keep', async () => {
		const vm = vms[0]!;
		const load = {isEnded: false};
		const cut: string[] = [];
		const caller = async (kind: CallKind) => {
			while (!load.isEnded) {
				const answer = await deployment.call(vm, kind); // eslint-disable-line no-await-in-loop -- one after the other
				if (!answer.isWhole) {
					cut.push(answer.id);
				}
			}
		};

		const callers = Promise.all((['unsafe', 'safe', 'stream', 'unsafe', 'stream', 'safe'] as const).map(async kind => caller(kind)));
		await eventually(() => [...deployment.servers.values()].some(({server}) => server.runs.length > 20));
		await vm.end('SIGTERM');
		load.isEnded = true;
		await callers;
		vm.start();
		await deployment.ready();
		// What the kernel had not handed to the process when its listener closed crossed the close; it was neither read nor run.
		const wasTaken = (id: string) => vm.log.some(line => line.includes(`"${id}"`))
			|| [...deployment.servers.values()].some(({server}) => server.runs.some(run => run.id === id));
		expect(cut.filter(id => wasTaken(id))).to.deep.equal([]);
	});

	it('does not use a server that left, or a key that was withdrawn, after a restart while the store is away', async () => {
		const left = [...deployment.servers.values()].find(({service}) => service === 'desk')!;
		await deployment.addServer('desk', 6);
		deployment.drainServer(left.server.id);
		deployment.setConfiguration(['/new/'], ['key-2']);
		await eventually(async () => {
			const answers = await Promise.all(vms.map(async vm => deployment.call(vm, 'unsafe')));
			return answers.every(({status}) => status === 401);
		}, 100);
		const before = left.server.runs.length;
		deployment.store.mood = StoreMood.Silent;
		// It finds the first VM by its seeds.
		const vm = vms[1]!;
		await vm.end('SIGKILL');
		vm.start();
		await deployment.ready();
		const answers = await Promise.all(Array.from({length: 12}, async () => deployment.call(vm, 'unsafe')));
		expect(new Set(answers.map(({status}) => status))).to.deep.equal(new Set([401]));
		deployment.store.mood = StoreMood.Well;
		deployment.setConfiguration(['/new/']);
		await eventually(async () => isServed(vm), 100);
		await Promise.all(Array.from({length: 12}, async () => deployment.call(vm, 'unsafe')));
		expect(left.server.runs).to.have.length(before);
	});

	it('sends no request to a server that leaves', async () => {
		const leaving = [...deployment.servers.values()].find(({service}) => service === 'desk')!;
		deployment.drainServer(leaving.server.id);
		await eventually(async () => {
			const before = leaving.server.runs.length;
			await Promise.all(Array.from({length: 8}, async () => deployment.call(vms[1]!, 'unsafe')));
			return leaving.server.runs.length === before;
		}, 100);
	});
});
