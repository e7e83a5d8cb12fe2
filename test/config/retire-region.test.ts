import {expect} from 'chai';
import {Invariants} from '../../src/base/invariant.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {createConfigParts} from '../../src/config/config-parts.js';
import {CurrentSettings} from '../../src/config/current-settings.js';
import {MemoryPeerNetwork} from '../../src/config/memory-peers.js';
import {SettingsTree} from '../../src/config/settings-tree.js';
import {MemoryObjectStore, MemoryTable} from '../../src/store/memory-table.js';
import {createStrictLog} from '../support/strict-log.js';

describe('retired regions', () => {
	// Guards against a decommissioned region that keeps blocking changes unless they are made with `--force`.
	it('no longer block changes', async () => {
		const clock = VirtualClock.create();
		const table = MemoryTable.create();
		const objects = MemoryObjectStore.create();
		const {parts, service} = createConfigParts({
			clock,
			log: createStrictLog(),
			random: Random.create(1),
			invariants: Invariants.create({throwOnViolation: true}),
			table,
			objects,
			peers: MemoryPeerNetwork.create(clock, 0).join('node-1', 'azraq'),
			settings: CurrentSettings.create(),
			nodeId: 'node-1',
			region: 'azraq',
			isFreshnessWriter: () => true,
		});
		const advanceUntilDone = async <Value>(promise: Promise<Value>): Promise<Value> => {
			const [value] = await Promise.all([promise, clock.advanceAsync(15_000)]);
			return value;
		};

		const kindOf = async (region: string) => {
			const result = await advanceUntilDone(service.retireRegion(region));
			return result.isErr ? result.error.err.kind : 'retired';
		};

		const put = async (fromVersion: number) => {
			const result = await advanceUntilDone(service.put({
				team: 'skimmers', fromVersion, author: 'rana', subtree: {}, force: false,
			}));
			return result.isErr ? result.error.err.kind : result.value.version;
		};

		await SettingsTree.create({table, objects, clock}).touchRegion('aqaba', 'node-gone');
		await Promise.all(parts.map(async part => part.start(error => {
			throw error;
		})));
		await clock.advanceAsync(12_000);
		expect(await put(0)).to.equal('region-unreachable');
		expect(await kindOf('azraq')).to.equal('forbidden');
		expect(await kindOf('aqaba')).to.equal('retired');
		expect(await put(0)).to.equal(1);
		expect(await kindOf('aqaba')).to.equal('not-found');
		await Promise.all(parts.map(async part => part.stop()));
	});
});
