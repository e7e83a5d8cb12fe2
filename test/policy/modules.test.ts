import {expect} from 'chai';
import fc from 'fast-check';
import {ConcurrencyLimit} from '../../src/policy/concurrency-limit.js';
import {FairQueue} from '../../src/policy/fair-queue.js';
import {PrefixIndex} from '../../src/policy/prefix-index.js';
import {Quarantine, Standing} from '../../src/policy/quarantine.js';
import {ShareAllocator} from '../../src/policy/shares.js';
import {makeWork} from './support.js';

describe('FairQueue', () => {
	it('preserves the share of a customer with small requests against requests of 100x the cost (guards against fairness by request count)', () => {
		const queue = FairQueue.create();
		for (let index = 0; index < 50; index += 1) {
			for (const [customer, cost] of [['big', 10_000], ['small', 100]] as const) {
				queue.push(makeWork(`${customer}${index}`, {customer}), cost);
			}
		}

		const taken = Array.from({length: 52}, () => {
			const [work] = queue.next(1, 1);
			queue.dequeue(work!);
			return work!.customer;
		});
		expect(taken.filter(customer => customer === 'small').length).to.equal(50);
	});

	it('keeps the size and contents consistent when work is dropped at any position (guards against stale heads in the heap)', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.integer({min: 0, max: 3}), fc.boolean()), {maxLength: 60}), steps => {
			const queue = FairQueue.create();
			const works = steps.map(([customer], index) => makeWork(`w${index}`, {customer: String(customer)}));
			for (const work of works) {
				queue.push(work, 10);
			}

			const kept = works.filter((work, index) => !(steps[index]![1] && queue.drop(work, 10)));
			const taken = [];
			for (let [work] = queue.next(1, 1); work !== undefined; [work] = queue.next(1, 1)) {
				queue.dequeue(work);
				taken.push(work.id);
			}

			expect(taken.sort()).to.deep.equal(kept.map(({id}) => id).sort());
			expect(queue.size).to.equal(0);
		}), {seed: 3});
	});
});

/**
 * Decodes streams, as many as the limit allows, with a token every 10 ms.
 *
 * @param options.isSenderPaused - Whether the engine pauses, and does not catch up; otherwise the process that reads does.
 * @returns The limit after 10 s.
 */
function limitWithPauses({pauseMs, periodMs, isSenderPaused}: {pauseMs: number; periodMs: number; isSenderPaused: boolean}): number {
	const maximum = 16;
	const tokenIntervalMs = 10;
	const stepMs = 0.5;
	const limit = ConcurrencyLimit.create(maximum);
	const streams = Array.from({length: maximum}, (_, index) => ({nextTokenAt: index * stepMs, lastReadAt: 0, unread: 0}));
	for (let now = 0; now < 10_000; now += stepMs) {
		const isPaused = now % periodMs < pauseMs;
		for (const [index, stream] of streams.entries()) {
			if (index >= limit.value) {
				Object.assign(stream, {nextTokenAt: now + tokenIntervalMs, lastReadAt: now, unread: 0});
				continue;
			}

			if (now >= stream.nextTokenAt && !(isSenderPaused && isPaused)) {
				stream.unread += 1;
				stream.nextTokenAt = (isSenderPaused ? now : stream.nextTokenAt) + tokenIntervalMs;
			}

			if (stream.unread > 0 && !isPaused) {
				limit.noteGap((now - stream.lastReadAt) / stream.unread, true, now, stream.unread);
				Object.assign(stream, {lastReadAt: now, unread: 0});
			}
		}
	}

	return limit.value;
}

describe('ConcurrencyLimit', () => {
	it('decreases within 2 s of a threefold slowdown and recovers (guards against slow engines that keep their load)', () => {
		const limit = ConcurrencyLimit.create(16);
		let now = 0;
		const run = (gapMs: number, ms: number) => {
			for (const end = now + ms; now < end; now += gapMs) {
				limit.noteGap(gapMs, true, now);
			}
		};

		run(20, 5000);
		expect(limit.value).to.equal(16);
		run(60, 2000);
		expect(limit.value).to.be.at.most(4);
		run(20, 5000);
		expect(limit.value).to.equal(16);
	});

	it('keeps its value for gaps below the measurable minimum (guards against a false slowdown when tokens share a packet)', () => {
		const limit = ConcurrencyLimit.create(16);
		for (let now = 0; now < 5000; now += 1) {
			limit.noteGap(now % 100 < 50 ? 0.01 : 2, true, now);
		}

		expect(limit.value).to.equal(16);
	});

	// Guards against taking tokens that arrive together for a faster engine, and every usual gap afterwards for a slowdown: on a
	// busy host, engines that were as fast as ever then got one stream at a time.
	for (const [pauseMs, periodMs] of [[0, 100], [30, 100], [60, 100], [100, 300], [200, 500], [300, 1000]] as const) {
		it(`reaches its maximum when this process reads tokens only after pauses of ${pauseMs} ms every ${periodMs} ms`, () => {
			expect(limitWithPauses({pauseMs, periodMs, isSenderPaused: false})).to.equal(16);
		});

		it(`reaches its maximum when an engine pauses for ${pauseMs} ms every ${periodMs} ms`, () => {
			expect(limitWithPauses({pauseMs, periodMs, isSenderPaused: true})).to.equal(16);
		});
	}
});

