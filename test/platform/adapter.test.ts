import {type IncomingMessage} from 'node:http';
import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';
import {Log} from '../../src/base/log.js';
import {type CallHead} from '../../src/gateway/call-codec.js';
import {Operation} from '../../src/gateway/routing-table.js';
import {type LeaderRecord} from '../../src/link/leader-register.js';
import {isLater, type StoreVersion} from '../../src/link/store-version.js';
import {HeaderCodec} from '../../platform/header-codec.js';
import {LeaderRow} from '../../platform/leader-row.js';
import {decodeManifest} from '../../platform/manifest.js';
import {decodeServerEntry} from '../../platform/server-entry.js';
import {StoreClient} from '../../platform/store-client.js';
import {type StoreRow} from '../../platform/store-response.js';
import {StoreWatch} from '../../platform/store-watch.js';
import {PlatformStore, StoreMode} from '../../standins/platform-store.js';
import {eventually} from '../support/eventually.js';

const route = {
	name: 'r1', host: 'h', prefix: '/a/', kind: 'streaming', timeoutMs: 6000, targetLatencyMs: 600, priority: 1, service: 's1', maxAttempts: 2, public: false, sticky: true, resumable: true, gapTargetMs: 250,
};
const manifest = {
	version: 7,
	routes: [route, {
		...route, name: 'r2', service: undefined, split: [{service: 's1', weight: 90}, {service: 's2', weight: 10}], kind: 'non_idempotent',
	}],
	services: [{name: 's1', maxConns: 10, engine: {slots: 5, stride: 3, unknown: true}}, {name: 's2', maxConns: 5}],
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4,
	},
	tenants: [{
		name: 't', apiKeys: ['k'], priority: 1, unit: 'tokens', plainTokens: 200, ratePerS: 100, burst: 50,
	}, {
		name: 'free', apiKeys: [], ratePerS: 0, burst: 0,
	}],
	unknown: {},
};

