/**
 * Compares the answers of a candidate version with those of the base version at the same time: over all requests, for
 * each route, and at busy upstreams; each for failures and for slow answers.
 */
import {CanaryRoutes, MAX_ROUTES} from './canary-routes.js';
import {
	createLengthComparison, LENGTH_UPSTREAMS, Stratum, type Comparison,
} from './comparison-stratum.js';
import {type RolloutSample, type TestCounts} from './rollout-sample.js';
import {type TestedAnswer} from './sequential-test.js';
import {SlownessScale} from './slowness-scale.js';

/** Occupancy from which an upstream counts as busy; faults that only show under load have to show there. */
const BUSY_LOAD = 0.75;
/** Share of base answers from busy upstreams from which the candidate has to be seen at busy upstreams too. */
const NEEDED_BUSY_SHARE = 0.22;
/** The same from which the canary makes candidate upstreams busy; lower, so that it has begun when evidence is needed. */
const STEERED_BUSY_SHARE = 0.12;
/** Answers of the base that are needed to condemn; before them, its share of failures is unknown. */
const MIN_BASE_ANSWERS = 15;
/** Answers of the candidate with which it can be condemned although the base does not answer. */
const MIN_LONE_ANSWERS = 30;
/** Granted requests of a route from which it needs full evidence; below, evidence in proportion. */
const FULL_ROUTE_REQUESTS = 48;
/** Part of the full evidence that is needed at busy upstreams; the canary can keep few upstreams busy. */
const BUSY_EVIDENCE = 0.5;
/** Evidence of one test, in parts of what condemns, above which a version is not yet accepted. */
const SUSPICIOUS = 0.5;

/** Part of the full evidence that is needed for the length of answers: some upstream has to be as fast as usual. */
const LENGTH_EVIDENCE = 0.5;
/** Parts of the full evidence that suffice when the time for the canary runs out, over all routes and for one of them. */
const LAST_EVIDENCE = 0.12;
const LAST_ROUTE_EVIDENCE = 0.02;
/**
 * Evidence for the version, in parts of the full one, with which a few bad answers in a row do not stop it at its bound. With
 * one answer in thirty lost, two in a row are common.
 */
const TRUSTED_EVIDENCE = 0.5;
/** Evidence that condemns after the switch, in parts of the full one, if the answers as a whole speak against the version. */
const SWITCHED_EVIDENCE = 0.6;
/** Time for which a verdict is withheld, so that a fault of both versions shows at the base too, in ms. */
const CONFIRMATION_MS = 50;

/** Evidence about one candidate version. */
export class VersionComparison {
	/** @param lateAt - Answers over all routes count as evidence for the version only if they were sent after this time. */
	static create(lateAt: number): VersionComparison {
		return new VersionComparison(lateAt);
	}

	/** Upstreams that the candidate has. */
	candidateUpstreams = Number.POSITIVE_INFINITY;
	/** Whether all requests go to the candidate, so that a late verdict costs more. */
	isSwitched = false;
	readonly routes = CanaryRoutes.create();
	readonly #lateAt: number;
	readonly #all = Stratum.create('all');
	readonly #busy = Stratum.create('busy', this.#all);
	/** Tests of each route. */
	readonly #strata = new Map<string, Stratum>();
	readonly #firsts = SlownessScale.create();
	readonly #pauses = SlownessScale.create();
	/** Whether no candidate upstream is as fast as usual; separate, as a slow upstream's answers are all long. */
	readonly #length: Comparison = createLengthComparison();
	#restored: TestCounts | undefined;
	#suspect: {readonly comparison: Comparison; readonly since: number} | undefined;
	#baseLoad = 0;
	#longestBaseMs = 0;

	private constructor(lateAt: number) {
		this.#lateAt = lateAt;
	}

	/** Failures over all routes, for log lines. */
	get overall(): {readonly candidateAnswers: number; readonly candidateBad: number; readonly baseAnswers: number; readonly baseBad: number} {
		const {test, base} = this.#all.failures;
		return {
			candidateAnswers: test.total,
			candidateBad: test.bad + this.#all.slowness.test.bad,
			baseAnswers: base.total,
			baseBad: base.bad + this.#all.slowness.base.bad,
		};
	}

	/** Mean occupancy of base upstreams when requests were granted, none counted above full. */
	get baseLoad(): number {
		return this.#baseLoad / Math.max(1, this.#all.failures.base.total);
	}

	/** Longest time that a request took at the base version, in ms. */
	get longestBaseMs(): number {
		return this.#longestBaseMs;
	}

	/** Whether an answer suffices to condemn, but a fault of both versions is not excluded yet. */
	get isSuspect(): boolean {
		return this.#suspect !== undefined;
	}

