/**
 * Fault injection: each upstream is slow, down or silently stalled for about a third of the time.
 */
import {type Clock} from '../../src/base/clock.js';
import {type Random} from '../../src/base/random.js';
import {type Measures} from './measures.js';

const MEAN_HEALTHY_MS = 16_000;
const FAULT_MS = 8000;
const SLOW_FACTOR = 3;
/** Fractions of the faults that are crashes and stalls; the others slow the upstream down. */
const CRASH_FRACTION = 0.12;
const STALL_FRACTION = 0.08;

type FaultTarget = {
	readonly spec: {readonly id: string};
	slowFactor: number;
	crash(): void;
	restart(): void;
	setPaused(isPaused: boolean): void;
};

/** Injects faults for as long as the clock is advanced. */
export function injectFaults(upstream: FaultTarget, clock: Clock, random: Random, measures: Measures): void {
	const healthyMs = (MEAN_HEALTHY_MS / 2) + random.exponential(MEAN_HEALTHY_MS / 2);
	clock.setTimer(healthyMs, () => {
		const endFault = startFault(upstream, clock, random, measures);
		clock.setTimer(FAULT_MS, () => {
			endFault();
			injectFaults(upstream, clock, random, measures);
		});
	});
}

function startFault(upstream: FaultTarget, clock: Clock, random: Random, measures: Measures): () => void {
	const fraction = random.next();
	if (fraction < CRASH_FRACTION) {
		upstream.crash();
		return () => {
			upstream.restart();
		};
	}

	if (fraction < CRASH_FRACTION + STALL_FRACTION) {
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
