import {type ErrorKind} from '../../src/base/errors.js';
import {Invariants} from '../../src/base/invariant.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {PolicyScheduler, type PolicySchedulerOptions} from '../../src/policy/policy-scheduler.js';
import {type UpstreamView, type Work} from '../../src/policy/scheduler.js';

export const POOL = 'team/pool';

export function makeWork(id: string, given: Partial<Work> = {}): Work {
	return {
		id,
		pool: POOL,
		customer: 'team/customer',
		customerWeight: 1,
		tier: 2,
		model: undefined,
		promptTokens: 100,
		expectedOutputTokens: 10,
		prefix: [],
		arrivedAt: 0,
		deadlineAt: 60_000,
		fingerprint: id,
		excluded: [],
		...given,
	};
}

export function makeView(id: string, given: Partial<UpstreamView> = {}): UpstreamView {
	return {
		id, pool: POOL, region: 'here', dataCentre: 'dc', models: undefined, maxConcurrency: 4, isLeaving: false, ...given,
	};
}

/** Creates a scheduler and records its events. */
export function makeScheduler(given: Partial<PolicySchedulerOptions> = {}) {
	const clock = VirtualClock.create();
	const started: Array<{work: Work; upstreamId: string}> = [];
	const refused: Array<{work: Work; kind: ErrorKind}> = [];
	const pressuredTiers: number[] = [];
	const scheduler = PolicyScheduler.create({
		clock,
		invariants: Invariants.create({throwOnViolation: true}),
		random: Random.create(1),
		nodeId: 'node',
		region: 'here',
		events: {
			start(work, upstreamId) {
				started.push({work, upstreamId});
			},
			refuse(work, kind) {
				refused.push({work, kind});
			},
			notePressure(_pool, tier) {
				pressuredTiers.push(tier);
			},
		},
		...given,
	});
	return {
		clock, scheduler, started, refused, pressuredTiers,
	};
}