	/** @returns Whether the canary has to make candidate upstreams busy, because base upstreams often are. */
	lacksBusy(now: number): boolean {
		return this.#isBaseBusy(STEERED_BUSY_SHARE) && this.#busy.comparisons.some(comparison => this.#goodness(comparison, now) < BUSY_EVIDENCE);
	}

	/** Determines the routes that lack evidence. */
	updateOpenRoutes(now: number): void {
		const open = [...this.#strata].filter(([, stratum]) =>
			stratum.comparisons.some(comparison => this.#goodness(comparison, now) < this.#neededEvidence(stratum)));
		this.routes.setOpen(open.map(([route]) => route));
	}

	/** @returns Whether the answer counts as slow. */
	note(sample: RolloutSample, now: number): boolean {
		const isSlow = this.#isSlow(sample, now);
		const route = this.#route(sample.route);
		const strata = [this.#all, ...(route ? [route] : []), ...(sample.load >= BUSY_LOAD ? [this.#busy] : [])];
		if (!sample.isCandidate) {
			this.#baseLoad += Math.min(1, sample.load);
			this.#longestBaseMs = Math.max(this.#longestBaseMs, now - sample.sentAt);
			for (const {failures, slowness} of strata) {
				failures.base.note(sample.isFailure, now);
				if (isSlow !== undefined) {
					slowness.base.note(isSlow, now);
				}
			}

			if (isSlow !== undefined && sample.slowness !== undefined) {
				this.#length.base.note(this.#firsts.isLong(sample.slowness, sample.load), now);
			}

			return isSlow ?? false;
		}

		for (const stratum of strata) {
			const mayAccept = stratum !== this.#all || sample.sentAt >= this.#lateAt;
			this.#judge(stratum.failures, {
				upstreamId: sample.upstreamId, isBad: sample.isFailure, mayAccept, now,
			});
			if (isSlow !== undefined) {
				this.#judge(stratum.slowness, {
					upstreamId: sample.upstreamId, isBad: isSlow, mayAccept, now,
				});
			}
		}

