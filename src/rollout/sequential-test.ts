/**
 * Sequential probability ratio test (A. Wald, Sequential tests of statistical hypotheses, 1945) of whether a version
 * has more bad answers than the base version. Because a version can turn bad at any time, the test that condemns starts
 * anew at every answer, as in a cumulative sum test (E. S. Page, Continuous inspection schemes, 1954).
 */
import {type RolloutCounts} from './rollout-sample.js';

/** Answers back from the newest one at which a test may start. */
const WINDOW = 160;
/** Answers after which the threshold rises, so that many starting points do not add up to false verdicts. */
const STARTS_PER_LEVEL = 20;
/** Time in which a fault of both versions may show at the candidate before it shows at the base, in ms. */
const SETTLING_MS = 200;
/**
 * Length of the intervals whose evidence is capped, in ms, and the number that must agree to condemn. A link that is cut
 * or a VM that stops loses many requests at one moment, at whichever version they are.
 */
const INTERVAL_MS = 50;
const CONDEMNING_INTERVALS = 3;
/** Answers in the window from which an overwhelming share of bad ones condemns without regard to upstreams. */
const OVERWHELMING_ANSWERS = 30;
/** Shortest time from the first of them to the last, in ms. */
const OVERWHELMING_MS = 500;
/** Additional share of bad answers that is overwhelming; one upstream of a canary of several can't cause it. */
const OVERWHELMING_EXCESS = 0.36;

/** Error rates and hypotheses of a test. */
export type SequentialTestOptions = {
	/** Probability of condemning a good version, for one starting point. */
	readonly alpha: number;
	/** Probability of accepting a bad version. */
	readonly beta: number;
	/** Share of the base's good answers that are bad at a bad version. */
	readonly excess: number;
	/** Number of upstreams that must agree to condemn; the evidence of each is capped accordingly. */
	readonly condemningUpstreams: number;
	/** Number of upstreams that must agree to accept. */
	readonly acceptingUpstreams: number;
	/** Number of upstreams whose evidence against a version outweighs what accepts it. */
	readonly opposingUpstreams: number;
	/** Whether one upstream's answers can be bad as a whole at a good version, so that those of the others suffice to accept. */
	readonly isByUpstream: boolean;
};

type Answer = {
	readonly upstreamId: string;
	readonly isBad: boolean;
	readonly mayAccept: boolean;
	readonly notedAt: number;
	/** Share of bad answers at the base version at that time. */
	baseShare: number;
	/** Logarithm of the likelihood ratio of bad to good version, at that share. */
	evidence: number;
};

/** An answer of the candidate. */
export type TestedAnswer = {
	readonly upstreamId: string;
	readonly isBad: boolean;
	/** Whether it counts as evidence that the version is good. */
	readonly mayAccept: boolean;
	readonly baseShare: number;
	readonly now: number;
};

/** Sum of evidence in which the part of each source is capped. */
class CappedSum<Source> {
	static create<Source>(cap: number): CappedSum<Source> {
		return new CappedSum<Source>(cap);
	}

	readonly #cap: number;
	readonly #bySource = new Map<Source, number>();
	#sum = 0;

	private constructor(cap: number) {
		this.#cap = cap;
	}

	get sum(): number {
		return this.#sum;
	}

	add(source: Source, evidence: number): void {
		const before = this.#bySource.get(source) ?? 0;
		const after = before + evidence;
		this.#bySource.set(source, after);
		this.#sum += clamp(after, this.#cap) - clamp(before, this.#cap);
	}
}

/** Test of one set of requests. */
export class SequentialTest {
	static create(options: SequentialTestOptions): SequentialTest {
		return new SequentialTest(options);
	}

	readonly #options: SequentialTestOptions;
	readonly #window: Answer[] = [];
	#restored: RolloutCounts = [0, 0];
	#total = 0;
	#bad = 0;
	#windowBad = 0;

	private constructor(options: SequentialTestOptions) {
		this.#options = options;
	}

	get total(): number {
		return this.#total;
	}

	get bad(): number {
		return this.#bad;
	}

