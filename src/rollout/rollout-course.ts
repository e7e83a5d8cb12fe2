/**
 * Course of the roll-out of one pool: canary, switch to the new version, completion or roll-back.
 */
import {type Restore} from '../allocation/unchanged-state.js';
import {Exposure} from './exposure.js';
import {type RolloutBounds} from './rollout-bounds.js';
import {type JudgedSample, type RolloutSample} from './rollout-sample.js';
import {
	RolloutPhase, type RolloutEvidence, type RolloutOrder, type RolloutProgress, type RolloutSnapshot,
} from './rollout-state.js';
import {VersionComparison} from './version-comparison.js';

export {type RolloutCounts, type RolloutSample, type TestCounts} from './rollout-sample.js';
export {
	RolloutPhase, type RolloutEvidence, type RolloutOrder, type RolloutProgress, type RolloutSnapshot,
} from './rollout-state.js';

/** Part of the period that has to pass before the switch; some faults show only after seconds. */
const CANARY_SHARE = 0.5;
/** Part of the period after which answers count as evidence for the version over all routes. */
const LATE_SHARE = 0.3;
/** Greatest part of the period that is kept for the requests at the base version to finish. */
const MAX_DRAIN_SHARE = 0.4;
/** Time that is kept beside the longest that a request took at the base version, until all VMs know of the switch, in ms. */
const INFORM_MS = 1000;
/** Part of the period that is kept for writing the outcome. */
const WRITING_SHARE = 0.04;
/** Shortest time between the switch and the completion, in ms; faults under full load show in it. */
const MIN_SWITCHING_MS = 1000;
/** Greatest part of a route's requests that the canary gets; the others stay at the base, to compare with. */
const MAX_ROUTE_SHARE = 0.6;
/** Requests of the budget that are kept for each route that has to get more, and for all of them. */
const ROUTE_RESERVE = 2;
const MAX_RESERVE = 4;
/** Requests of the budget that are kept for routes that lack evidence. */
const OPEN_RESERVE = 2;
/** Part of the period in which the canary goes to any candidate upstream, before some of them are made busy. */
const SPREAD_SHARE = 0.15;
/** Number of requests sent at once so that a candidate upstream gets busy. */
const BURST = 8;
/** Part of the candidate upstreams that may be missing, e.g. after a crash. */
const TOLERATED_LOSS = 0.2;
/** Part of the needed upstreams below which a switch is undone. */
const MIN_REMAINING = 0.5;

/** Candidate upstreams that the canary should use: up to six must agree to condemn, and some of them may have crashed. */
export const CANARY_UPSTREAMS = 8;

/** What a course is created from. */
export type RolloutCourseOptions = {
	readonly order: RolloutOrder;
	readonly bounds: RolloutBounds;
	readonly now: number;
	/** State from the store or from another leader; the course then gets no slack. */
	readonly snapshot?: RolloutSnapshot;
};

/** Decides how far one roll-out has come. */
export class RolloutCourse {
	static create(options: RolloutCourseOptions): RolloutCourse {
		return new RolloutCourse(options);
	}

	readonly #periodMs: number;
	readonly #startedAt: number;
	readonly #exposure: Exposure;
	readonly #comparison: VersionComparison;
	#phase: RolloutPhase;
	#reason: string;
	#switchedAt: number;
	#lacksBusy = false;
	#isBursting = false;
	#isPastBound = false;
	#open: readonly string[] = [];

	private constructor({order, bounds, now, snapshot}: RolloutCourseOptions) {
		this.#periodMs = order.periodMs;
		this.#startedAt = now - (snapshot?.ageMs ?? 0);
		this.#switchedAt = now - (snapshot?.switchedMs ?? 0);
		this.#phase = snapshot?.phase ?? RolloutPhase.Canary;
		this.#reason = snapshot?.reason ?? 'ordered';
		this.#exposure = Exposure.create({bounds, slackMs: CANARY_SHARE * order.periodMs, hasSlack: !snapshot});
		this.#comparison = VersionComparison.create(this.#startedAt + (LATE_SHARE * order.periodMs));
		if (snapshot) {
			this.#comparison.restore(snapshot.tests);
			this.#comparison.isSwitched = this.#phase === RolloutPhase.Switching;
		}
	}

