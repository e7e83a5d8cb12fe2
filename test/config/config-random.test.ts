/* eslint-disable no-await-in-loop -- The steps of a run follow each other in virtual time. */
import {expect} from 'chai';
import {type Result} from 'true-myth/result';
import {AppliedVersions} from '../../src/config/applied-versions.js';
import {headKey} from '../../src/config/rows.js';
import {
	type Row, type StoreError, StoreFailure, Table, type Write, type WriteOutcome,
} from '../../src/store/table.js';
import {randomRun} from './random-run.js';

const SEEDS = 25;

class ApplyAnyVersion extends AppliedVersions {
	static override create(...arguments_: Parameters<typeof AppliedVersions.create>): ApplyAnyVersion {
		return new ApplyAnyVersion(...arguments_);
	}

	override isNewer(): boolean {
		return true;
	}
}

class DefectiveTable extends Table {
	constructor(private readonly inner: Table, private readonly defects: {
		write?: (write: Write) => Write;
		hidesRows?: boolean;
		answer?: (answer: Result<WriteOutcome, StoreError>) => Result<WriteOutcome, StoreError>;
	}) {
		super();
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		return this.inner.get(key);
	}

	async list(prefix: string, limit: number): Promise<Result<readonly Row[], StoreError>> {
		const rows = await this.inner.list(prefix, limit);
		return this.defects.hidesRows ? rows.map(() => []) : rows;
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		const answer = await this.inner.transact(writes.map(write => this.defects.write?.(write) ?? write));
		return this.defects.answer?.(answer) ?? answer;
	}
}

describe('settings tree under faults', () => {
	it(`violates no invariant in ${SEEDS} randomised runs`, async () => {
		let accepted = 0;
		for (let seed = 1; seed <= SEEDS; seed++) {
			const run = await randomRun(seed);
			expect(run.problems, `seed ${seed}`).to.deep.equal([]);
			accepted += run.accepted;
		}

		// Ensures that the injected faults do not prevent most changes from being accepted.
		expect(accepted).to.be.greaterThan(20 * SEEDS);
	});

	it('is deterministic for a given seed', async () => {
		expect(await randomRun(7)).to.deep.equal(await randomRun(7));
	});

	it('detects a node that applies any version', async () => {
		const {problems} = await randomRun(1, {applied: invariants => ApplyAnyVersion.create(invariants)});
		expect(problems.join('\n')).to.match(/P8 was violated/v);
	});

	it('detects a head that is written without a condition', async () => {
		const {problems} = await randomRun(1, {
			table: inner => new DefectiveTable(inner, {
				write: write => write.key.startsWith(headKey('')) || write.key.startsWith('config/version/') ? {...write, condition: {kind: 'any'}} : write,
			}),
		});
		expect(problems.join('\n')).to.match(/has two winners/v);
	});

	it('detects a lost response that is treated as a failure', async () => {
		const {problems} = await randomRun(1, {
			table: inner => new DefectiveTable(inner, {
				answer: answer => answer.mapErr(err => ({...err, failure: StoreFailure.Unavailable})),
			}),
		});
		expect(problems.join('\n')).to.match(/was answered version-conflict; the history has it/v);
	});

	it('detects a change that is accepted while a region is cut off', async () => {
		const runs = await Promise.all([1, 2, 3].map(async seed => randomRun(seed, {alwaysForce: true})));
		expect(runs.flatMap(run => run.problems).join('\n')).to.match(/was accepted at .* was cut off/v);
	});

	it('detects nodes that rely on pushes alone', async () => {
		const runs = await Promise.all([1, 2, 3].map(async seed => randomRun(seed, {table: inner => new DefectiveTable(inner, {hidesRows: true})})));
		expect(runs.flatMap(run => run.problems).join('\n')).to.match(/was accepted over 5 s ago/v);
	});
});