	/** Notes an answer of the candidate. */
	note({upstreamId, isBad, mayAccept, baseShare, now}: TestedAnswer): void {
		this.#total += 1;
		this.#bad += isBad ? 1 : 0;
		this.#window.push({
			upstreamId, isBad, mayAccept, notedAt: now, baseShare, evidence: this.#evidence(isBad, baseShare),
		});
		this.#windowBad += isBad ? 1 : 0;
		if (this.#window.length > WINDOW) {
			this.#windowBad -= this.#window.shift()!.isBad ? 1 : 0;
		}
	}

	/** Adds counts of an earlier allocator, as the evidence of one upstream. */
	restore(counts: RolloutCounts): void {
		this.#restored = counts;
	}

	/** Applies a present share of bad answers at the base version to the answers that came just now too. */
	settle(baseShare: number, now: number): void {
		for (let index = this.#window.length - 1; index >= 0 && this.#window[index]!.notedAt > now - SETTLING_MS; index -= 1) {
			const answer = this.#window[index]!;
			if (baseShare > answer.baseShare) {
				answer.baseShare = baseShare;
				answer.evidence = this.#evidence(answer.isBad, baseShare);
			}
		}
	}

	/**
	 * @param baseShare - Present share of bad answers at the base version.
	 * @param upstreamCount - Number of upstreams of the candidate.
	 * @returns Evidence that the version is bad, in parts of what condemns it.
	 */
	badness(baseShare: number, upstreamCount: number, now: number): number {
		const threshold = Math.log((1 - this.#options.beta) / this.#options.alpha) + Math.log(1 + (this.#total / STARTS_PER_LEVEL));
		const cap = threshold / Math.max(1, Math.min(this.#options.condemningUpstreams, upstreamCount));
		if (this.#windowBad === 0) {
			return 0;
		}

		this.settle(baseShare, now);
		const byUpstream = CappedSum.create(cap);
		const byInterval = CappedSum.create(threshold / CONDEMNING_INTERVALS);
		let bad = 0;
		let highest = 0;
		for (let index = this.#window.length - 1; index >= 0; index -= 1) {
			const answer = this.#window[index]!;
			byUpstream.add(answer.upstreamId, answer.evidence);
			byInterval.add(Math.floor((now - answer.notedAt) / INTERVAL_MS), answer.evidence);
			highest = Math.max(highest, Math.min(byUpstream.sum, byInterval.sum));
			bad += answer.isBad ? 1 : 0;
			const answers = this.#window.length - index;
			const isLasting = !this.#options.isByUpstream && answers >= OVERWHELMING_ANSWERS && now - answer.notedAt >= OVERWHELMING_MS;
			if (isLasting && bad / answers >= baseShare + ((1 - baseShare) * OVERWHELMING_EXCESS)) {
				return 1;
			}
		}

		// The tolerance covers rounding where the capped evidence of all upstreams together just reaches the threshold.
		return (highest + 1e-9) / threshold;
	}

	/** @returns Evidence that the version is good, in parts of what accepts it; negative if it is more likely bad. */
	goodness(baseShare: number, upstreamCount: number): number {
		const threshold = Math.log((1 - this.#options.alpha) / this.#options.beta);
		const cap = threshold / Math.max(1, Math.min(this.#options.acceptingUpstreams, upstreamCount));
		const lowest = this.#options.isByUpstream ? 0 : -threshold / this.#options.opposingUpstreams;
		const byUpstream = new Map<string, number>();
		const [total, bad] = this.#restored;
		byUpstream.set('', ((bad - total) * this.#evidence(false, baseShare)) - (bad * this.#evidence(true, baseShare)));
		for (const answer of this.#window) {
			if (answer.mayAccept) {
				byUpstream.set(answer.upstreamId, (byUpstream.get(answer.upstreamId) ?? 0) - answer.evidence);
			}
		}

		let sum = 0;
		for (const evidence of byUpstream.values()) {
			sum += Math.min(cap, Math.max(lowest, evidence));
		}

		return (sum + 1e-9) / threshold;
	}

	#evidence(isBad: boolean, baseShare: number): number {
		const badShare = baseShare + ((1 - baseShare) * this.#options.excess);
		return isBad ? Math.log(badShare / baseShare) : Math.log((1 - badShare) / (1 - baseShare));
	}
}

function clamp(value: number, cap: number): number {
	return Math.min(cap, Math.max(-cap, value));
}
