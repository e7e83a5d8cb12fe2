/**
 * Rewrites the freshness row of this node's region while this node is the one that does so.
 */
import {type Clock} from '../base/clock.js';
import {Part} from '../supervisor/part.js';
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
export class FreshnessWriter extends Part {
	static create(options: FreshnessWriterOptions): FreshnessWriter {
		return new FreshnessWriter(options);
	}

	readonly #options: FreshnessWriterOptions;
	#running: AbortController | undefined;

	private constructor(options: FreshnessWriterOptions) {
		super();
		this.#options = options;
	}

	get name(): string {
		return 'config-freshness';
	}

	async start(onFailure: (err: Error) => void): Promise<void> {
		this.#running = new AbortController();
		void this.#run(this.#running.signal, onFailure);
	}

	async stop(): Promise<void> {
		this.#running?.abort();
	}

	async #run(signal: AbortSignal, onFailure: (err: Error) => void): Promise<void> {
		const {clock, tree, region, nodeId, isWriter} = this.#options;
		try {
			while (!signal.aborted) {
				if (isWriter()) {
					// A failed write needs no repeat: the next one follows within the interval.
					void tree.touchRegion(region, nodeId);
				}

				// eslint-disable-next-line no-await-in-loop
				await clock.sleep(FRESHNESS_INTERVAL_MS, signal);
			}
		} catch (error) {
			onFailure(error as Error);
		}
	}
}