describe('platform adapter', () => {
	it('decodes a manifest and rejects an invalid one', () => {
		const {routes, pools, customers} = decodeManifest(JSON.stringify(manifest)).unwrapOr(undefined as never);
		expect(routes[0]).to.include({
			operation: Operation.Stream, objectiveMs: 600, rank: 1, isResumable: true, maxPauseMs: 250,
		});
		expect(routes[1]).to.include({operation: Operation.Unsafe});
		expect(routes[1]!.targets).to.deep.equal([{pool: 's1', weight: 90}, {pool: 's2', weight: 10}]);
		expect(pools[0]).to.deep.equal({
			name: 's1', slots: 5, maxConnections: 10, isEngine: true, tokensPerEvent: 3,
		});
		expect(customers[0]!.quota).to.deep.equal({
			perSecond: 100, burst: 50, isInTokens: true, plainTokens: 200,
		});
		expect(customers[1]!.quota).to.equal(undefined);
		expect(decodeManifest('{').isErr).to.equal(true);
		expect(decodeManifest(JSON.stringify({...manifest, routes: [{...route, timeoutMs: 'x'}]})).isErr).to.equal(true);
	});

	it('accepts only complete server entries', () => {
		const entry = {
			service: 's', address: '10.0.0.1:80', zone: 'z', slots: 4, state: 'ready', born: 9, sequence: 1, coldLeftMs: 0,
		};
		const decode = (value: unknown) => decodeServerEntry('i-1', JSON.stringify(value), {z: 'region'}).unwrapOr(undefined as never);
		expect(decode(entry)).to.deep.equal({
			id: 'i-1', pool: 's', address: '10.0.0.1:80', dataCentre: 'z', region: 'region', slots: 4, isLeaving: false, startedAt: 9,
		});
		expect(decode({...entry, state: 'draining'}).isLeaving).to.equal(true);
		for (const invalidEntry of [{...entry, state: 'other'}, {...entry, slots: '4'}, {...entry, address: 'x'}, {...entry, service: undefined}, [], 7]) {
			expect(decode(invalidEntry)).to.equal(undefined);
		}

		expect(decodeServerEntry('i-1', '\u0000', {}).isErr).to.equal(true);
	});

	it('forwards only the headers that callers may set', () => {
		const codec = HeaderCodec.create();
		const rawHeaders = [
			'Host',
			'h',
			'X-Request-Id',
			'id-1',
			'X-Model',
			'm',
			'X-Token-Count',
			'100,20',
			'X-Length-Hint',
			'7',
			'X-Deadline-Ms',
			'5000',
			'Authorization',
			'Bearer key',
			'X-Tenant',
			'forged',
			'X-Hold',
			'h1',
			'X-Pin-Ms',
			'9',
			'X-Kv-Backup',
			'1.1.1.1:1',
			'Kv-From',
			'x',
			'Kv-Fetch',
			'x',
			'Connection',
			'close, X-Private',
			'X-Private',
			'1',
			'Content-Length',
			'4',
		];
		const headers: Record<string, string> = {};
		for (let index = 0; index < rawHeaders.length; index += 2) {
			headers[rawHeaders[index]!.toLowerCase()] = rawHeaders[index + 1]!;
		}

		const req = {url: '/', headers, rawHeaders} as unknown as IncomingMessage;
		const head = codec.decode(req)!;
		expect(head).to.deep.include({id: 'id-1', apiKey: 'key', patienceMs: 5000});
		expect(head.generation).to.deep.equal({promptTokens: 100, maxOutputTokens: 20, expectedOutputTokens: 7});
		const sent = codec.encode(req, {
			upstreamId: 'i-1', customer: 'real', remainingMs: 1234.5, bodyBytes: 4, lastEventId: undefined,
		});
		expect(sent).to.deep.equal([
			'Host',
			'h',
			'X-Request-Id',
			'id-1',
			'X-Model',
			'm',
			'X-Token-Count',
			'100,20',
			'X-Length-Hint',
			'7',
			'X-Deadline-Ms',
			'1234',
			'X-Expect-Instance',
			'i-1',
			'X-Tenant',
			'real',
			'Content-Length',
			'4',
			'Connection',
			'close',
		]);
	});

	it('regards a response as signed by the upstream only with its seal and the request\'s ID', () => {
		const codec = HeaderCodec.create();
		const head: CallHead = {
			id: 'id-1', host: 'h', apiKey: undefined, patienceMs: undefined, generation: undefined, promptParts: [], lastEventId: undefined,
		};
		const decode = (status: number, headers: Record<string, string>) => codec.decodeResponse(status, headers, head);
		expect(decode(200, {'x-request-id': 'id-1', 'x-server-seal': 's', 'x-server-load': '3,1,8'})).to.deep.equal({
			isForRequest: true, isSigned: true, isNotRun: false, isOtherUpstream: false, isAltered: false, isLeaving: false, retryAfter: undefined, limit: undefined, load: {running: 3, waiting: 1},
		});
		expect(decode(200, {'x-request-id': 'id-2', 'x-server-seal': 's'})).to.include({isForRequest: false, isSigned: false});
		expect(decode(200, {'x-request-id': 'id-1'})).to.include({isSigned: false});
		expect(decode(503, {'x-request-id': 'id-1', 'x-not-run': '1'})).to.include({isNotRun: true});
		expect(decode(421, {'x-request-id': 'id-1'})).to.include({isOtherUpstream: true});
		expect(decode(200, {'content-encoding': 'gzip'})).to.include({isAltered: true});
	});

	it('decodes whether the upstream itself is leaving, and Retry-After only from a refusal', () => {
		const codec = HeaderCodec.create();
		const head: CallHead = {
			id: 'id-1', host: 'h', apiKey: undefined, patienceMs: undefined, generation: undefined, promptParts: [], lastEventId: undefined,
		};
		const decode = (status: number, headers: Record<string, string>) => codec.decodeResponse(status, {'x-request-id': 'id-1', ...headers}, head);
		expect(decode(200, {'server-leaving': '1'})).to.include({isLeaving: true});
		expect(decode(200, {'server-leaving': '0'})).to.include({isLeaving: false});
		expect(decode(200, {'server-leaving': '1, 1'})).to.include({isLeaving: true});
		expect(decode(200, {'server-leaving': '0,1'})).to.include({isLeaving: true});
		expect(decode(200, {'server-leaving': '0, 10'})).to.include({isLeaving: false});
		expect(decode(421, {'server-leaving': '1'})).to.include({isLeaving: false});
		expect(decode(503, {'retry-after': '1.25'}).retryAfter).to.deep.equal({text: '1.25', ms: 1250});
		expect(decode(503, {'retry-after': 'soon'}).retryAfter).to.deep.equal({text: 'soon', ms: undefined});
		expect(decode(503, {}).retryAfter).to.equal(undefined);
		expect(decode(200, {'retry-after': '1'}).retryAfter).to.equal(undefined);
	});

	// Guards against a word of a server that is believed although it belongs to another request, or to none.
	it('believes nothing that a response says unless it carries the ID of the request', () => {
		const codec = HeaderCodec.create();
		const head: CallHead = {
			id: 'id-1', host: 'h', apiKey: undefined, patienceMs: undefined, generation: undefined, promptParts: [], lastEventId: undefined,
		};
		const words = {
			'x-not-run': '1', 'x-server-seal': 's', 'retry-after': '2', 'server-leaving': '1', 'server-limit': '1', 'x-server-load': '3,1,8',
		};
		for (const id of [{}, {'x-request-id': 'id-2'}, {'x-request-id': ''}, {'x-request-id': 'id-1, id-1'}]) {
			for (const status of [200, 400, 408, 421, 429, 503]) {
				expect(codec.decodeResponse(status, {...id, ...words}, head)).to.deep.equal({
					isForRequest: false, isSigned: false, isNotRun: false, isOtherUpstream: false, isAltered: false, isLeaving: false, retryAfter: undefined, limit: undefined, load: undefined,
				});
			}
		}

		expect(codec.decodeResponse(200, {'x-request-id': 'id-1', 'x-not-run': '1'}, head)).to.include({isNotRun: false});
		expect(codec.decodeResponse(503, {'x-request-id': 'id-1', 'x-not-run': '1', 'x-server-seal': 's'}, head)).to.include({isNotRun: false, isSigned: true});
	});

	// Guards against lists of parts that are malformed, repeated or very long, which callers may send.
	it('decodes the shared parts of a prompt, bounded', () => {
		const codec = HeaderCodec.create();
		const decode = (value: string) => codec.decode({url: '/', rawHeaders: [], headers: {'x-request-id': 'r', 'x-prompt-prefix': value}} as unknown as IncomingMessage)!.promptParts;
		expect(decode('5c1e07a2:800,91BD3f06:410,e4402b7d:250')).to.deep.equal(['5c1e07a2', '91bd3f06']);
		expect(decode(' a1:1 , a1:1,a1:2, b2:3,c:1')).to.deep.equal(['a1', 'b2']);
		expect(decode('a1:1')).to.deep.equal([]);
		expect(decode('a1,zz:4,:,b2:x,,c3:5,,')).to.deep.equal(['c3']);
		expect(decode(Array.from({length: 5000}, (_, index) => `${index.toString(16)}:1`).join(','))).to.have.length(64);
		expect(decode(`${'f'.repeat(10_000)}:1,a:1`)).to.deep.equal([]);
	});

	it('decodes the limit of an upstream from each of its responses, and tells unusable values from absent ones', () => {
		const codec = HeaderCodec.create();
		const head: CallHead = {
			id: 'id-1', host: 'h', apiKey: undefined, patienceMs: undefined, generation: undefined, promptParts: [], lastEventId: undefined,
		};
		const decode = (text: string, status = 200) => codec.decodeResponse(status, {'x-request-id': 'id-1', 'server-limit': text}, head).limit;
		const usable: ReadonlyArray<readonly [string, number]> = [
			['1.4', 1.4], ['2', 2], [' .5 ', 0.5], ['5.', 5], ['0', 0], ['0.0', 0], ['2.5e-3', 0.0025], ['1e3', 1000], ['3, 2', 2], ['9'.repeat(400), 1_000_000],
		];
		for (const [text, perSecond] of usable) {
			expect(decode(text), text).to.deep.equal({text, perSecond});
		}

		for (const text of ['', ' ', 'many', '-1', '0x10', 'NaN', 'Infinity', '1.2.3', '2, many', '1 2', '2/s', '+']) {
			expect(decode(text), text).to.deep.equal({text, perSecond: undefined});
		}

		for (const status of [400, 429, 500, 503, 504]) {
			expect(decode('2', status)).to.deep.equal({text: '2', perSecond: 2});
		}

		expect(decode('2', 421)).to.equal(undefined);
		expect(codec.decodeResponse(200, {}, head).limit).to.equal(undefined);
	});

	// Guards against counts of a caller that refund its quota, and against sums that no link can carry or that stay infinite for ever.
	it('decodes numbers in headers only where they are amounts, bounded', () => {
		const codec = HeaderCodec.create();
		const decode = (headers: Record<string, string>) => codec.decode({url: '/', rawHeaders: [], headers: {'x-request-id': 'r', ...headers}} as unknown as IncomingMessage)!;
		const size = (text: string, hint?: string) => decode({'x-token-count': text, ...(hint === undefined ? {} : {'x-length-hint': hint})}).generation;
		const usual = {promptTokens: 100, maxOutputTokens: 20, expectedOutputTokens: undefined};
		expect(size('100,20')).to.deep.equal(usual);
		expect(size('100, 20', '-1')).to.deep.equal(usual);
		expect(size('1e308,1e999', '1e308')).to.deep.equal({promptTokens: 1e9, maxOutputTokens: 1e9, expectedOutputTokens: 1e9});
		for (const text of ['-100,20', '100,-20', '100', '100,', ',20', 'NaN,1', 'many,20', '']) {
			expect(size(text), text).to.equal(undefined);
		}

		expect(decode({'x-deadline-ms': '1e308'}).patienceMs).to.equal(1e9);
		const head = decode({});
		const load = (text: string) => codec.decodeResponse(200, {'x-request-id': 'r', 'x-server-load': text}, head).load;
		expect(load('3,1,8')).to.deep.equal({running: 3, waiting: 1});
		expect(load('1e308,1e308,8')).to.deep.equal({running: 1e9, waiting: 1e9});
		for (const text of ['-3,1,8', '3,-1,8', '3', ',,', 'NaN,NaN', '']) {
			expect(load(text), text).to.equal(undefined);
		}

		for (const [text, pace] of [['250', 2.5], [' 100 ', 1], ['1e-9', 0.01], ['1e9', 100], ['1e999', 100]] as const) {
			expect(load(`3,1,8,${text}`), text).to.deep.equal({running: 3, waiting: 1, pace});
		}

		for (const text of ['', '0', '-0', '-250', 'NaN', 'slow', '2;5']) {
			expect(load(`3,1,8,${text}`), text).to.deep.equal({running: 3, waiting: 1});
		}

		expect(load('3,1,,250,7')).to.deep.equal({running: 3, waiting: 1, pace: 2.5});
	});

	it('encodes Retry-After in fractional seconds', () => {
		expect(HeaderCodec.create().errorResponseHeaders(undefined, 1234)).to.deep.equal({'Retry-After': '1.234'});
	});
});

