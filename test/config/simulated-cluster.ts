/**
 * Simulates several nodes with a shared faulty table and in-memory peers, in virtual time.
 */
import {Invariants} from '../../src/base/invariant.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {AppliedVersions} from '../../src/config/applied-versions.js';
import {ConfigService} from '../../src/config/config-service.js';
import {ConfigSync} from '../../src/config/config-sync.js';
import {CurrentSettings} from '../../src/config/current-settings.js';
import {FreshnessWriter} from '../../src/config/freshness-writer.js';
import {MemoryPeerNetwork} from '../../src/config/memory-peers.js';
import {SettingsTree} from '../../src/config/settings-tree.js';
import {SubtreeStore} from '../../src/config/subtree-store.js';
import {MemoryObjectStore, MemoryTable} from '../../src/store/memory-table.js';
import {type Table} from '../../src/store/table.js';
import {createStrictLog} from '../support/strict-log.js';
import {FaultyTable, ObservedTable} from './faulty-table.js';

const strictLog = createStrictLog();

/** Defects injected into the code under test, to verify that the checks detect them. */
export type InjectedDefects = {
	readonly applied?: (invariants: Invariants) => AppliedVersions;
	readonly table?: (table: Table) => Table;
	readonly alwaysForce?: boolean;
};

export type SimulatedNode = {
	readonly id: string;
	readonly region: string;
	readonly table: FaultyTable;
	readonly settings: CurrentSettings;
	readonly sync: ConfigSync;
	readonly writer: FreshnessWriter;
	readonly service: ConfigService;
	readonly tree: SettingsTree;
	readonly startedAt: number;
};

export class SimulatedCluster {
	readonly clock = VirtualClock.create();
	readonly random: Random;
	readonly memory = MemoryTable.create();
	readonly objects = MemoryObjectStore.create();
	readonly network = MemoryPeerNetwork.create(this.clock, 8);
	readonly invariants = Invariants.create({throwOnViolation: false});
	readonly nodes = new Map<string, SimulatedNode>();
	/** Time of the last write of each row, by key. */
	readonly writtenAt = new Map<string, number>();
	readonly failures: string[] = [];
	readonly #sharedTable: Table;
	#incarnations = 0;

	constructor(seed: number, readonly defects: InjectedDefects = {}) {
		this.random = Random.create(seed);
		this.#sharedTable = new ObservedTable(this.memory, write => {
			this.writtenAt.set(write.key, this.clock.now());
		});
	}

	/** Starts a node, replacing a running process of the same node. */
	async boot(id: string, region: string, isDown = false): Promise<SimulatedNode> {
		await this.stopNode(id);
		this.#incarnations += 1;
		const {clock, invariants} = this;
		const random = Random.create(this.random.integer(0, 2 ** 30));
		const table = FaultyTable.create(this.#sharedTable, clock, random);
		table.faults.isDown = isDown;
		const peers = this.network.join(id, region);
		const tree = SettingsTree.create({table: this.defects.table?.(table) ?? table, objects: this.objects, clock});
		const settings = CurrentSettings.create();
		const applied = this.defects.applied?.(invariants) ?? AppliedVersions.create(invariants);
		const sync = ConfigSync.create({
			clock, log: strictLog, random, tree, peers, subtrees: SubtreeStore.create(applied, settings),
		});
		const writer = FreshnessWriter.create({
			clock, log: strictLog, tree, region, nodeId: id, isWriter: () => this.#freshnessWriterOf(region) === id,
		});
		const node: SimulatedNode = {
			id, region, table, settings, sync, writer, tree, startedAt: clock.now(), service: ConfigService.create({
				clock, tree, sync, peers, nodeId: id, region,
			}),
		};
		this.nodes.set(id, node);
		const onFailure = (err: Error) => this.failures.push(`${id}: ${err.message}`);
		await sync.start(onFailure);
		await writer.start(onFailure);
		return node;
	}

	async stopNode(id: string): Promise<void> {
		const node = this.nodes.get(id);
		await node?.sync.stop();
		await node?.writer.stop();
		this.nodes.delete(id);
		this.network.leave(id);
	}

	/** Advances the virtual clock until a promise is settled. */
	async advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
		const state = {isDone: false};
		void markDone();
		while (!state.isDone) {
			// eslint-disable-next-line no-await-in-loop
			await this.clock.advanceAsync(50);
		}

		return promise;

		async function markDone(): Promise<void> {
			await Promise.allSettled([promise]);
			state.isDone = true;
		}
	}

	#freshnessWriterOf(region: string): string | undefined {
		return [...this.nodes.values()].find(node => node.region === region)?.id;
	}
}
