/**
 * Rewrites the freshness row of this node's region while this node is the one that does so.
 */
import {type Clock} from '../base/clock.js';
import {IntervalPart} from '../supervisor/interval-part.js';
import {FRESHNESS_INTERVAL_MS} from './freshness.js';
import {type SettingsTree} from './settings-tree.js';

/** What the part is made of. */
export type FreshnessWriterOptions = {
	readonly clock: Clock;
	readonly tree: SettingsTree;
	readonly region: string;
	readonly nodeId: string;
	/** Whether this node writes for its region now, decided from the members of the region. */
	readonly isWriter: () => boolean;
};

/** The part that writes a region's freshness row. */
export class FreshnessWriter extends IntervalPart {
	static create(options: FreshnessWriterOptions): FreshnessWriter {
		return new FreshnessWriter(options);
	}

	readonly #options: FreshnessWriterOptions;

	private constructor(options: FreshnessWriterOptions) {
		super(options.clock, FRESHNESS_INTERVAL_MS);
		this.#options = options;
	}

	get name(): string {
		return 'config-freshness';
	}

	protected round(): void {
		const {tree, region, nodeId, isWriter} = this.#options;
		if (isWriter()) {
			// A failed write needs no repeat: the next one follows within the interval.
			void tree.touchRegion(region, nodeId);
		}
	}
}
