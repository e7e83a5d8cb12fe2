/**
 * Faults of upstreams: each is slow, dead or silently stalled for about a third of the time.
 */
import {type Clock} from '../../src/base/clock.js';
import {type Random} from '../../src/base/random.js';
import {type Measures} from './measures.js';

const HEALTHY_MEAN_MS = 16_000;
const FAULT_MS = 8000;
const SLOW_FACTOR = 3;
/** Parts of the faults; the rest slows the upstream down. */
const DEAD_PART = 0.12;
const STALL_PART = 0.08;

type Faulty = {
	readonly spec: {readonly id: string};
	slowFactor: number;
	die(): void;
	revive(): void;
	setPaused(isPaused: boolean): void;
};

/** Injects faults until the clock is no longer advanced. */
export function injectFaults(upstream: Faulty, clock: Clock, random: Random, measures: Measures): void {
	const healthyMs = (HEALTHY_MEAN_MS / 2) + random.exponential(HEALTHY_MEAN_MS / 2);
	clock.setTimer(healthyMs, () => {
		const end = startFault(upstream, clock, random, measures);
		clock.setTimer(FAULT_MS, () => {
			end();
			injectFaults(upstream, clock, random, measures);
		});
	});
}

function startFault(upstream: Faulty, clock: Clock, random: Random, measures: Measures): () => void {
	const kind = random.next();
	if (kind < DEAD_PART) {
		upstream.die();
		return () => {
			upstream.revive();
		};
	}

	if (kind < DEAD_PART + STALL_PART) {
		upstream.setPaused(true);
		return () => {
			upstream.setPaused(false);
		};
	}

	upstream.slowFactor = SLOW_FACTOR;
	measures.slowdowns.push({upstreamId: upstream.spec.id, at: clock.now(), endsAt: clock.now() + FAULT_MS});
	return () => {
		upstream.slowFactor = 1;
	};
}
