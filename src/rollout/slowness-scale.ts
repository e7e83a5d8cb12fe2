/**
 * Tells from the base version how slow an answer has to be to count as slow. In some pools one upstream in three is 4.4
 * times slower than the others, so that a fixed factor would condemn good versions.
 */

/** Share of answers above the usual range of the base version. */
export const SLOW_SHARE = 0.1;
/** An answer is slow if it took this many times longer than the usual range of the base version. */
const MARGIN = 1.3;
/**
 * An answer is not slow unless it took this many times longer than the median of the base version. Base upstreams that
 * are 4.4 times slower may be unused for a while and then are missing in the usual range.
 */
const MIN_MEDIAN_RATIO = 4.5;
/** An answer is long if it took this many times longer than the median; answers of slow upstreams are, by nature. */
const LONG_MEDIAN_RATIO = 3;
/** Occupancy from which upstreams may be slower than usual, because requests delay each other. */
const BUSY_LOAD = 0.75;
/** Further margin at busy upstreams; the canary meets them in another proportion than the base version does. */
const BUSY_MARGIN = 1.5;
/** Bins per doubling of the slowness. */
const BINS_PER_DOUBLING = 4;
/** Bins from a slowness of 1/16 to 256. */
const BIN_COUNT = 12 * BINS_PER_DOUBLING;
const LOWEST_DOUBLING = -4;
/** Answers of one upstream after which the older ones count half. */
const ANSWERS_PER_UPSTREAM = 32;
/** Time after which the threshold is computed again, in ms. */
const UPDATE_MS = 250;
/** Answers of the base version that are needed to judge. */
const MIN_ANSWERS = 20;

type UpstreamHistogram = {total: number; readonly bins: Float64Array};

/**
 * Distribution of the slowness at base upstreams, in which each upstream has the same weight. The allocator prefers fast
 * base upstreams, which it knows, but does not know the candidate's yet; by requests, the base would look too fast.
 */
export class SlownessScale {
	static create(): SlownessScale {
		return new SlownessScale();
	}

	readonly #upstreams = new Map<string, UpstreamHistogram>();
	#answers = 0;
	#threshold = Number.POSITIVE_INFINITY;
	#longThreshold = Number.POSITIVE_INFINITY;
	#longShare = 0;
	#updatedAt = Number.NEGATIVE_INFINITY;

	/** Updates the distribution with an answer of the base version. */
	note(upstreamId: string, slowness: number): void {
		let histogram = this.#upstreams.get(upstreamId);
		if (!histogram) {
			histogram = {total: 0, bins: new Float64Array(BIN_COUNT)};
			this.#upstreams.set(upstreamId, histogram);
		}

		if (histogram.total >= ANSWERS_PER_UPSTREAM) {
			histogram.total /= 2;
			for (let bin = 0; bin < BIN_COUNT; bin += 1) {
				histogram.bins[bin]! /= 2;
			}
		}

		const bin = Math.floor((Math.log2(slowness) - LOWEST_DOUBLING) * BINS_PER_DOUBLING);
		histogram.bins[Math.min(BIN_COUNT - 1, Math.max(0, bin))]! += 1;
		histogram.total += 1;
		this.#answers += 1;
	}

	/** Share of long answers at the base version, in which each upstream has the same weight. */
	get longShare(): number {
		return this.#longShare;
	}

	/** @returns Whether an answer is long; to be called after `isSlow`. */
	isLong(slowness: number, load: number): boolean {
		return slowness > this.#longThreshold * (load >= BUSY_LOAD ? BUSY_MARGIN : 1);
	}

	/** @returns Whether an answer is slow; `undefined` as long as the base version has too few answers. */
	isSlow(slowness: number, load: number, now: number): boolean | undefined {
		if (this.#answers < MIN_ANSWERS) {
			return undefined;
		}

		if (now >= this.#updatedAt + UPDATE_MS) {
			this.#update();
			this.#updatedAt = now;
		}

		return slowness > this.#threshold * (load >= BUSY_LOAD ? BUSY_MARGIN : 1);
	}

	#update(): void {
		const shares = new Float64Array(BIN_COUNT);
		for (const {total, bins} of this.#upstreams.values()) {
			for (let bin = 0; bin < BIN_COUNT; bin += 1) {
				shares[bin]! += bins[bin]! / total;
			}
		}

		const usual = this.#quantile(shares, 1 - SLOW_SHARE);
		const median = this.#quantile(shares, 0.5);
		this.#threshold = Math.max(MARGIN * usual, MIN_MEDIAN_RATIO * median);
		this.#longThreshold = LONG_MEDIAN_RATIO * median;
		const longFrom = Math.floor((Math.log2(this.#longThreshold) - LOWEST_DOUBLING) * BINS_PER_DOUBLING);
		this.#longShare = shares.subarray(Math.max(0, longFrom)).reduce((sum, share) => sum + share, 0) / this.#upstreams.size;
	}

	/** @returns The upper edge of the bin that contains the quantile. */
	#quantile(shares: Float64Array, quantile: number): number {
		let rest = quantile * this.#upstreams.size;
		let bin = 0;
		while (bin < BIN_COUNT - 1 && rest > shares[bin]!) {
			rest -= shares[bin]!;
			bin += 1;
		}

		return 2 ** (((bin + 1) / BINS_PER_DOUBLING) + LOWEST_DOUBLING);
	}
}
