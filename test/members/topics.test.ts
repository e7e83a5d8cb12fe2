import {expect} from 'chai';
import {Random} from '../../src/base/random.js';
import {PRESSURE_LIFETIME_MS} from '../../src/members/topics.js';
import {Cluster} from './cluster.js';

const NODES = 8;
const SUSPICION_LIFETIME_MS = 10 * 60_000;
/** A pressure entry that arrives later has too little of its lifetime left. */
const PRESSURE_PROPAGATION_MS = 1500;
const SUSPICION_PROPAGATION_MS = 5000;
/** Expired entries are removed at the next tick, and each hop rounds the remaining lifetime up. */
const EXPIRY_MARGIN_MS = 2000;

type Publication = {readonly text: string; readonly since: number; readonly withinMs: number};

function publishRandom(cluster: Cluster, random: Random, count: number): Publication | undefined {
	const node = cluster.nodes.get(random.integer(0, NODES - 1))!;
	const since = cluster.clock.now();
	const isPressure = random.next() < 0.5;
	const [pool, tier, fingerprint] = [`team/${random.integer(0, 2)}`, random.integer(0, 4), `f${count}`];
	const isPublished = isPressure
		? node.topics.publishPressure(pool, tier, since)
		: node.topics.publishSuspicion({
			feature: fingerprint, crashes: [`c${count}`], isCleared: false, quarantinedMs: 0, remainingMs: 0,
		}, since);
	node.gossip.pushUrgent();
	if (!isPublished) {
		return undefined;
	}

	const text = isPressure
		? `pressure ${JSON.stringify({pool, tier})}`
		: `suspicion ${JSON.stringify({
			feature: fingerprint, crashes: [`c${count}`], isCleared: false, quarantinedMs: 0,
		})}`;
	return {text, since, withinMs: isPressure ? PRESSURE_PROPAGATION_MS : SUSPICION_PROPAGATION_MS};
}

function countEntries(cluster: Cluster, kind: 'pressure' | 'suspicion'): number {
	return [...cluster.nodes.values()].reduce((sum, {membership}) => sum + [...membership.store.entries()].filter(({value}) => value.case === kind).length, 0);
}

describe('topics', () => {
	for (const seed of [1, 2, 3]) {
		// Guards against pressure and suspicion entries that never reach a connected node or that outlive their lifetime.
		it(`delivers pressure and suspicions to all nodes in time and expires them, seed ${seed}`, async function () {
			this.timeout(60_000);
			const cluster = new Cluster({
				seed, regions: ['a', 'b'], maxDelayMs: 16, loss: 0.05, duplication: 0.05,
			});
			for (let index = 0; index < NODES; index += 1) {
				cluster.start(index, [0, 1]);
			}

			await cluster.run(10_000);
			const random = Random.create(seed);
			for (let count = 0; count < 15; count += 1) {
				// `seen` keeps only the first time of each text, and the same pressure may be published again.
				for (const node of cluster.nodes.values()) {
					node.seen.clear();
				}

				const publication = publishRandom(cluster, random, count);
				// eslint-disable-next-line no-await-in-loop
				await cluster.run(publication?.withinMs ?? 500);
				for (const node of publication ? cluster.nodes.values() : []) {
					expect(node.seen.get(publication!.text), `${node.id} ${publication!.text}`).to.be.at.least(publication!.since);
				}
			}

			expect(countEntries(cluster, 'suspicion')).to.be.greaterThan(0);
			await cluster.run(PRESSURE_LIFETIME_MS + EXPIRY_MARGIN_MS);
			expect(countEntries(cluster, 'pressure')).to.equal(0);
			await cluster.run(SUSPICION_LIFETIME_MS);
			expect(countEntries(cluster, 'suspicion')).to.equal(0);
		});
	}

	// Guards against a publication at every shed request, and against pressure that is suppressed by an entry that is less
	// strict or about to expire.
	it('publishes pressure only if no entry that is at least as strict lasts long enough', () => {
		const cluster = new Cluster({seed: 1, regions: ['a']});
		const {topics} = cluster.start(0, []);
		const publish = (tier: number, at: number, pool = 'team/a') => topics.publishPressure(pool, tier, at);
		expect([publish(2, 0), publish(2, 100), publish(3, 100), publish(1, 100), publish(2, 100, 'team/b')]).to.deep.equal([true, false, false, true, true]);
		expect([publish(2, 1099), publish(2, 1100), publish(1, 1100)]).to.deep.equal([false, true, true]);
	});
});
