import {expect} from 'chai';
import {type WaitingRequest, WaitingQueue} from '../../src/allocation/waiting-queue.js';
import {Random} from '../../src/base/random.js';
import {createPlaceRequest} from '../support/place-request.js';

const LATE_LEVEL_PENALTY = 3;

/** Late requests are moved back by one and a half ranks, as in a pool. */
function levelOf({ask, objectiveAt}: WaitingRequest, now: number): number {
	return (ask.rank * 2) + (now > objectiveAt ? LATE_LEVEL_PENALTY : 0);
}

function makeWaiting(id: string, random: Random, now: number): WaitingRequest {
	const objectiveMs = Math.floor(random.next() * 8) * 100;
	return {
		ask: createPlaceRequest(id, {rank: Math.floor(random.next() * 4), promptTokens: Math.floor(random.next() * 5000)}),
		events: {
			grant() {
				// Not checked.
			},
			refuse() {
				// Not checked.
			},
		},
		requestedAt: now,
		objectiveAt: now + objectiveMs,
		deadlineAt: now + 5000,
		patienceEndsAt: now + 2000,
		callerLeavesAt: now + 5000,
	};
}

function sortedIds(all: readonly WaitingRequest[], now: number): string[] {
	return all.toSorted((a, b) => levelOf(a, now) - levelOf(b, now) || a.objectiveAt - b.objectiveAt).map(({ask}) => ask.id);
}

const idsOf = (queue: WaitingQueue) => [...queue].map(({ask}) => ask.id);

describe('waiting queue', () => {
	for (const seed of [1, 2, 3]) {
		it(`has the same order and totals as a queue that is sorted again for each decision (seed ${seed})`, () => {
			const random = Random.create(seed);
			const queue = WaitingQueue.create({levelOf, serviceMs: ({promptTokens}) => promptTokens});
			let all: WaitingRequest[] = [];
			let now = 0;
			for (let step = 0; step < 3000; step += 1) {
				if (all.length === 0 || random.next() < 0.52) {
					const waiting = makeWaiting(`r${step}`, random, now);
					queue.add(waiting, now);
					all.push(waiting);
				} else {
					const removed = all[Math.floor(random.next() * all.length)]!;
					queue.delete(removed.ask.id);
					all = all.filter(waiting => waiting !== removed);
				}

				if (step % 50 === 0) {
					now += 25;
					queue.refresh(now);
				}

				// Time advances only at a refresh, so the levels computed at the refresh or the arrival are still valid.
				expect(idsOf(queue)).to.deep.equal(sortedIds(all, now));
				const level = Math.floor(random.next() * 10);
				let workMs = 0;
				for (const waiting of all) {
					workMs += levelOf(waiting, now) <= level ? waiting.ask.promptTokens : 0;
				}

				expect(queue.workMsUpTo(level)).to.be.closeTo(workMs, 0.01);
				expect(queue.maxRank).to.equal(Math.max(0, ...all.map(({ask}) => ask.rank)));
			}
		});
	}

	// Guards against expected waits that count the requests of customers beyond their share.
	it('serves lower share keys first within a level, and totals what is served before a key', () => {
		const random = Random.create(4);
		const keys = new Map<string, number>();
		const queue = WaitingQueue.create({levelOf, serviceMs: ({promptTokens}) => promptTokens, shareKeyOf: ({ask: {id}}) => keys.get(id)!});
		let all: WaitingRequest[] = [];
		for (let step = 0; step < 600; step += 1) {
			const waiting = makeWaiting(`r${step}`, random, 0);
			keys.set(waiting.ask.id, random.integer(0, 5));
			queue.add(waiting, 0);
			all.push(waiting);
			const removed = all[random.integer(0, all.length - 1)]!;
			if (random.next() < 0.4) {
				queue.delete(removed.ask.id);
				all = all.filter(other => other !== removed);
			}

			const order = [...queue].map(({ask}) => ask).map(({rank, id}) => (rank * 100) + keys.get(id)!);
			expect(order).to.deep.equal(order.toSorted((a, b) => a - b));
			const before = all.filter(({ask: {rank, id}}) => rank < 2 || (rank === 2 && keys.get(id)! <= 3));
			expect(queue.workMsBefore(4, 3)).to.be.closeTo(before.reduce((sum, {ask: {promptTokens}}) => sum + promptTokens, 0), 0.01);
			queue.refresh(0);
		}
	});

	it('computes the level of a single request per addition and none per removal, regardless of the queue length', () => {
		let levelCalls = 0;
		const random = Random.create(1);
		const queue = WaitingQueue.create({
			levelOf(waiting, now) {
				levelCalls += 1;
				return levelOf(waiting, now);
			},
			serviceMs: () => 1,
		});
		for (let index = 0; index < 10_000; index += 1) {
			queue.add(makeWaiting(`r${index}`, random, 0), 0);
		}

		expect(levelCalls).to.equal(10_000);
		for (let index = 0; index < 10_000; index += 2) {
			queue.delete(`r${index}`);
			queue.workMsUpTo(3);
		}

		expect(levelCalls).to.equal(10_000);
	});

	it('keeps a request once when it is added again', () => {
		const queue = WaitingQueue.create({levelOf, serviceMs: () => 1});
		const random = Random.create(1);
		queue.add(makeWaiting('r', random, 0), 0);
		queue.add(makeWaiting('r', random, 100), 100);
		expect(queue.size).to.equal(1);
		queue.delete('r');
		expect(queue.size).to.equal(0);
		expect(queue.workMsUpTo(100)).to.equal(0);
	});
});
