/**
 * What a pool knows of the pace and the memory of its upstreams, for metrics.
 */
import {type Pool} from './pool.js';

/** The state of one pool. */
export type PoolStatistics = {
	readonly pool: string;
	/** Mean momentary factor of the upstreams that state their pace; `undefined` if none does. */
	readonly momentaryPace: number | undefined;
	/** Mean age of these upstreams' latest statements, in ms. */
	readonly paceAgeMs: number | undefined;
	/** Fraction of the stated memory that is charged at the fullest upstream; 0 if no memory is accounted for. */
	readonly memoryFillRatio: number;
};

export function collectStatistics(pool: Pool, now: number): PoolStatistics {
	let count = 0;
	let sumMoments = 0;
	let sumAgesMs = 0;
	let memoryFillRatio = 0;
	for (const target of pool.upstreams.values()) {
		memoryFillRatio = Math.max(memoryFillRatio, pool.memory.fillRatio(target));
		if (target.pace.statedAt !== undefined) {
			count += 1;
			sumMoments += target.pace.momentAt(now);
			sumAgesMs += now - target.pace.statedAt;
		}
	}

	return {
		pool: pool.name,
		momentaryPace: count === 0 ? undefined : sumMoments / count,
		paceAgeMs: count === 0 ? undefined : sumAgesMs / count,
		memoryFillRatio,
	};
}
