/**
 * Measures the decision time of the scheduler in real time, while its virtual clock advances at a realistic rate.
 */
import {Invariants} from '../../src/base/invariant.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {PolicyScheduler} from '../../src/policy/policy-scheduler.js';
import {type Work, WorkOutcome} from '../../src/policy/scheduler.js';
import {
	ArrivalSource, MODEL_POOL, regions, workloads,
} from './workload.js';

const WARM_UP_DECISIONS = 5000;
const DECISION_COUNT = 20_000;
const SLOTS = 6;
const DEADLINE_MS = 8000;
/** Time between the ends of two requests at an upstream. */
const SLOT_INTERVAL_MS = 200;

/**
 * @param upstreamCount - Number of upstreams of the pool; all are busy, so that each decision follows a released slot.
 * @returns Mean time of a decision, in us: a submission, the end of a request and the start that follows.
 */
export function measureDecisionTime(upstreamCount: number): number {
	const random = Random.create(1);
	const source = ArrivalSource.create(workloads.skimmers!, random);
	const running: string[] = [];
	const clock = VirtualClock.create();
	const scheduler = PolicyScheduler.create({
		clock,
		random,
		invariants: Invariants.create({throwOnViolation: true}),
		nodeId: 'node',
		region: regions[0],
		events: {
			start(work) {
				running.push(work.id);
			},
			refuse() {
				// Refusals are not measured.
			},
		},
	});
	scheduler.setUpstreams(Array.from({length: upstreamCount}, (_, index) => ({
		id: `bench/engine-${index}`,
		pool: MODEL_POOL,
		region: regions[index % 3]!,
		dataCentre: regions[index % 3]!,
		models: undefined,
		maxConcurrency: SLOTS,
		isLeaving: false,
	})));
	const works = Array.from({length: WARM_UP_DECISIONS + DECISION_COUNT + (upstreamCount * SLOTS)}, () => {
		const {work} = source.next(0);
		return {
			...work, pool: MODEL_POOL, tier: 2,
		};
	});
	const submit = (work: Work) => {
		scheduler.submit({...work, deadlineAt: clock.now() + DEADLINE_MS});
	};

	for (const work of works.splice(0, upstreamCount * SLOTS)) {
		submit(work);
	}

	const runDecisions = (count: number) => {
		for (const work of works.splice(0, count)) {
			clock.advance(SLOT_INTERVAL_MS / upstreamCount);
			submit(work);
			scheduler.noteFinished(running.splice(random.integer(0, running.length - 1), 1)[0]!, WorkOutcome.Done);
		}
	};

	runDecisions(WARM_UP_DECISIONS);
	const start = performance.now();
	runDecisions(DECISION_COUNT);
	return (performance.now() - start) * 1000 / DECISION_COUNT;
}
