import {createHash} from 'node:crypto';
import {expect} from 'chai';
import {Allocator} from '../../src/allocation/allocator.js';
import {emptyReport} from '../../src/allocation/allocation.js';
import {globalScope, standaloneScope} from '../../src/allocation/scope.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {Operation, RoutingTable} from '../../src/gateway/routing-table.js';
import {UpstreamLimits} from '../../src/gateway/upstream-limits.js';
import {createPlaceRequest} from '../support/place-request.js';

const STEPS = 4000;
const endings = Object.values(Ending).toSorted();

/** @returns A digest of all decisions of a day in which load, faults, upstreams and the allocator's scope change at random. */
function digestOfDay(seed: number): string {
	const random = Random.create(seed);
	const clock = VirtualClock.create(100_000);
	const limits = UpstreamLimits.create();
	const hash = createHash('sha256');
	const allocator = Allocator.create({
		clock, random: Random.create(seed + 1), nodeId: 'day', repeatBounds: {ratio: 0.2, slack: 20, windowMs: 10_000}, quotaTolerance: {ratio: 0.1, slack: 10, windowMs: 8000}, limits,
	});
	allocator.setTable(RoutingTable.create({
		version: 1,
		routes: [],
		customers: Array.from({length: 5}, (_, index) => ({
			name: `c${index}`,
			apiKeys: [],
			rank: undefined,
			quota: index < 2
				? {
					perSecond: 20, burst: 30, isInTokens: false, plainTokens: 1,
				}
				: undefined,
		})),
		pools: ['engines', 'plain'].map(name => ({
			name, slots: 4, maxConnections: 100, isEngine: name === 'engines', tokensPerEvent: 4,
		})),
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		hasCustomers: true,
	}));
	const setUpstream = (index: number, startedAt: number, isLeaving = false) => {
		allocator.setUpstreams({
			changed: [{
				id: `u${index}`, pool: index % 3 === 0 ? 'plain' : 'engines', address: `u${index}:80`, dataCentre: `d${index % 2}`, region: `r${index % 2}`, slots: 4, isLeaving, startedAt,
			}], removed: [],
		});
	};

	for (let index = 0; index < 9; index += 1) {
		setUpstream(index, 0);
	}

	const release = (id: string) => {
		const isFailed = random.next() < 0.1;
		allocator.release(id, isFailed
			? emptyReport(random.pick(endings))
			: {
				ending: Ending.Answered, firstMs: random.integer(30, 400), streamMs: random.integer(50, 900), events: random.integer(1, 25), load: random.integer(0, 5),
			});
	};

	for (let step = 0; step < STEPS; step += 1) {
		const id = `q${step}`;
		const isStream = random.next() < 0.7;
		const remainingMs = random.integer(600, 8000);
		allocator.ask(createPlaceRequest(id, {
			pool: isStream ? 'engines' : 'plain', customer: `c${random.integer(0, 4)}`, rank: random.integer(0, 3),
			operation: isStream ? Operation.Stream : Operation.Safe,
			promptTokens: isStream ? random.integer(50, 6000) : 0, outputEvents: isStream ? random.integer(1, 30) : 0, quotaCost: 1,
			objectiveMs: random.integer(100, 600), remainingMs, callerLeavesMs: remainingMs, patienceMs: Math.min(remainingMs, 2000),
			maxPauseMs: 250, dataCentre: `d${random.integer(0, 1)}`, region: `r${random.integer(0, 1)}`,
			attempt: random.next() < 0.05 ? 2 : 1, fingerprint: `f${random.integer(0, 3000)}`,
		}), {
			grant(upstreamId, expectedFirstMs) {
				hash.update(`${clock.now()} ${id} ${upstreamId} ${expectedFirstMs}\n`);
				if (random.next() < 0.8) {
					clock.setTimer(random.integer(20, 150), () => {
						allocator.noteFirst(id, random.integer(20, 150));
					});
				}

				clock.setTimer(random.integer(150, 900), () => {
					release(id);
				});
			},
			refuse(kind, retryAfterMs) {
				hash.update(`${clock.now()} ${id} ${kind} ${retryAfterMs}\n`);
			},
		});
		if (random.next() < 0.02) {
			allocator.withdraw(`q${random.integer(0, step)}`);
		}

		if (random.next() < 0.01) {
			setUpstream(random.integer(0, 8), random.integer(0, 1), random.next() < 0.4);
		}

		if (random.next() < 0.004) {
			limits.note({id: `u${random.integer(0, 8)}`, startedAt: 0, perSecond: random.next() < 0.5 ? undefined : 3}, clock.now(), clock.now() + 1);
		}

		if (random.next() < 0.0005) {
			allocator.restart(random.next() < 0.5 ? globalScope(false) : standaloneScope(8));
		}

		clock.advance(random.exponential(step % 1000 < 400 ? 8 : 25));
	}

	return hash.digest('hex').slice(0, 16);
}

describe('decisions without the pressure contract', () => {
	// Guards against existing deployments that decide differently: digests of commit 7641fd3, before shares were added.
	it('are those that the allocator made before', () => {
		expect([1, 2, 3, 4, 5, 6].map(seed => digestOfDay(seed))).to.deep.equal([
			'c561ba1fb4d3a547', 'e41d7d7136aa2972', '887e16721f1461b6', '19e39bfb5d38bf02', '69d8043861d7f451', '7405f82356a8dc19',
		]);
	});
});
