import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {PassThrough} from 'node:stream';
import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';
import {Log} from '../../src/base/log.js';
import {isCurrent} from '../../src/link/leader-register.js';
import {LeaderRow} from '../../platform/leader-row.js';
import {StoreClient} from '../../platform/store-client.js';
import {type StoreRow} from '../../platform/store-response.js';
import {StoreWatch} from '../../platform/store-watch.js';
import {PlatformStore, StoreMode} from '../../standins/platform-store.js';
import {eventually} from '../support/eventually.js';

describe('eras of the store', () => {
	const clock = SystemClock.create();
	const candidate = {
		name: 'a', linkAddress: '10.0.0.1:1', boot: 'b1', vmCount: 3,
	};
	let store: PlatformStore;
	let client: StoreClient;
	let log: Log;
	let logged: string;

	beforeEach(async () => {
		store = await PlatformStore.start();
		const stream = new PassThrough();
		logged = '';
		stream.on('data', chunk => {
			logged += String(chunk);
		});
		log = Log.create('info', stream);
		client = StoreClient.create(clock, log, store.address);
	});

	afterEach(() => {
		client.close();
		store.close();
	});

	function countLines(message: string): number {
		return logged.split(message).length - 1;
	}

	async function keys(): Promise<string[]> {
		const listing = await client.list('servers');
		return listing.unwrapOr(undefined as never).rows.map(({key}) => key);
	}

	/** Watches the servers until the returned function is called. */
	function watch(waitMs: number, rows: Map<string, string | undefined>): () => void {
		const apply = (changed: readonly StoreRow[]) => {
			for (const {key, text} of changed) {
				rows.set(key, text);
			}
		};

		const storeWatch = StoreWatch.create(clock, log, client, {table: 'servers', waitMs: () => waitMs, batchDelayMs: 0}, {
			onList({rows: listed}) {
				rows.clear();
				apply(listed);
			},
			onChanges({rows: changed}) {
				apply(changed);
			},
			onReachabilityChange() {
				// Not of interest.
			},
		});
		storeWatch.setEnabled(true);
		return () => {
			storeWatch.setEnabled(false);
		};
	}

	// Guards against rows that are missed because the feed goes on from a version that the store has given out anew.
	it('a watch misses no row when the version that it knows exists again', async () => {
		const rows = new Map<string, string | undefined>();
		store.put('servers', 'kept', 1);
		const copy = store.copy();
		store.put('servers', 'lost', 1);
		const end = watch(200, rows);
		await eventually(() => rows.has('lost'));
		store.mode = StoreMode.Busy;
		await eventually(() => logged.includes('Store not reached.'));
		store.restore(copy);
		for (const key of ['new-1', 'new-2', 'new-3']) {
			store.put('servers', key, 1);
		}

		store.mode = StoreMode.Healthy;
		await eventually(() => rows.has('new-3'));
		expect([...rows.keys()].toSorted()).to.deep.equal(['kept', 'new-1', 'new-2', 'new-3']);
		expect(countLines('Store went back to an earlier state.')).to.equal(1);
		end();
	});

	it('a watch that waits for changes lists anew as soon as another call shows that the store went back', async () => {
		const rows = new Map<string, string | undefined>();
		const copy = store.copy();
		store.put('servers', 'lost', 1);
		const end = watch(30_000, rows);
		await eventually(() => rows.has('lost'));
		await clock.sleep(50);
		store.restore(copy);
		await client.list('op');
		const start = performance.now();
		await eventually(() => rows.size === 0);
		expect(performance.now() - start).to.be.below(1000);
		end();
	});

	// Guards against an old response, delivered late, that is taken for the present state.
	it('a response of an earlier era is dropped, and logged once', async () => {
		store.put('servers', 'a', 1);
		expect(await keys()).to.deep.equal(['a']);
		store.restore(store.copy());
		expect(await keys()).to.deep.equal(['a']);
		store.eraText = '1';
		for (const call of [async () => client.list('servers'), async () => client.changes('servers', {era: 2, version: 1}, 10), async () => client.write('t', 'k', 'v', {era: 2, version: 0})]) {
			const result = await call(); // eslint-disable-line no-await-in-loop -- one call after the other
			expect(result.isErr).to.equal(true);
		}

		store.eraText = undefined;
		expect(await keys()).to.deep.equal(['a']);
		expect(client.era).to.equal(2);
		expect(countLines('Store went back to an earlier state.')).to.equal(1);
		expect(countLines('Response of an earlier era of the store dropped.')).to.equal(1);
	});

	it('a store that names no era, or an unusable one, is believed as before', async () => {
		store.eraText = '';
		store.put('servers', 'a', 1);
		const first = await client.list('servers');
		const {at} = first.unwrapOr(undefined as never);
		expect(at.era).to.equal(0);
		store.put('servers', 'b', 1);
		const changed = await client.changes('servers', at, 10);
		expect(changed.unwrapOr(undefined)?.rows.map(({key}) => key)).to.deep.equal(['b']);
		for (const text of ['x', '-1', '1.5', '1e3', '99999999999999999999']) {
			store.eraText = text;
			expect(await keys()).to.deep.equal(['a', 'b']); // eslint-disable-line no-await-in-loop
		}

		expect(client.era).to.equal(0);
		expect(countLines('Store went back to an earlier state.')).to.equal(0);
		expect(countLines('Era of the store not readable')).to.equal(1);
	});

	it('pages of two eras are never joined', async () => {
		const pages = [
			{era: 1, key: 'a', hasMore: true}, {era: 2, key: 'b', hasMore: false}, {era: 2, key: 'c', hasMore: true}, {era: 2, key: 'd', hasMore: false},
		];
		const server = createServer((_req, res) => {
			const {era, key, hasMore} = pages.shift()!;
			res.writeHead(200, {'store-era': String(era)});
			res.end(JSON.stringify({rows: [{key, value: '', ver: 1}], hasMore, ver: 5}));
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const paged = StoreClient.create(clock, log, `127.0.0.1:${(server.address() as AddressInfo).port}`);
		const listing = await paged.list('servers');
		expect(listing.unwrapOr(undefined as never).rows.map(({key}) => key)).to.deep.equal(['c', 'd']);
		expect(listing.unwrapOr(undefined as never).at).to.deep.equal({era: 2, version: 5});
		paged.close();
		server.close();
	});

	// Guards against a VM that believes it was elected though its claim met its condition by chance.
	it('a claim made for an earlier era does not make a leader', async () => {
		const register = LeaderRow.create(client);
		const read = await register.read();
		const {at} = read.unwrapOr(undefined as never);
		store.restore(store.copy());
		const claimed = await register.claim(candidate, at);
		const record = claimed.unwrapOr(undefined as never);
		expect(record.leader?.boot).to.equal('b1');
		expect(record.at.era).to.equal(2);
		expect(isCurrent(record)).to.equal(false);
		const again = await register.claim(candidate, record.at);
		expect(isCurrent(again.unwrapOr(undefined as never))).to.equal(true);
	});

	it('a claim is not sent once a later era is known', async () => {
		const register = LeaderRow.create(client);
		const read = await register.read();
		store.restore(store.copy());
		await client.list('op');
		const claimed = await register.claim(candidate, read.unwrapOr(undefined as never).at);
		expect(claimed.unwrapOr(undefined as never)).to.deep.equal({at: {era: 2, version: 0}, leader: undefined});
		expect(store.get('redwingspool', 'allocator')).to.equal(undefined);
	});

	// Guards against a leader whose successor cannot take over, since it has not called the store since that went back.
	it('can be claimed from by a VM that was told of a later era by another', async () => {
		const other = StoreClient.create(clock, log, store.address);
		const [leaderRow, successorRow] = [LeaderRow.create(other), LeaderRow.create(client)];
		await successorRow.read();
		store.restore(store.copy());
		const read = await leaderRow.read();
		const led = await leaderRow.claim(candidate, read.unwrapOr(undefined)!.at);
		const claimed = await successorRow.claim({...candidate, boot: 'b2'}, led.unwrapOr(undefined)!.leader!.term);
		other.close();
		expect(claimed.unwrapOr(undefined)?.leader?.boot).to.equal('b2');
	});
});
