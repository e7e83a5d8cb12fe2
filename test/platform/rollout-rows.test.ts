import {expect} from 'chai';
import {LEADER_KEY, LEADER_TABLE} from '../../platform/leader-row.js';
import {RolloutRows} from '../../platform/rollout-rows.js';
import {StoreClient} from '../../platform/store-client.js';
import {SystemClock} from '../../src/base/clock.js';
import {Log} from '../../src/base/log.js';
import {RolloutPhase} from '../../src/rollout/rollout-course.js';
import {type RowVersions} from '../../src/rollout/rollout-register.js';
import {type StoredRollout} from '../../src/rollout/rollout-record.js';
import {PlatformStore, StoreMode} from '../../standins/platform-store.js';

const KEY = 'rollout/desk';
const stored: StoredRollout = {
	pool: 'desk', orderedAt: {era: 1, version: 2}, to: 'v2', periodMs: 12_000, phase: RolloutPhase.Canary, reason: '', base: ['v1'], rejected: [], ageMs: 10, snapshot: {
		phase: RolloutPhase.Canary, reason: '', ageMs: 10, switchedMs: 0, tests: {'failures all': {candidate: [3, 1], base: [4, 0]}},
	},
};

describe('rows of roll-outs', () => {
	let store: PlatformStore;
	let client: StoreClient;
	let rows: RolloutRows;

	beforeEach(async () => {
		const log = Log.create('silent');
		store = await PlatformStore.start();
		client = StoreClient.create(SystemClock.create(), log, store.address);
		rows = RolloutRows.create(client, log);
		store.put(LEADER_TABLE, LEADER_KEY, {});
	});

	afterEach(() => {
		client.close();
		store.close();
	});

	async function readRows() {
		const read = await rows.read('desk');
		return read.unwrapOrElse(() => {
			throw new Error('not read');
		});
	}

	/** @returns The versions after the write; `undefined` if a condition failed. */
	async function write(rollout: StoredRollout, at: RowVersions, version: number): Promise<RowVersions | undefined> {
		const written = await rows.write(rollout, at, {era: 1, version});
		return written.unwrapOr(undefined);
	}

	// Guards against a leader that was replaced, or another writer of the status, whose verdict would be overwritten.
	it('are written only under the leader\'s term and on the versions that were read', async () => {
		const {at, leader} = await readRows();
		const next = await write(stored, at, leader);
		expect(store.get('status', KEY)).to.deep.equal({state: 'running', to: 'v2'});
		const read = await readRows();
		expect(read.stored).to.deep.equal(stored);
		expect(await write(stored, at, leader)).to.equal(undefined);
		store.put('status', KEY, {state: 'other'});
		expect(await write(stored, next!, leader)).to.equal(undefined);
		store.put(LEADER_TABLE, LEADER_KEY, {});
		const later = await readRows();
		expect(await write({...stored, phase: RolloutPhase.Completed}, later.at, leader)).to.equal(undefined);
		expect(store.get('status', KEY)).to.deep.equal({state: 'other'});
	});

	// Guards against a change of the status row with each checkpoint, which operators would have to read.
	it('leave the status row alone while the state stays the same', async () => {
		const {at, leader} = await readRows();
		const first = await write(stored, at, leader);
		const second = await write({...stored, phase: RolloutPhase.Switching}, first!, leader);
		expect(second!.status).to.equal(first!.status);
		const third = await write({...stored, phase: RolloutPhase.RolledBack}, second!, leader);
		expect(third!.status).to.be.above(second!.status);
		expect(store.get('status', KEY)).to.deep.equal({state: 'rolled_back', to: 'v2'});
	});

	// Guards against a write whose response was lost: it must be found when the rows are read again.
	it('show a write that took effect without a response', async () => {
		const {at, leader} = await readRows();
		store.mode = StoreMode.LosesAnswers;
		const written = await rows.write(stored, at, {era: 1, version: leader});
		expect(written.isErr).to.equal(true);
		store.mode = StoreMode.Healthy;
		const read = await readRows();
		expect(read.stored?.phase).to.equal(RolloutPhase.Canary);
	});

	// Guards against orders of other writers that end the process, start a roll-out, or give it no period.
	it('decode orders, and leave out what is none', () => {
		const decode = (key: string, text: string | undefined) => rows.decodeOrders({rows: [{key, text, version: 4}], at: {era: 1, version: 5}})
			.map(({to, periodMs}) => `${to} ${periodMs}`);
		const order = {service: 'desk', to: 'v2', periodS: 8};
		expect(decode(KEY, JSON.stringify(order))).to.deep.equal(['v2 8000']);
		for (const periodS of [undefined, 0, -3, 1e9, 'soon', null]) {
			expect(decode(KEY, JSON.stringify({...order, periodS})), String(periodS)).to.deep.equal(['v2 12000']);
		}

		for (const [key, text] of [
			[KEY, '{'],
			[KEY, 'null'],
			[KEY, ''],
			[KEY, undefined],
			[KEY, JSON.stringify({...order, service: 'other'})],
			[KEY, JSON.stringify({...order, to: ''})],
			[KEY, JSON.stringify({...order, to: 7})],
			['config', JSON.stringify(order)],
			['rollout/', JSON.stringify({...order, service: ''})],
		] as const) {
			expect(decode(key, text), text).to.deep.equal([]);
		}
	});
});