	get phase(): RolloutPhase {
		return this.#phase;
	}

	/** Why the phase was entered. */
	get reason(): string {
		return this.#reason;
	}

	get evidence(): RolloutEvidence {
		const {requests, candidateRequests} = this.#exposure;
		return {
			requests, candidateRequests, ...this.#comparison.overall, open: this.#open,
		};
	}

	/**
	 * Whether a canary request is to be placed at the busiest candidate upstream that has room, rather than at the
	 * cheapest. The candidate has to be seen at high occupancy before it takes over.
	 */
	prefersBusy(now: number): boolean {
		return this.#phase === RolloutPhase.Canary && this.#lacksBusy && now >= this.#startedAt + (SPREAD_SHARE * this.#periodMs);
	}

	/** @returns A function that restores what `wantsCanary` changes, after an evaluation that must change nothing. */
	preserveBurst(): Restore {
		const isBursting = this.#isBursting;
		return () => {
			this.#isBursting = isBursting;
		};
	}

	/** @returns Whether a new request of the route, first attempt, goes to the candidate; otherwise it goes to the base. */
	wantsCanary(route: string, now: number): boolean {
		if (this.#phase !== RolloutPhase.Canary) {
			return this.#phase !== RolloutPhase.RolledBack;
		}

		const available = this.#exposure.available(now - this.#startedAt);
		this.#isBursting &&= available >= 1;
		if (available < 1 || this.#comparison.isSuspect) {
			return false;
		}

		const {routes} = this.#comparison;
		const {granted, candidateGranted} = routes.of(route);
		if (candidateGranted > MAX_ROUTE_SHARE * granted) {
			return false;
		}

		if (routes.isMissing(route)) {
			return true;
		}

		const reserve = Math.min(MAX_RESERVE, ROUTE_RESERVE * routes.missingRoutes);
		if (this.prefersBusy(now)) {
			this.#isBursting ||= available >= BURST + reserve;
			return this.#isBursting && available >= 1 + reserve;
		}

		return available >= 1 + reserve + (routes.isSettled(route) ? OPEN_RESERVE : 0);
	}

	/** Counts a granted request of the pool, whichever version it went to. */
	noteGranted(isCandidate: boolean, route: string, _now: number): void {
		this.#exposure.note(isCandidate);
		this.#comparison.routes.noteGranted(isCandidate, route);
	}

	/** Counts an answer, and judges the version by it. */
	note(sample: RolloutSample, now: number): JudgedSample {
		if (this.#isFinal()) {
			return {isSlow: false, hasVerdict: false};
		}

		const isSlow = this.#comparison.note(sample, now);
		return {isSlow, hasVerdict: this.#judge(now)};
	}

	/**
	 * To be called about every 100 ms and when the progress changed.
	 *
	 * @returns Whether the phase changed.
	 */
	advance(progress: RolloutProgress, now: number): boolean {
		if (this.#isFinal()) {
			return false;
		}

		this.#comparison.candidateUpstreams = progress.candidateUpstreams;
		this.#comparison.settle(now);
		this.#comparison.updateOpenRoutes(now);
		this.#lacksBusy = this.#comparison.lacksBusy(now);
		if (this.#judge(now)) {
			return true;
		}

		return this.#phase === RolloutPhase.Canary ? this.#advanceCanary(progress, now) : this.#advanceSwitching(progress, now);
	}

	snapshot(now: number): RolloutSnapshot {
		return {
			phase: this.#phase,
			reason: this.#reason,
			ageMs: now - this.#startedAt,
			switchedMs: this.#phase === RolloutPhase.Canary ? 0 : now - this.#switchedAt,
			tests: this.#comparison.counts(),
		};
	}

	#judge(now: number): boolean {
		const reason = this.#comparison.verdict(now);
		return reason !== undefined && this.#enter(RolloutPhase.RolledBack, reason, now);
	}

