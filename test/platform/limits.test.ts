import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {findLimitExcess} from '../../soak/limit-rule.js';
import {CALLER_TIMEOUT_MS} from '../../soak/operator.js';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type CallKind} from '../../soak/sent-call.js';
import {type PlatformServer} from '../../standins/platform-server.js';
import {eventually} from '../support/eventually.js';

/** Mean load at each of the two servers, in requests a second, while none is limited. */
const LOAD_PER_SERVER = 20;
const LIMIT_PER_SECOND = 2;
const LIMITED_MS = 9000;
/** Time from the first statement of a limit until it must hold, in ms: so long that no window contains the load before it. */
const CONTACT_MS = 4500;
/** Longest time until a refusal that is given at once, in ms. */
const AT_ONCE_MS = 200;

describe('platform processes with a server that states a limit', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;

	before(async () => {
		deployment = await PlatformDeployment.start(3, 2);
	});

	after(async () => {
		await deployment.stop();
	});

	/** Sends requests to all VMs in turn until stopped. */
	function startLoad(kinds: readonly CallKind[]): () => Promise<void> {
		const load = {isEnded: false};
		const pending: Array<Promise<unknown>> = [];
		const send = async () => {
			for (let count = 0; !load.isEnded; count += 1) {
				pending.push(deployment.call(deployment.vms[count % deployment.vms.length]!, kinds[count % kinds.length]!));
				await sleep(1000 / (2 * LOAD_PER_SERVER)); // eslint-disable-line no-await-in-loop -- paces the requests
			}
		};

		const sending = send();
		return async () => {
			load.isEnded = true;
			await sending;
			await Promise.all(pending);
		};
	}

	const arrivalsIn = (server: PlatformServer, from: number, until: number) => server.arrivals.filter(at => at >= from && at < until).length;

	const serversOf = (service: string) => [...deployment.servers.values()].filter(candidate => candidate.service === service).map(({server}) => server);

	/** Limits one server of a service under load, checks what it receives, and that it is used fully afterwards. */
	async function limitServerUnderLoad(service: string, kinds: readonly CallKind[]): Promise<void> {
		const [server, other] = serversOf(service);
		const stopLoad = startLoad(kinds);
		await eventually(() => server!.arrivals.length + other!.arrivals.length > LOAD_PER_SERVER);
		const from = performance.now();
		server!.limit = String(LIMIT_PER_SECOND);
		await sleep(LIMITED_MS);
		server!.limit = undefined;
		const until = performance.now();
		// Without a second server, the load needs the first one, which the allocator need not prefer.
		deployment.drainServer(other!.id);
		await eventually(() => arrivalsIn(server!, performance.now() - 1000, performance.now()) > LOAD_PER_SERVER / 2, 50);
		await stopLoad();
		expectWithinLimit(server!, from, until);
		await deployment.addServer(service, other!.slots);
	}

	/** Limits both servers of a service under load, and checks that they are used up to their limits and the rest is refused at once. */
	async function limitServiceUnderLoad(service: string, kinds: readonly CallKind[]): Promise<void> {
		const servers = serversOf(service);
		const stopLoad = startLoad(kinds);
		await eventually(() => servers.some(server => server.arrivals.length > LOAD_PER_SERVER));
		const from = performance.now();
		for (const server of servers) {
			server.limit = String(LIMIT_PER_SECOND);
		}

		await sleep(LIMITED_MS);
		const steadyFrom = from + CONTACT_MS;
		const until = performance.now();
		const refused = [];
		for (let count = 0; count < 10; count += 1) {
			const startedAt = performance.now();
			const answer = await deployment.call(deployment.vms[count % 3]!, kinds[0]!); // eslint-disable-line no-await-in-loop -- sequential requests
			if (answer.status === 503) {
				refused.push({afterMs: performance.now() - startedAt, retryAfter: Number(answer.headers['retry-after'])});
			}
		}

		for (const server of servers) {
			server.limit = undefined;
		}

		await stopLoad();
		for (const server of servers) {
			expectWithinLimit(server, from, until);
			expect(arrivalsIn(server, steadyFrom, until), server.id).to.be.above(0.7 * LIMIT_PER_SECOND * (until - steadyFrom) / 1000);
		}

		expect(refused).to.have.length.above(4);
		expect(refused.filter(({afterMs}) => afterMs < AT_ONCE_MS)).to.have.length.above(0.6 * refused.length);
		for (const {retryAfter} of refused) {
			expect(retryAfter).to.be.within(0.1, CALLER_TIMEOUT_MS / 1000);
		}
	}

	function expectWithinLimit(server: PlatformServer, from: number, until: number): void {
		expect(findLimitExcess(server.arrivals, [{perSecond: LIMIT_PER_SECOND, from, until}], {contactMs: CONTACT_MS})).to.equal(undefined);
		deployment.checkServers();
		expect(deployment.violations).to.deep.equal([]);
	}

	// Guards against requests beside those of callers, which would count against a limit.
	it('sends servers no health checks', async () => {
		const servers = [...deployment.servers.values()].map(({server}) => server);
		await sleep(2500);
		expect(servers.map(({arrivals}) => arrivals.length)).to.deep.equal(servers.map(() => 0));
	});

	// Guards against a limit that holds at no VM, or only at the one that was told: the server got as many requests as before.
	it('sends a plain service no more than its limit from all VMs together, and uses it fully afterwards', async () => {
		await limitServerUnderLoad('desk', ['safe', 'unsafe']);
	});

	// Guards against the same failure at an engine, whose responses begin before they end.
	it('sends an engine no more than its limit from all VMs together, and uses it fully afterwards', async () => {
		await limitServerUnderLoad('engines', ['stream']);
	});

	// Guards against callers that wait in vain for servers which cannot take their requests, and against servers left unused.
	it('uses a plain service whose servers are all limited up to their limits, and refuses the rest at once', async () => {
		await limitServiceUnderLoad('desk', ['unsafe', 'safe']);
	});

	it('uses engines that are all limited up to their limits, and refuses the rest at once', async () => {
		await limitServiceUnderLoad('engines', ['stream']);
	});
});
