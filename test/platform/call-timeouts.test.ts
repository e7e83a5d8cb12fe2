import {expect} from 'chai';
import {CALL_TIMEOUT_MS, CallTimeouts, repeatTimes} from '../../platform/call-timeouts.js';
import {StoreClient} from '../../platform/store-client.js';
import {SystemClock} from '../../src/base/clock.js';
import {Log} from '../../src/base/log.js';
import {PlatformStore, StoreMode} from '../../standins/platform-store.js';

describe('timeouts of store calls', function () {
	this.timeout(20_000);
	let store: PlatformStore;
	let client: StoreClient;

	beforeEach(async () => {
		store = await PlatformStore.start();
		store.putText('table', 'row', 'text');
		client = StoreClient.create(SystemClock.create(), Log.create('silent'), store.address);
	});

	afterEach(() => {
		client.close();
		store.close();
	});

	async function canList(): Promise<boolean> {
		const {isOk} = await client.list('table');
		return isOk;
	}

	// Guards against retries that all end before a slow store responds.
	it('let the retry of a call wait for a slow store', async () => {
		store.delayMs = () => 2500;
		expect(await canList()).to.equal(false);
		expect(await canList()).to.equal(true);
	});

	// Guards against a store that is back being noticed only at the end of a long timeout.
	it('do not delay the response of a store that is back', async () => {
		store.mode = StoreMode.Silent;
		expect(await canList()).to.equal(false);
		let requests = 0;
		store.delayMs = () => {
			requests += 1;
			if (requests === 2) {
				store.mode = StoreMode.Healthy;
			}

			return 0;
		};

		expect(await canList()).to.equal(true);
		expect(requests).to.equal(2);
	});

	// Guards against timeouts that grow without bound, or stay long after the store has recovered.
	it('grow up to a bound, by table, until a call succeeds', () => {
		const timeouts = CallTimeouts.create();
		const seen = [];
		for (let call = 0; call < 4; call += 1) {
			const timeoutMs = timeouts.timeoutMs('table');
			seen.push(timeoutMs);
			timeouts.noteTimeout('table', timeoutMs);
		}

		expect(seen).to.deep.equal([CALL_TIMEOUT_MS, 3200, 3200, 3200]);
		expect(timeouts.timeoutMs('other')).to.equal(CALL_TIMEOUT_MS);
		timeouts.noteSuccess('table');
		expect(timeouts.timeoutMs('table')).to.equal(CALL_TIMEOUT_MS);
		expect(repeatTimes(CALL_TIMEOUT_MS)).to.equal(undefined);
	});
});
