import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {SystemClock} from '../../src/base/clock.js';
import {Log} from '../../src/base/log.js';
import {LeaderRow} from '../../platform/leader-row.js';
import {StoreClient} from '../../platform/store-client.js';
import {foreignText} from '../support/foreign-values.js';

const sound = {
	rows: [{
		table: 't', part: '', key: 'a', value: Buffer.from('1').toString('base64'), ver: 3,
	}, {
		table: 't', part: '', key: 'b', value: Buffer.from('2').toString('base64'), ver: 4,
	}],
	hasMore: false,
	ver: 5,
	nowMs: 1,
};

describe('responses of the store', () => {
	let server: Server;
	let client: StoreClient;
	let body: string;
	let status: number;

	beforeEach(async () => {
		status = 200;
		server = createServer((req, res) => {
			req.resume();
			res.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
			res.end(body);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		client = StoreClient.create(SystemClock.create(), Log.create('silent'), `127.0.0.1:${(server.address() as AddressInfo).port}`);
	});

	afterEach(() => {
		client.close();
		server.close();
	});

	async function listKeys(): Promise<string[] | undefined> {
		const listed = await client.list('t');
		return listed.map(({rows}) => rows.map(({key}) => key)).unwrapOr(undefined as never);
	}

	// Guards against deletions being left out as unusable rows: a server that left went on getting requests.
	it('report a deleted row that has no value', async () => {
		body = JSON.stringify(sound);
		await client.list('t');
		body = JSON.stringify({
			...sound, rows: [{
				table: 't', part: '', key: 'a', ver: 5, tombstone: true,
			}],
		});
		const changed = await client.changes('t', {era: 1, version: 4}, 10);
		expect(changed.unwrapOr(undefined)?.rows).to.deep.equal([{key: 'a', text: undefined, version: 5}]);
	});

	// Guards against a response of the store, or a row in it, that ends the process: the error was thrown in a promise that nothing awaits.
	it('of any shape are a failed call or yield usable rows', async () => {
		const at = {era: 1, version: 4};
		await fc.assert(fc.asyncProperty(foreignText(sound), fc.constantFrom(200, 200, 200, 410, 412, 204, 500), async (text, responseStatus) => {
			body = text;
			status = responseStatus;
			const [listed, changed, written] = await Promise.all([client.list('t'), client.changes('t', at, 10), client.write('t', 'a', 'x', at), LeaderRow.create(client).read()]);
			for (const listing of [listed.unwrapOr(undefined as never), changed.unwrapOr(undefined as never)]) {
				for (const row of listing?.rows ?? []) {
					expect(typeof row.key).to.equal('string');
					expect(Number.isSafeInteger(row.version)).to.equal(true);
					expect(typeof row.text).to.be.oneOf(['string', 'undefined']);
				}

				expect(listing === undefined || Number.isSafeInteger(listing.at.version)).to.equal(true);
			}

			expect(written.isErr || written.value === undefined || Number.isSafeInteger(written.value.version)).to.equal(true);
		}), {numRuns: 400});
	}).timeout(60_000);

	it('keep the sound rows beside an odd one', async () => {
		for (const row of [null, 7, [], {}, {key: 7, ver: 1}, {key: 'x'}, {key: 'x', ver: '1'}, {key: 'x', ver: 1.5}]) {
			body = JSON.stringify({...sound, rows: [sound.rows[0], row, sound.rows[1]]});
			expect(await listKeys(), JSON.stringify(row)).to.deep.equal(['a', 'b']); // eslint-disable-line no-await-in-loop -- one response after the other
		}

		body = JSON.stringify({...sound, rows: [sound.rows[0], {key: 'x', value: 7, ver: 1}]});
		const listed = await client.list('t');
		expect(listed.unwrapOr(undefined as never).rows[1]).to.deep.equal({key: 'x', text: '', version: 1});
	});

	it('without the fields of a listing are failed calls', async () => {
		for (const change of [{rows: 7}, {rows: {}}, {rows: null}, {rows: undefined}, {ver: '5'}, {ver: undefined}, {ver: -1}, {hasMore: 'no'}]) {
			body = JSON.stringify({...sound, ...change});
			expect(await listKeys(), body).to.equal(undefined); // eslint-disable-line no-await-in-loop -- one response after the other
		}
	});

	// Guards against a list that never ends, since the next page begins where the last one did.
	it('that say that there is more, without a row to go on from, are failed calls', async () => {
		for (const rows of [[], [null], sound.rows]) {
			body = JSON.stringify({...sound, rows, hasMore: true});
			expect(await listKeys(), JSON.stringify(rows)).to.equal(undefined); // eslint-disable-line no-await-in-loop -- one response after the other
		}
	});
});
