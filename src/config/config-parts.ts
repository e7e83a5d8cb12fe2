/**
 * Creates and connects the settings components of a node.
 */
import {type Clock} from '../base/clock.js';
import {type Invariants} from '../base/invariant.js';
import {type Log, LogPrefix} from '../base/log.js';
import {type Random} from '../base/random.js';
import {type ObjectStore} from '../store/object-store.js';
import {type Table} from '../store/table.js';
import {type Part} from '../supervisor/part.js';
import {ConfigService} from './config-service.js';
import {ConfigSync} from './config-sync.js';
import {type CurrentSettings} from './current-settings.js';
import {FreshnessWriter} from './freshness-writer.js';
import {type ConfigPeers} from './peers.js';
import {SettingsTree} from './settings-tree.js';
import {SubtreeStore} from './subtree-store.js';

/** Dependencies provided by the node. */
export type ConfigPartsOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly random: Random;
	readonly invariants: Invariants;
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly peers: ConfigPeers;
	/** Receives the settings whenever a version becomes active. */
	readonly settings: CurrentSettings;
	readonly nodeId: string;
	readonly region: string;
	/** Whether this node currently writes the freshness row of its region, based on the region's live members. */
	readonly isFreshnessWriter: () => boolean;
};

/** Settings components of one node. */
export type ConfigParts = {
	/** Parts to run under the node's supervisor, in this order. */
	readonly parts: readonly Part[];
	readonly sync: ConfigSync;
	readonly service: ConfigService;
};

/** Creates the components that read, apply and change settings on a node. */
export function createConfigParts(options: ConfigPartsOptions): ConfigParts {
	const {
		clock, log, random, invariants, table, objects, peers, settings, nodeId, region, isFreshnessWriter,
	} = options;
	const tree = SettingsTree.create({table, objects, clock});
	const subtrees = SubtreeStore.withInvariants(invariants, settings);
	const sync = ConfigSync.create({
		clock, log, random, tree, peers, subtrees,
	});
	const writer = FreshnessWriter.create({
		clock, log: log.part(LogPrefix.Config), tree, region, nodeId, isWriter: isFreshnessWriter,
	});
	const service = ConfigService.create({
		clock, tree, sync, peers, nodeId, region,
	});
	return {parts: [sync, writer], sync, service};
}
