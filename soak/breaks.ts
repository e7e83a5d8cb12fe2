/**
 * One deliberate break of the program for each promise, to show that a run finds it.
 */
import type Result from 'true-myth/result';
import {PromiseId} from '../src/base/invariant.js';
import {Random} from '../src/base/random.js';
import {PolicyScheduler, type PolicySchedulerOptions} from '../src/policy/policy-scheduler.js';
import {
	Scheduler, type SchedulerEvents, type UpstreamView, type Work, type WorkOutcome,
} from '../src/policy/scheduler.js';
import {
	type Row, type StoreError, Table, type Write, type WriteOutcome,
} from '../src/store/table.js';
import {type SchedulerContext, type Break} from './world.js';

/** A table that ignores the conditions of some writes. */
class UnconditionalTable extends Table {
	readonly #inner: Table;
	readonly #prefix: string;

	constructor(inner: Table, prefix: string) {
		super();
		this.#inner = inner;
		this.#prefix = prefix;
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		return this.#inner.get(key);
	}

	async list(prefix: string, limit: number, after?: string): Promise<Result<readonly Row[], StoreError>> {
		return this.#inner.list(prefix, limit, after);
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		return this.#inner.transact(writes.map(write => write.key.startsWith(this.#prefix) ? {...write, condition: {kind: 'any'}} : write));
	}
}

/** A scheduler that is told other things than it should be. */
class MisledScheduler extends Scheduler {
	readonly #inner: Scheduler;
	readonly #work: (work: Work) => Work;
	readonly #view: (view: UpstreamView) => UpstreamView;

	constructor(inner: Scheduler, work: (work: Work) => Work, view: (view: UpstreamView) => UpstreamView) {
		super();
		this.#inner = inner;
		this.#work = work;
		this.#view = view;
	}

	override get demand() {
		return this.#inner.demand;
	}

	get waitingCount(): number {
		return this.#inner.waitingCount;
	}

	override setShare(upstreamId: string, slots: number | undefined, expiredSlots?: number): void {
		this.#inner.setShare(upstreamId, slots, expiredSlots);
	}

	submit(work: Work): void {
		this.#inner.submit(this.#work(work));
	}

	withdraw(workId: string): void {
		this.#inner.withdraw(workId);
	}

	noteCommitted(workId: string): void {
		this.#inner.noteCommitted(workId);
	}

	noteProgress(workId: string, count: number): void {
		this.#inner.noteProgress(workId, count);
	}

	noteFinished(workId: string, outcome: WorkOutcome): void {
		this.#inner.noteFinished(workId, outcome);
	}

	setUpstreams(upstreams: readonly UpstreamView[]): void {
		this.#inner.setUpstreams(upstreams.map(view => this.#view(view)));
	}
}

function createPolicy({clock, invariants, nodeId, region}: SchedulerContext, events: SchedulerEvents): Scheduler {
	const options: PolicySchedulerOptions = {
		clock, invariants, nodeId, region, events, random: Random.create(1),
	};
	return PolicyScheduler.create(options);
}

const LOWEST_TIER = 2;

/** A break with the promise that it breaks. */
export type NamedBreak = {
	readonly promise: PromiseId;
	readonly name: string;
	readonly broken: Break;
};

/** One break for each promise. */
export const breaks: readonly NamedBreak[] = [
	{
		promise: PromiseId.DispatchedOnce,
		name: 'a transport that sends each request twice',
		broken: {
			upstream(upstream) {
				upstream.runsPerRequest = 2;
			},
		},
	},
	{
		promise: PromiseId.TierOrder,
		name: 'a scheduler that takes the lowest tier for the highest',
		broken: {
			createScheduler: (context, events) => new MisledScheduler(createPolicy(context, events), work => ({...work, tier: LOWEST_TIER - work.tier}), view => view),
		},
	},
	{
		promise: PromiseId.WholeAnswer,
		name: 'answers without their last byte',
		broken: {answer: body => body.slice(0, -1)},
	},
	{
		promise: PromiseId.NotRunIsTrue,
		name: 'a transport that reports a refused connection after it sent the request',
		broken: {
			upstream(upstream) {
				upstream.runsBeforeRefusal = true;
			},
		},
	},
	{
		promise: PromiseId.BookingOnce,
		name: 'claims that are written without a condition',
		broken: {table: inner => new UnconditionalTable(inner, 'claim/')},
	},
	{
		promise: PromiseId.LeavingUpstream,
		name: 'a scheduler that does not know which upstreams leave',
		broken: {
			createScheduler: (context, events) => new MisledScheduler(createPolicy(context, events), work => work, view => ({...view, isLeaving: false})),
		},
	},
	{
		promise: PromiseId.GracefulStop,
		name: 'a planned stop that waits for nothing',
		broken: {stopsAtOnce: true},
	},
	{
		promise: PromiseId.SettingsInForce,
		name: 'heads of settings that are written without a condition',
		broken: {table: inner => new UnconditionalTable(inner, 'config/')},
	},
];
