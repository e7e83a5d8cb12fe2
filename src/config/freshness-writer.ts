/**
 * Periodically rewrites the freshness row of a region while this node is the region's designated writer.
 */
import {runInBackground} from '../base/background.js';
import {type Clock} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {IntervalPart} from '../supervisor/interval-part.js';
import {FRESHNESS_INTERVAL_MS} from './freshness.js';
import {type SettingsTree} from './settings-tree.js';

/** Dependencies of the part. */
export type FreshnessWriterOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly tree: SettingsTree;
	readonly region: string;
	readonly nodeId: string;
	/** Whether this node currently writes the region's row, based on the region's members. */
	readonly isWriter: () => boolean;
};

/** Writes the freshness row of a region. */
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
		const {log, tree, region, nodeId, isWriter} = this.#options;
		if (isWriter()) {
			// A failed write is not retried, because the next one follows after the interval.
			runInBackground(log, 'writing the freshness row', async () => tree.touchRegion(region, nodeId));
		}
	}
}