describe('PrefixIndex', () => {
	it('tolerates the loss of half of the events (guards against assuming complete events)', () => {
		const index = PrefixIndex.create();
		const prefix = Array.from({length: 32}, (_, block) => block + 1);
		index.store(prefix, 'a', 0);
		index.evict(prefix.filter(block => block % 2 === 0), 'a');
		expect(index.depth(prefix, 'a', 1)).to.be.at.most(32);
		index.clear('a', 2);
		expect(index.depth(prefix, 'a', 3)).to.equal(0);
	});

	it('expires unused entries (guards against lost eviction events)', () => {
		const index = PrefixIndex.create();
		index.store([1, 2], 'a', 0);
		expect([index.depth([1, 2], 'a', 1000), index.depth([1, 2], 'a', 100_000)]).to.deep.equal([2, 0]);
	});
});

describe('ShareAllocator', () => {
	const demand = (held: number, waitingByTier: number[]) => ({
		upstreamId: 'a', limitEstimate: 12, held, waitingByTier, heldByTier: [], lastGrant: 0,
	});

	it('grants the highest-priority tier first and never exceeds the limit plus the floors (guards against overloaded engines)', () => {
		const allocator = ShareAllocator.create();
		const first = allocator.grant('low', demand(0, [0, 0, 20]), 256, 0);
		allocator.grant('high', demand(0, [6]), 256, 1);
		// The slots of the first grant become available once its holder acknowledges the smaller grant.
		const low = allocator.grant('low', {...demand(0, [0, 0, 20]), lastGrant: first.sequence}, 256, 200);
		allocator.grant('low', {...demand(0, [0, 0, 20]), lastGrant: low.sequence}, 256, 400);
		const high = allocator.grant('high', demand(0, [6]), 256, 401);
		expect(high.slots).to.be.at.least(6);
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(4), fc.nat(9), fc.nat(9)), {minLength: 1, maxLength: 8}), nodes => {
			const other = ShareAllocator.create();
			let sum = 0;
			for (const [index, [held, top, low]] of nodes.entries()) {
				sum += other.grant(`n${index}`, demand(held, [top, low]), 256, 0).slots;
			}

			const held = nodes.reduce((total, [value]) => total + value, 0);
			expect(sum).to.be.at.most(Math.max(12, held) + nodes.length);
		}), {seed: 5});
	});

	it('releases the share of a node that stopped sending demands (guards against slots lost with a dead node)', () => {
		const allocator = ShareAllocator.create();
		allocator.grant('dead', demand(10, [5]), 256, 0);
		expect(allocator.grant('live', demand(0, [12]), 256, 1500).slots).to.equal(12);
	});
});

describe('Quarantine', () => {
	it('clears requests lost in the same crash once they succeed (guards against quarantining concurrent requests)', () => {
		const quarantine = Quarantine.create('n');
		quarantine.noteLoss('t/x', ['poison', 'harmless'], 0);
		expect(quarantine.standing('harmless', 1)).to.equal(Standing.Suspect);
		quarantine.noteSuccess('harmless', 2);
		quarantine.noteLoss('t/y', ['poison', 'harmless'], 3);
		expect(quarantine.standing('poison', 4)).to.equal(Standing.Quarantined);
		expect(quarantine.standing('harmless', 4)).to.equal(Standing.Suspect);
	});

	it('quarantines after three crashes that were seen by different nodes (guards against crash counts that are not shared)', () => {
		const [a, b, c] = ['a', 'b', 'c'].map(id => Quarantine.create(id)) as [Quarantine, Quarantine, Quarantine];
		a.noteLoss('t/x', ['poison'], 0);
		b.noteLoss('t/y', ['poison'], 0);
		c.import(a.export(1), 1);
		c.import(a.export(1), 1);
		expect(c.standing('poison', 2)).to.equal(Standing.Suspect);
		c.import(b.export(2), 2);
		c.noteLoss('t/z', ['poison'], 3);
		expect(c.standing('poison', 4)).to.equal(Standing.Quarantined);
		a.import(c.export(5), 1_000_005);
		expect(a.standing('poison', 1_000_006)).to.equal(Standing.Quarantined);
	});

	it('does not restore a cleared crash from an outdated message (guards against gossip that reverts a clearance)', () => {
		const [a, b] = [Quarantine.create('a'), Quarantine.create('b')];
		a.noteLoss('t/x', ['harmless', 'poison'], 0);
		const old = a.export(0);
		b.import(old, 0);
		a.noteSuccess('harmless', 1);
		a.import(old, 2);
		b.import(a.export(2), 2);
		expect([a, b].map(node => node.standing('harmless', 3))).to.deep.equal([Standing.Clear, Standing.Clear]);
	});
});
