/**
 * The tests of one set of requests: for failures and for slow answers.
 */
import {BaseRate} from './base-rate.js';
import {SequentialTest, type SequentialTestOptions} from './sequential-test.js';
import {SLOW_SHARE} from './slowness-scale.js';

/** Lowest assumed share of failures. */
const MIN_FAILURE_SHARE = 0.02;
/** Error rates: at about ten tests in a roll-out, false roll-backs stay below 1% (docs/design/rollouts.md). */
const FAILURE_TEST: SequentialTestOptions = {
	alpha: 0.0001, beta: 0.01, excess: 0.5, condemningUpstreams: 4, acceptingUpstreams: 2, opposingUpstreams: 3, isByUpstream: false,
};
const SLOWNESS_TEST: SequentialTestOptions = {...FAILURE_TEST, excess: 0.7};
/** Upstreams without any answer of usual length that condemn; with one slow upstream in three, 0.14% of good versions. */
export const LENGTH_UPSTREAMS = 6;
const LENGTH_TEST: SequentialTestOptions = {
	...FAILURE_TEST, excess: 0.9, isByUpstream: true, condemningUpstreams: LENGTH_UPSTREAMS,
};
/** Lowest assumed share of long answers. */
const MIN_LONG_SHARE = 0.1;
/** A test and the base version's share for it. */
export type Comparison = {readonly name: string; readonly test: SequentialTest; readonly base: BaseRate};

/** The tests of one set of requests. */
export class Stratum {
	static create(name: string, parent?: Stratum, route = ''): Stratum {
		return new Stratum(name, parent, route);
	}

	/** Route of its requests; empty if they are of all routes. */
	readonly route: string;
	readonly failures: Comparison;
	readonly slowness: Comparison;

	private constructor(name: string, parent: Stratum | undefined, route: string) {
		this.route = route;
		this.failures = {
			name: `failures ${name}`, test: SequentialTest.create(FAILURE_TEST), base: BaseRate.create(MIN_FAILURE_SHARE, parent?.failures.base),
		};
		this.slowness = {
			name: `slowness ${name}`, test: SequentialTest.create(SLOWNESS_TEST), base: BaseRate.create(SLOW_SHARE, parent?.slowness.base),
		};
	}

	get comparisons(): readonly Comparison[] {
		return [this.failures, this.slowness];
	}
}

/** @returns The test of whether no candidate upstream is as fast as usual; separate, as a slow upstream's answers are all long. */
export function createLengthComparison(): Comparison {
	return {name: 'length all', test: SequentialTest.create(LENGTH_TEST), base: BaseRate.create(MIN_LONG_SHARE)};
}