		if (isSlow !== undefined && sample.slowness !== undefined) {
			const isBad = this.#firsts.isLong(sample.slowness, sample.load);
			this.#judge(this.#length, {
				upstreamId: sample.upstreamId, isBad, mayAccept: true, now,
			});
		}

		return isSlow ?? false;
	}

	/** Applies faults that the base shows now to the answers that the candidate gave just before. */
	settle(now: number): void {
		for (const comparison of this.#comparisons()) {
			comparison.test.settle(this.#baseShare(comparison, now), now);
		}
	}

	/** @returns Why the version is bad, if the answers show it and the base does not show the same. */
	verdict(now: number): string | undefined {
		if (!this.#suspect || now < this.#suspect.since + CONFIRMATION_MS) {
			return undefined;
		}

		const {name, test, base} = this.#suspect.comparison;
		const isConfirmed = this.#isCondemned(this.#suspect.comparison, now);
		this.#suspect = undefined;
		return isConfirmed
			? `${name}: ${test.bad} of ${test.total} at the candidate, ${base.bad} of ${base.total} at the base`
			: undefined;
	}

	/**
	 * @param remaining - Part of the time for the canary that is left after its shortest duration, from 1 to 0.
	 * @returns Names of the tests that have not yet shown that the candidate is good.
	 */
	open(remaining: number, now: number): string[] {
		return [...new Set([...this.#lacking(remaining, now), ...this.suspicious(now)])];
	}

	/** @returns Names of the tests that speak against the switched candidate when it has got what a bad version may get. */
	openAtBound(now: number): string[] {
		const suspicious = this.#suspicious(now).filter(comparison => this.#goodness(comparison, now) < TRUSTED_EVIDENCE);
		return [...new Set([...this.#lacking(0, now), ...suspicious.map(({name}) => name)])];
	}

	/** @returns Names of the tests with evidence against the candidate that does not suffice to condemn it. */
	suspicious(now: number): string[] {
		return this.#suspicious(now).map(({name}) => name);
	}

	counts(): TestCounts {
		const counts: Record<string, TestCounts[string]> = {};
		for (const {name, test, base} of this.#comparisons()) {
			const before = this.#restored?.[name]?.candidate ?? [0, 0];
			counts[name] = {candidate: [before[0] + test.total, before[1] + test.bad], base: [base.total, base.bad]};
		}

		return counts;
	}

	/** Continues with the counts of an earlier allocator; they alone never suffice for a verdict. */
	restore(counts: TestCounts): void {
		this.#restored = counts;
		const prefix = 'failures route ';
		for (const name of Object.keys(counts)) {
			if (name.startsWith(prefix)) {
				this.#route(name.slice(prefix.length));
			}
		}

		for (const {name, test, base} of this.#comparisons()) {
			const earlier = counts[name];
			if (earlier) {
				test.restore(earlier.candidate);
				base.restore(...earlier.base);
			}
		}
	}

	#suspicious(now: number): Comparison[] {
		return this.#comparisons().filter(comparison => comparison !== this.#length && this.#badness(comparison, now) >= SUSPICIOUS);
	}

	/** @returns Names of the tests without the evidence that is needed. */
	#lacking(remaining: number, now: number): string[] {
		const open: string[] = [];
		for (const stratum of [this.#all, ...this.#strata.values(), ...(this.#isBaseBusy(NEEDED_BUSY_SHARE) ? [this.#busy] : [])]) {
			const last = stratum === this.#all ? LAST_EVIDENCE : LAST_ROUTE_EVIDENCE;
			const needed = (last + ((1 - last) * Math.max(0, remaining))) * this.#neededEvidence(stratum);
			for (const comparison of stratum.comparisons) {
				// Slowness can't be judged while the base gives no times.
				const isJudged = comparison.base.total > 0 || stratum.failures.base.total === 0;
				if (isJudged && this.#goodness(comparison, now) < needed) {
					open.push(comparison.name);
				}
			}
		}

		if (this.#length.base.total > 0 && this.#goodness(this.#length, now) < LENGTH_EVIDENCE) {
			open.push(this.#length.name);
		}

		return open;
	}

	#comparisons(): Comparison[] {
		return [this.#length, ...[this.#all, this.#busy, ...this.#strata.values()].flatMap(stratum => stratum.comparisons)];
	}

	#judge(comparison: Comparison, answer: Omit<TestedAnswer, 'baseShare'>): void {
		const {now} = answer;
		comparison.test.note({...answer, baseShare: this.#baseShare(comparison, now)});
		const hasBase = this.#all.failures.base.total >= MIN_BASE_ANSWERS || comparison.test.total >= MIN_LONE_ANSWERS;
		if (answer.isBad && hasBase && !this.#suspect && this.#isCondemned(comparison, now)) {
			this.#suspect = {comparison, since: now};
		}
	}

	#isBaseBusy(share: number): boolean {
		const {total} = this.#all.failures.base;
		return total >= MIN_BASE_ANSWERS && this.#busy.failures.base.total >= share * total;
	}

	#isCondemned(comparison: Comparison, now: number): boolean {
		const badness = this.#badness(comparison, now);
		return badness >= 1 || (this.isSwitched && badness >= SWITCHED_EVIDENCE && comparison !== this.#length && this.#goodness(comparison, now) < 0);
	}

	#baseShare({base}: Comparison, now: number): number {
		const share = base.share(now);
		return base === this.#length.base ? Math.max(share, this.#firsts.longShare) : share;
	}

	#badness(comparison: Comparison, now: number): number {
		// Few upstreams can all be slow ones, so that the length of answers needs its number of upstreams in any case.
		const upstreams = comparison === this.#length ? LENGTH_UPSTREAMS : this.candidateUpstreams;
		return comparison.test.badness(this.#baseShare(comparison, now), upstreams, now);
	}

	#goodness(comparison: Comparison, now: number): number {
		return comparison.test.goodness(this.#baseShare(comparison, now), this.candidateUpstreams);
	}

	#isSlow({isCandidate, upstreamId, slowness, pauseSlowness, load}: RolloutSample, now: number): boolean | undefined {
		let isSlow: boolean | undefined;
		for (const [scale, value] of [[this.#firsts, slowness], [this.#pauses, pauseSlowness]] as const) {
			if (value === undefined || !(value > 0)) {
				continue;
			}

			if (!isCandidate) {
				scale.note(upstreamId, value);
			}

			const isValueSlow = scale.isSlow(value, load, now);
			isSlow = isSlow === undefined ? isValueSlow : isSlow || isValueSlow;
		}

		return isSlow;
	}

	/** @returns Part of the full evidence that is needed before the version takes over. */
	#neededEvidence(stratum: Stratum): number {
		if (stratum === this.#all) {
			return 1;
		}

		return stratum === this.#busy ? BUSY_EVIDENCE : Math.min(1, this.routes.of(stratum.route).granted / FULL_ROUTE_REQUESTS);
	}

	#route(route: string): Stratum | undefined {
		let stratum = this.#strata.get(route);
		if (!stratum && this.#strata.size < MAX_ROUTES) {
			stratum = Stratum.create(`route ${route}`, this.#all, route);
			this.#strata.set(route, stratum);
		}

		return stratum;
	}
}