	#advanceCanary(progress: RolloutProgress, now: number): boolean {
		const earliestAt = this.#startedAt + (CANARY_SHARE * this.#periodMs);
		if (now < earliestAt) {
			return false;
		}

		const drainMs = INFORM_MS + Math.max(MIN_SWITCHING_MS, this.#comparison.longestBaseMs) + (WRITING_SHARE * this.#periodMs);
		const latestAt = this.#startedAt + this.#periodMs - Math.min(MAX_DRAIN_SHARE * this.#periodMs, drainMs);
		const obstacle = this.#obstacle(progress, (latestAt - now) / (latestAt - earliestAt), now);
		if (obstacle === undefined) {
			return this.#enter(RolloutPhase.Switching, 'the evidence suffices', now);
		}

		return now >= latestAt && this.#enter(RolloutPhase.RolledBack, obstacle, now);
	}

	#advanceSwitching(progress: RolloutProgress, now: number): boolean {
		const {candidateUpstreams, heldAtBase, allVmsInformed} = progress;
		if (candidateUpstreams < MIN_REMAINING * this.#neededUpstreams(progress)) {
			return this.#enter(RolloutPhase.RolledBack, `only ${candidateUpstreams} candidate upstreams are left`, now);
		}

		if (!this.#isPastBound && this.#exposure.isAtBound((now - this.#startedAt) / this.#periodMs)) {
			this.#isPastBound = true;
			this.#open = this.#comparison.openAtBound(now);
			if (this.#open.length > 0) {
				return this.#enter(RolloutPhase.RolledBack, `too little evidence after the switch: ${this.#open.join(', ')}`, now);
			}
		}

		const suspicious = this.#comparison.suspicious(now);
		const obstacle = (heldAtBase > 0 && `${heldAtBase} places at the base version are still held`)
			|| (!allVmsInformed && 'not all VMs know of the switch')
			|| (suspicious.length > 0 && `undecided: ${suspicious.join(', ')}`);
		if (!obstacle && now - this.#switchedAt >= MIN_SWITCHING_MS) {
			return this.#enter(RolloutPhase.Completed, 'the base version holds nothing', now);
		}

		const isTooLate = now - this.#startedAt >= (1 - WRITING_SHARE) * this.#periodMs;
		return isTooLate && this.#enter(RolloutPhase.RolledBack, obstacle || 'switched too late', now);
	}

	/**
	 * @param remaining - Part of the time for a switch that is left.
	 * @returns Why the candidate can't take over now.
	 */
	#obstacle(progress: RolloutProgress, remaining: number, now: number): string | undefined {
		const {candidateUpstreams, baseUpstreams} = progress;
		this.#open = this.#comparison.open(remaining, now);
		if (candidateUpstreams === 0) {
			return 'the candidate has no upstream';
		}

		if (candidateUpstreams < this.#neededUpstreams(progress)) {
			return `${candidateUpstreams} candidate upstreams can't carry the load of ${baseUpstreams}`;
		}

		return this.#open.length > 0 ? `too little evidence: ${this.#open.join(', ')}` : undefined;
	}

	#neededUpstreams({baseUpstreams}: RolloutProgress): number {
		return (1 - TOLERATED_LOSS) * baseUpstreams * this.#comparison.baseLoad;
	}

	#isFinal(): boolean {
		return this.#phase === RolloutPhase.Completed || this.#phase === RolloutPhase.RolledBack;
	}

	#enter(phase: RolloutPhase, reason: string, now: number): true {
		this.#phase = phase;
		this.#reason = reason;
		this.#switchedAt = phase === RolloutPhase.Switching ? now : this.#switchedAt;
		this.#comparison.isSwitched = phase === RolloutPhase.Switching;
		return true;
	}
}
