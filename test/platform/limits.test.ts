import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {findLimitExcess} from '../../soak/limit-rule.js';
import {type CallKind, PlatformDeployment} from '../../soak/platform-deployment.js';
import {type PlatformServer} from '../../standins/platform-server.js';
import {eventually} from '../support/eventually.js';

/** Mean load at each of the two servers, in requests a second, while none is limited. */
const LOAD_PER_SERVER = 20;
const LIMIT_PER_SECOND = 2;
const LIMITED_MS = 9000;
/** Traffic that is far beyond the limit within it would exceed the allowance in this time, in ms. */
const CONTACT_MS = 4500;

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

	/** Limits one server of a service under load, and checks what it receives meanwhile and afterwards. */
	async function limitServerUnderLoad(service: string, kinds: readonly CallKind[]): Promise<void> {
		const [server, other] = [...deployment.servers.values()].filter(candidate => candidate.service === service).map(candidate => candidate.server);
		if (server === undefined || other === undefined) {
			throw new Error(`${service} has no two servers`);
		}

		const stopLoad = startLoad(kinds);
		await eventually(() => server.arrivals.length > LOAD_PER_SERVER);
		const from = performance.now();
		server.limit = String(LIMIT_PER_SECOND);
		await sleep(LIMITED_MS);
		server.limit = undefined;
		const until = performance.now();
		// The faster server may get all requests while both have room.
		deployment.drainServer(other.id);
		await eventually(() => arrivalsIn(server, performance.now() - 1000, performance.now()) > LOAD_PER_SERVER / 2, 50);
		await stopLoad();
		expect(findLimitExcess(server.arrivals, [{perSecond: LIMIT_PER_SECOND, from, until}], {contactMs: CONTACT_MS})).to.equal(undefined);
		const steadyFrom = from + CONTACT_MS;
		expect(arrivalsIn(server, steadyFrom, until)).to.be.above(0.7 * LIMIT_PER_SECOND * (until - steadyFrom) / 1000);
		deployment.checkServers();
		expect(deployment.violations).to.deep.equal([]);
	}

	// Guards against a limit that holds at no VM, or only at the one that was told: the server got as many requests as before.
	it('sends a plain service no more than its limit from all VMs together, uses it meanwhile, and fully afterwards', async () => {
		await limitServerUnderLoad('desk', ['safe', 'unsafe']);
	});

	// Guards against the same failure at an engine, whose responses begin before they end.
	it('sends an engine no more than its limit from all VMs together, uses it meanwhile, and fully afterwards', async () => {
		await limitServerUnderLoad('engines', ['stream']);
	});
});