describe('store client', () => {
	const clock = SystemClock.create();
	let store: PlatformStore;
	let client: StoreClient;

	beforeEach(async () => {
		store = await PlatformStore.start();
		client = StoreClient.create(clock, Log.create('silent'), store.address);
	});

	afterEach(() => {
		client.close();
		store.close();
	});

	it('claims the leader row only if it has not changed', async () => {
		const register = LeaderRow.create(client);
		const candidate = {
			name: 'a', linkAddress: '10.0.0.1:1', boot: 'b1', vmCount: 3,
		};
		const none: LeaderRecord = {at: {era: 1, version: 0}, leader: undefined};
		const empty = await register.read();
		expect(empty.unwrapOr('failed' as never)).to.deep.equal(none);
		const claim = async (boot: string, at: StoreVersion) => {
			const claimed = await register.claim({...candidate, boot}, at);
			return claimed.unwrapOr(undefined as never);
		};

		const first = await claim('b1', none.at);
		expect(first.leader).to.deep.include({...candidate});
		const second = await claim('b2', none.at);
		expect(second).to.deep.equal(first);
		const third = await claim('b3', first.at);
		expect(third.leader?.boot).to.equal('b3');
		expect(isLater(third.leader!.term, first.leader!.term)).to.equal(true);
	});

	it('finds its own claim when the response to the write was lost', async () => {
		const register = LeaderRow.create(client);
		const empty = await register.read();
		const {at} = empty.unwrapOr(undefined as never);
		store.mode = StoreMode.LosesAnswers;
		const claimed = await register.claim({
			name: 'a', linkAddress: '10.0.0.1:1', boot: 'b1', vmCount: 1,
		}, at);
		expect(claimed.unwrapOr(undefined as never).leader?.boot).to.equal('b1');
	});

	it('distinguishes a busy or unresponsive store from an empty one', async () => {
		store.mode = StoreMode.Busy;
		const failed = await client.list('op');
		expect(failed.isErr).to.equal(true);
		store.mode = StoreMode.Silent;
		const silent = await client.list('op');
		expect(silent.isErr).to.equal(true);
	});

	it('watches a table through changes, deletions, an outage and a compaction of the change history', async () => {
		const rows = new Map<string, string | undefined>();
		const reachabilityChanges: boolean[] = [];
		let listCount = 0;
		const applyRows = (changed: readonly StoreRow[]) => {
			for (const {key, text} of changed) {
				rows.set(key, text);
			}
		};

		store.put('servers', 'a', 1);
		const watch = StoreWatch.create(clock, Log.create('silent'), client, {table: 'servers', waitMs: () => 200, batchDelayMs: 0}, {
			onList({rows: listed}) {
				listCount += 1;
				rows.clear();
				applyRows(listed);
			},
			onChanges({rows: changed}) {
				applyRows(changed);
			},
			onReachabilityChange(isReachable) {
				reachabilityChanges.push(isReachable);
			},
		});
		watch.setEnabled(true);
		await eventually(() => rows.get('a') === '1');
		store.put('servers', 'b', 2);
		await eventually(() => rows.get('b') === '2');
		store.delete('servers', 'a');
		await eventually(() => rows.has('a') && rows.get('a') === undefined);
		store.mode = StoreMode.Busy;
		await eventually(() => reachabilityChanges.at(-1) === false);
		store.put('servers', 'c', 3);
		store.mode = StoreMode.Healthy;
		await eventually(() => rows.get('c') === '3' && reachabilityChanges.at(-1) === true);
		expect(listCount).to.equal(1);
		store.mode = StoreMode.Busy;
		await eventually(() => reachabilityChanges.at(-1) === false);
		store.put('servers', 'd', 4);
		store.compact();
		store.mode = StoreMode.Healthy;
		await eventually(() => rows.get('d') === '4');
		expect(listCount).to.equal(2);
		watch.setEnabled(false);
	});
});
