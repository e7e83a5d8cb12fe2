import {expect} from 'chai';
import {PlatformDeployment, type VmProcess} from '../../soak/platform-deployment.js';
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
