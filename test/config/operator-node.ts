/**
 * Runs a node that serves the operators' routes with an in-memory store, in the test process.
 */
import {SystemClock} from '../../src/base/clock.js';
import {Invariants} from '../../src/base/invariant.js';
import {Random} from '../../src/base/random.js';
import {createConfigParts} from '../../src/config/config-parts.js';
import {type ConfigSync} from '../../src/config/config-sync.js';
import {CurrentSettings} from '../../src/config/current-settings.js';
import {digestKey} from '../../src/config/deployment.js';
import {MemoryPeerNetwork} from '../../src/config/memory-peers.js';
import {MemoryAccount} from '../../src/base/memory-account.js';
import {type EntryContext} from '../../src/entry/context.js';
import {EntryPart} from '../../src/entry/entry-part.js';
import {SubtreeWatches} from '../../src/entry/operator-watch.js';
import {MemoryObjectStore, MemoryTable} from '../../src/store/memory-table.js';
import {createStrictLog} from '../support/strict-log.js';

export const bootstrapKey = 'bootstrap-key';

const MEMORY_BYTES = 64 * 1024 * 1024;

export class OperatorNode {
	static async start(): Promise<OperatorNode> {
		const clock = SystemClock.create();
		const table = MemoryTable.create();
		const invariants = Invariants.create({throwOnViolation: true});
		const settings = CurrentSettings.create();
		const peers = MemoryPeerNetwork.create(clock, 0).join('node-1', 'azraq');
		const {sync, service} = createConfigParts({
			clock, log: createStrictLog(), random: Random.create(1), invariants, table, objects: MemoryObjectStore.create(), peers, settings,
			nodeId: 'node-1', region: 'azraq', isFreshnessWriter: () => true,
		});
		// The operators' routes do not use the request context of callers.
		const entry = EntryPart.create({clock} as EntryContext, {host: '127.0.0.1', port: 0}, {
			clock, memory: MemoryAccount.create({
				clock, log: createStrictLog(), limitBytes: MEMORY_BYTES, onRelief: () => undefined,
			}), service, sync, watches: SubtreeWatches.create(clock, sync), bootstrapDigest: digestKey(bootstrapKey),
		});
		await sync.start(error => {
			throw error;
		});
		await entry.start();
		return new OperatorNode(entry, sync, table, settings);
	}

	private constructor(readonly entry: EntryPart, readonly sync: ConfigSync, readonly table: MemoryTable, readonly settings: CurrentSettings) {}

	get address(): string {
		return this.entry.address;
	}

	async stop(): Promise<void> {
		await this.sync.stop();
		await this.entry.stop();
	}
}
