import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {Unit} from 'true-myth/unit';
import {MemoryObjectStore, MemoryTable, MemoryVmList} from '../../src/store/memory-table.js';
import {type ObjectStore} from '../../src/store/object-store.js';
import {StoreFailure, type Table, WriteOutcome} from '../../src/store/table.js';
import {type VmEntry, type VmList} from '../../src/store/vm-list.js';
import {PlatformStandIn} from '../../standins/platform.js';
import {createAdapters, settled} from './platform-adapters.js';

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

	const subjects: Array<[string, () => Stores]> = [
		['in memory', () => ({table: MemoryTable.create(), objects: MemoryObjectStore.create(), vms: MemoryVmList.create([vm])})],
		['over the platform protocols', () => createAdapters(platform)],
	];
	for (const [name, create] of subjects) {
		it(`${name}: each condition admits and rejects writes, versions restart after a delete`, async () => {
			const {table} = create();
			const put = async (value: string | undefined, condition: Parameters<Table['write']>[0]['condition'], token: string) =>
				settled(table.write({
					key, value, condition, token,
				}));
			expect(await put('a', {kind: 'absent'}, 't1')).to.equal(WriteOutcome.Written);
			expect(await put('b', {kind: 'absent'}, 't2')).to.equal(WriteOutcome.ConditionFailed);
			expect(await put('b', {kind: 'version', version: 1}, 't2')).to.equal(WriteOutcome.Written);
			expect(await put('c', {kind: 'version', version: 1}, 't3')).to.equal(WriteOutcome.ConditionFailed);
			expect(await put('c', {kind: 'token', token: 't1'}, 't3')).to.equal(WriteOutcome.ConditionFailed);
			expect(await settled(table.get(key))).to.deep.equal({
				key, value: 'b', version: 2, token: 't2',
			});
			expect(await put(undefined, {kind: 'token', token: 't2'}, 't4')).to.equal(WriteOutcome.Written);
			expect(await settled(table.get(key))).to.equal(undefined);
			expect(await put('d', {kind: 'version', version: 2}, 't5')).to.equal(WriteOutcome.ConditionFailed);
			expect(await put('d', {kind: 'any'}, 't5')).to.equal(WriteOutcome.Written);
			expect(await settled(table.get(key))).to.include({version: 1});
		});

		it(`${name}: a transaction writes all rows or none, and a list is ordered, bounded and can be read on`, async () => {
			const {table} = create();
			const write = (suffix: string) => ({
				key: `lease/${suffix}`, value: suffix, condition: {kind: 'absent'}, token: suffix,
			} as const);
			expect(await settled(table.transact(['b', 'a', 'e', 'c'].map(suffix => write(suffix))))).to.equal(WriteOutcome.Written);
			expect(await settled(table.transact([write('d'), write('a')]))).to.equal(WriteOutcome.ConditionFailed);
			const values = async (limit: number, after?: string) => {
				const rows = await table.list('lease/', limit, after);
				return rows.unwrapOr([]).map(row => row.value);
			};

			expect(await values(10)).to.deep.equal(['a', 'b', 'c', 'e']);
			expect(await values(3)).to.deep.equal(['a', 'b', 'c']);
			expect(await values(3, 'lease/c')).to.deep.equal(['e']);
			expect(await settled(table.list('lease/x', 5))).to.have.length(0);
		});

		it(`${name}: objects and the VM list are returned as they were stored`, async () => {
			const {objects, vms} = create();
			const bytes = Buffer.from([0, 255, 10, 13]);
			expect(await settled(objects.get('answer/ä b'))).to.equal(undefined);
			expect(await settled(objects.put('answer/ä b', bytes))).to.equal(Unit);
			expect(Buffer.from(await settled(objects.get('answer/ä b')) as Uint8Array)).to.deep.equal(bytes);
			expect(await settled(vms.list())).to.deep.equal([vm]);
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

	it('a refused connection is unavailable; a cut one leaves the outcome of a write unknown', async () => {
		const {table, objects, vms} = createAdapters(platform);
		platform.inject({isDown: true});
		expect(await settled(table.write(write))).to.equal(StoreFailure.OutcomeUnknown);
		expect(await settled(table.get(key))).to.equal(StoreFailure.Unavailable);
		await platform.stop();
		expect(await settled(table.write(write))).to.equal(StoreFailure.Unavailable);
		expect(await settled(table.transact([write]))).to.equal(StoreFailure.Unavailable);
		expect(await settled(objects.get('o'))).to.equal(StoreFailure.Unavailable);
		expect(await settled(vms.list())).to.equal(StoreFailure.Unavailable);
	});

	it('a write whose answer is dropped took effect once, since the adapter does not repeat it', async () => {
		const {table} = createAdapters(platform);
		platform.inject({dropAnswerCount: 1});
		expect(await settled(table.write(write))).to.equal(StoreFailure.OutcomeUnknown);
		expect(await settled(table.get(key))).to.include({version: 1});
		expect(platform.counts.get('UpdateItem')).to.equal(1);
	});

	it('a slow store times out, and the write takes effect afterwards', async () => {
		const {table} = createAdapters(platform, 50);
		platform.inject({slowMs: 150});
		expect(await settled(table.write(write))).to.equal(StoreFailure.OutcomeUnknown);
		platform.clearFaults();
		while (platform.table.size === 0) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(setImmediate);
		}
	});

	it('a delayed write takes effect after its connection was cut, and the control route sets faults', async () => {
		const {table} = createAdapters(platform);
		await fetch(`${platform.url}/control/faults`, {method: 'PUT', body: '{"lateWriteCount":1,"lateWriteMs":30}'});
		expect(await settled(table.write(write))).to.equal(StoreFailure.OutcomeUnknown);
		while (platform.table.size === 0) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(setImmediate);
		}

		expect(await settled(table.get(key))).to.include({token: 't1'});
	});

	it('a malformed VM list is a failure, not an exception', async () => {
		const {vms} = createAdapters(platform);
		for (const text of ['{', '[{"id":"a"}]', 'null']) {
			platform.vms = text;
			// eslint-disable-next-line no-await-in-loop
			expect(await settled(vms.list()), text).to.equal(StoreFailure.Unavailable);
		}
	});
});
