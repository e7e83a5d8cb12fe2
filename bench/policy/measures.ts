/**
 * Metrics of a run.
 */
import * as hdr from 'hdr-histogram-js';
import {ErrorKind} from '../../src/base/errors.js';
import {TIER_COUNT} from '../../src/policy/admission.js';
import {type Work} from '../../src/policy/scheduler.js';

/** A start of a less important request within this time after a shed is a priority inversion. */
const INVERSION_WINDOW_MS = 2000;
/** Width of the histogram bins after a slowdown. */
export const SLOW_BIN_MS = 500;
const SLOW_BINS = 8;

/** Numbers of requests of a tier, by outcome. */
export type TierCounts = {
	offered: number;
	good: number;
	refused: number;
	lost: number;
	late: number;
};

type Shed = {
	readonly at: number;
	readonly tier: number;
	readonly pool: string;
	readonly node: number;
};

type Start = {
	readonly at: number;
	readonly tier: number;
	readonly pool: string;
	readonly node: number;
	readonly upstreamId: string;
};

/** A fault that slows down an upstream. */
export type Slowdown = {
	readonly upstreamId: string;
	readonly at: number;
	readonly endsAt: number;
};

/** Collects the events of a run. */
export class Measures {
	static create(): Measures {
		return new Measures();
	}

	readonly tiers: TierCounts[] = Array.from({length: TIER_COUNT}, () => ({
		offered: 0, good: 0, refused: 0, lost: 0, late: 0,
	}));

	readonly firstToken = Array.from({length: TIER_COUNT}, () => hdr.build({lowestDiscernibleValue: 1, highestTrackableValue: 200_000}));
	bytesBetweenRegions = 0;
	discardedPrefill = 0;
	readonly slowdowns: Slowdown[] = [];
	readonly #sheds: Shed[] = [];
	readonly #starts: Start[] = [];

	private constructor() {
		// Instances are created by `create`.
	}

	noteRefused(work: Work, kind: ErrorKind, node: number, now: number): void {
		this.tiers[work.tier]!.refused += 1;
		if (kind === ErrorKind.Overloaded || kind === ErrorKind.DeadlineUnreachable) {
			this.#sheds.push({
				at: now, tier: work.tier, pool: work.pool, node,
			});
		}
	}

	noteStart(work: Work, upstreamId: string, node: number, now: number): void {
		this.#starts.push({
			at: now, tier: work.tier, pool: work.pool, node, upstreamId,
		});
	}

	/**
	 * Counts priority inversions: starts of less important requests within a window after a shed.
	 *
	 * @param isAcrossNodes - Whether to count the starts on nodes other than that of the shed, instead of those on the same node.
	 */
	inversions(isAcrossNodes: boolean): number {
		const sheds = [...this.#sheds].sort((a, b) => a.at - b.at);
		let firstIndex = 0;
		let count = 0;
		for (const start of this.#starts) {
			while (firstIndex < sheds.length && sheds[firstIndex]!.at < start.at - INVERSION_WINDOW_MS) {
				firstIndex += 1;
			}

			for (let index = firstIndex; index < sheds.length && sheds[index]!.at < start.at; index += 1) {
				const shed = sheds[index]!;
				if (shed.pool === start.pool && shed.tier < start.tier && (shed.node !== start.node) === isAcrossNodes) {
					count += 1;
					break;
				}
			}
		}

		return count;
	}

	/** @returns Starts at slowed upstreams by time bin after the slowdown, relative to the rate in the 2 s before it. */
	slowShares(): number[] {
		const bins = Array.from({length: SLOW_BINS}, () => 0);
		let before = 0;
		for (const {upstreamId, at, endsAt} of this.slowdowns) {
			for (const start of this.#starts) {
				if (start.upstreamId !== upstreamId || start.at < at - 2000 || start.at >= Math.min(endsAt, at + (SLOW_BINS * SLOW_BIN_MS))) {
					continue;
				}

				if (start.at < at) {
					before += SLOW_BIN_MS / 2000;
				} else {
					bins[Math.floor((start.at - at) / SLOW_BIN_MS)]! += 1;
				}
			}
		}

		return bins.map(count => count / Math.max(1, before));
	}
}
