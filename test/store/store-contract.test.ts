import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {Unit} from 'true-myth/unit';
import {MemoryObjectStore, MemoryTable, MemoryVmList} from '../../src/store/memory-table.js';
import {type ObjectStore} from '../../src/store/object-store.js';
import {StoreFailure, type Table, WriteOutcome} from '../../src/store/table.js';
import {type VmEntry, type VmList} from '../../src/store/vm-list.js';
import {PlatformStandIn} from '../../standins/platform.js';
import {createAdapters, valueOrFailure} from './platform-adapters.js';

type Stores = {readonly table: Table; readonly objects: ObjectStore; readonly vms: VmList};

const vm: VmEntry = {
	id: 'vm-1', address: '127.0.0.1:4100', region: 'azraq', dataCentre: 'a', state: 'leaving', role: 'entry',
};
const key = 'claim/ключ / "§"';

describe('store contract', () => {
	let platform: PlatformStandIn;
	beforeEach(async () => {
		platform = await PlatformStandIn.start();
		platform.table.pageRows = 2;
		platform.vms = JSON.stringify([vm]);
	});
	afterEach(async () => platform.stop());

	const implementations: Array<[string, () => Stores]> = [
		['in memory', () => ({table: MemoryTable.create(), objects: MemoryObjectStore.create(), vms: MemoryVmList.create([vm])})],
		['platform adapters', () => createAdapters(platform)],
	];
	for (const [name, createStores] of implementations) {
		it(`${name}: accepts and rejects writes by each condition, and restarts versions after a delete`, async () => {
			const {table} = createStores();
			const put = async (value: string | undefined, condition: Parameters<Table['write']>[0]['condition'], token: string) =>
				valueOrFailure(table.write({
					key, value, condition, token,
				}));
			expect(await put('a', {kind: 'absent'}, 't1')).to.equal(WriteOutcome.Written);
			expect(await put('b', {kind: 'absent'}, 't2')).to.equal(WriteOutcome.ConditionFailed);
			expect(await put('b', {kind: 'version', version: 1}, 't2')).to.equal(WriteOutcome.Written);
			expect(await put('c', {kind: 'version', version: 1}, 't3')).to.equal(WriteOutcome.ConditionFailed);
			expect(await put('c', {kind: 'token', token: 't1'}, 't3')).to.equal(WriteOutcome.ConditionFailed);
			expect(await valueOrFailure(table.get(key))).to.deep.equal({
				key, value: 'b', version: 2, token: 't2',
			});
			expect(await put(undefined, {kind: 'token', token: 't2'}, 't4')).to.equal(WriteOutcome.Written);
			expect(await valueOrFailure(table.get(key))).to.equal(undefined);
			expect(await put('d', {kind: 'version', version: 2}, 't5')).to.equal(WriteOutcome.ConditionFailed);
			expect(await put('d', {kind: 'any'}, 't5')).to.equal(WriteOutcome.Written);
			expect(await valueOrFailure(table.get(key))).to.include({version: 1});
		});

		it(`${name}: writes all rows of a transaction or none, and lists rows in key order with a limit and a start key`, async () => {
			const {table} = createStores();
			const write = (suffix: string) => ({
				key: `lease/${suffix}`, value: suffix, condition: {kind: 'absent'}, token: suffix,
			} as const);
			expect(await valueOrFailure(table.transact(['b', 'a', 'e', 'c'].map(suffix => write(suffix))))).to.equal(WriteOutcome.Written);
			expect(await valueOrFailure(table.transact([write('d'), write('a')]))).to.equal(WriteOutcome.ConditionFailed);
			const values = async (limit: number, after?: string) => {
				const rows = await table.list('lease/', limit, after);
				return rows.unwrapOr([]).map(row => row.value);
			};

			expect(await values(10)).to.deep.equal(['a', 'b', 'c', 'e']);
			expect(await values(3)).to.deep.equal(['a', 'b', 'c']);
			expect(await values(3, 'lease/c')).to.deep.equal(['e']);
			expect(await valueOrFailure(table.list('lease/x', 5))).to.have.length(0);
		});

		it(`${name}: returns objects and the VM list as they were stored`, async () => {
			const {objects, vms} = createStores();
			const bytes = Buffer.from([0, 255, 10, 13]);
			expect(await valueOrFailure(objects.get('answer/ä b'))).to.equal(undefined);
			expect(await valueOrFailure(objects.put('answer/ä b', bytes))).to.equal(Unit);
			expect(Buffer.from(await valueOrFailure(objects.get('answer/ä b')) as Uint8Array)).to.deep.equal(bytes);
			expect(await valueOrFailure(vms.list())).to.deep.equal([vm]);
		});
	}
});

describe('store adapters under faults', () => {
	let platform: PlatformStandIn;
	beforeEach(async () => {
		platform = await PlatformStandIn.start();
	});
	afterEach(async () => platform.stop());

	const write = {
		key, value: 'a', condition: {kind: 'absent'}, token: 't1',
	} as const;

	it('reports unavailable for a refused connection, and an unknown outcome for a write whose connection closes', async () => {
		const {table, objects, vms} = createAdapters(platform);
		platform.inject({isDown: true});
		expect(await valueOrFailure(table.write(write))).to.equal(StoreFailure.OutcomeUnknown);
		expect(await valueOrFailure(table.get(key))).to.equal(StoreFailure.Unavailable);
		await platform.stop();
		expect(await valueOrFailure(table.write(write))).to.equal(StoreFailure.Unavailable);
		expect(await valueOrFailure(table.transact([write]))).to.equal(StoreFailure.Unavailable);
		expect(await valueOrFailure(objects.get('o'))).to.equal(StoreFailure.Unavailable);
		expect(await valueOrFailure(vms.list())).to.equal(StoreFailure.Unavailable);
	});

	it('applies a write once when its response is dropped, because the adapter does not retry', async () => {
		const {table} = createAdapters(platform);
		platform.inject({dropAnswerCount: 1});
		expect(await valueOrFailure(table.write(write))).to.equal(StoreFailure.OutcomeUnknown);
		expect(await valueOrFailure(table.get(key))).to.include({version: 1});
		expect(platform.counts.get('UpdateItem')).to.equal(1);
	});

	it('times out on a slow store, whose write takes effect afterwards', async () => {
		const {table} = createAdapters(platform, 50);
		platform.inject({slowMs: 150});
		expect(await valueOrFailure(table.write(write))).to.equal(StoreFailure.OutcomeUnknown);
		platform.clearFaults();
		while (platform.table.size === 0) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(setImmediate);
		}
	});

	it('sets faults through the control route, and a delayed write takes effect after its connection closes', async () => {
		const {table} = createAdapters(platform);
		await fetch(`${platform.url}/control/faults`, {method: 'PUT', body: '{"lateWriteCount":1,"lateWriteMs":30}'});
		expect(await valueOrFailure(table.write(write))).to.equal(StoreFailure.OutcomeUnknown);
		while (platform.table.size === 0) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(setImmediate);
		}

		expect(await valueOrFailure(table.get(key))).to.include({token: 't1'});
	});

	it('returns a failure for a malformed VM list instead of throwing', async () => {
		const {vms} = createAdapters(platform);
		for (const text of ['{', '[{"id":"a"}]', 'null']) {
			platform.vms = text;
			// eslint-disable-next-line no-await-in-loop
			expect(await valueOrFailure(vms.list()), text).to.equal(StoreFailure.Unavailable);
		}
	});
});
