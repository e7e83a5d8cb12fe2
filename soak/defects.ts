/**
 * One injected defect for each promise, to verify that a simulated run detects a violation of that promise.
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
import {type SchedulerContext, type Defect} from './deployment-simulation.js';

/** A table that drops the conditions of all writes whose key starts with a prefix. */
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

/** Passes transformed work and upstream views to the inner scheduler. */
class TransformingScheduler extends Scheduler {
	readonly #inner: Scheduler;
	readonly #transformWork: (work: Work) => Work;
	readonly #transformView: (view: UpstreamView) => UpstreamView;

	constructor(inner: Scheduler, transformWork: (work: Work) => Work, transformView: (view: UpstreamView) => UpstreamView) {
		super();
		this.#inner = inner;
		this.#transformWork = transformWork;
		this.#transformView = transformView;
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
		this.#inner.submit(this.#transformWork(work));
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
		this.#inner.setUpstreams(upstreams.map(view => this.#transformView(view)));
	}
}

function createPolicyScheduler({clock, invariants, nodeId, region}: SchedulerContext, events: SchedulerEvents): Scheduler {
	const options: PolicySchedulerOptions = {
		clock, invariants, nodeId, region, events, random: Random.create(1),
	};
	return PolicyScheduler.create(options);
}

const LOWEST_TIER = 2;

/** A defect and the promise that it violates. */
export type InjectedDefect = {
	readonly promise: PromiseId;
	readonly name: string;
	readonly defect: Defect;
};

/** One defect for each promise. */
export const defects: readonly InjectedDefect[] = [
	{
		promise: PromiseId.DispatchedOnce,
		name: 'a transport that sends each request twice',
		defect: {
			upstream(upstream) {
				upstream.runsPerRequest = 2;
			},
		},
	},
	{
		promise: PromiseId.TierOrder,
		name: 'a scheduler that inverts the order of the tiers',
		defect: {
			createScheduler: (context, events) => new TransformingScheduler(createPolicyScheduler(context, events), work => ({...work, tier: LOWEST_TIER - work.tier}), view => view),
		},
	},
	{
		promise: PromiseId.WholeAnswer,
		name: 'answers without their last byte',
		defect: {answer: body => body.slice(0, -1)},
	},
	{
		promise: PromiseId.NotRunIsTrue,
		name: 'a transport that reports a refused connection although it sent the request',
		defect: {
			upstream(upstream) {
				upstream.runsRefusedRequests = true;
			},
		},
	},
	{
		promise: PromiseId.BookingOnce,
		name: 'claims that are written without a condition',
		defect: {table: inner => new UnconditionalTable(inner, 'claim/')},
	},
	{
		promise: PromiseId.LeavingUpstream,
		name: 'a scheduler that does not know which upstreams are leaving',
		defect: {
			createScheduler: (context, events) => new TransformingScheduler(createPolicyScheduler(context, events), work => work, view => ({...view, isLeaving: false})),
		},
	},
	{
		promise: PromiseId.GracefulStop,
		name: 'a planned stop that does not wait for requests in flight',
		defect: {skipsDraining: true},
	},
	{
		promise: PromiseId.SettingsInForce,
		name: 'settings heads that are written without a condition',
		defect: {table: inner => new UnconditionalTable(inner, 'config/')},
	},
];
