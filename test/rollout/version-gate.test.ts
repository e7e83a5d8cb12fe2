import {expect} from 'chai';
import {Allocator} from '../../src/allocation/allocator.js';
import {emptyReport} from '../../src/allocation/allocation.js';
import {type PlacementFilter} from '../../src/allocation/placement-filter.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {UpstreamLimits} from '../../src/gateway/upstream-limits.js';
import {RolloutPhase} from '../../src/rollout/rollout-course.js';
import {VersionGate} from '../../src/rollout/version-gate.js';
import {VersionRule, versionRules, type PoolFacts} from '../../src/rollout/version-rules.js';
import {createPlaceRequest} from '../support/place-request.js';
import {createUpstreams, MemoryRows, RolloutVm} from '../support/rollout-vm.js';

const DAYS = 20;
const STEPS = 400;
const upstreams = createUpstreams('v1', 5);

/** @returns All decisions of one random day: bursts, failures, drained and added upstreams. */
function playDay(seed: number, filters: readonly PlacementFilter[]): string[] {
	const clock = VirtualClock.create();
	const random = Random.create(seed);
	const allocator = Allocator.create({
		clock, random: Random.create(seed + 1), nodeId: 'vm', repeatBounds: {ratio: 0.2, slack: 20, windowMs: 10_000}, quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000}, limits: UpstreamLimits.create(), filters,
	});
	const decisions: string[] = [];
	allocator.setUpstreams({changed: upstreams, removed: []});
	for (let step = 0; step < STEPS; step += 1) {
		if (random.next() < 0.02) {
			const upstream = random.pick(upstreams);
			allocator.setUpstreams(random.next() < 0.5 ? {changed: [], removed: [upstream.id]} : {changed: [{...upstream, isLeaving: random.next() < 0.3}], removed: []});
		}

		const id = `ask-${step}`;
		allocator.ask(createPlaceRequest(id, {rank: random.integer(0, 2), attempt: random.next() < 0.1 ? 2 : 1, excluded: random.next() < 0.1 ? [upstreams[0]!.id] : []}), {
			grant(upstreamId, expectedFirstMs) {
				decisions.push(`${id} at ${upstreamId} ${expectedFirstMs}`);
				clock.setTimer(random.integer(20, 400), () => {
					allocator.release(id, emptyReport(random.next() < 0.05 ? Ending.UpstreamError : Ending.Answered));
				});
			},
			refuse(kind, retryAfterMs) {
				decisions.push(`${id} ${kind} ${retryAfterMs}`);
			},
		});
		clock.advance(random.integer(0, 20));
	}

	clock.advance(10_000);
	return decisions;
}

describe('versions in force', () => {
	// Guards against decisions that change where nobody orders roll-outs.
	it('change no decision of the allocator while there is one version', () => {
		for (let seed = 1; seed <= DAYS; seed += 1) {
			const {gate} = RolloutVm.create(VirtualClock.create(), new MemoryRows()).rollouts;
			const open = VersionGate.create(new Map([['advice', {rules: new Map([['v1', VersionRule.Open]]), canary: undefined}]]));
			const decisions = playDay(seed, []);
			expect(playDay(seed, [gate]), `seed ${seed}`).to.deep.equal(decisions);
			expect(playDay(seed, [open]), `seed ${seed}`).to.deep.equal(decisions);
		}
	});

	// Guards against each version in each phase getting the requests of another one.
	it('follow the latest order and what became of it', () => {
		const orderedAt = {era: 1, version: 5};
		const record = {
			pool: 'advice', orderedAt, to: 'v2', periodMs: 1000, reason: '', base: ['v1'], rejected: ['v0'], ageMs: 0,
		};
		const facts: PoolFacts = {
			listed: new Map([['v0', 0], ['v1', 1], ['v2', 2], ['v3', 3]]), known: new Set(['v1']), record: undefined, order: undefined,
		};
		const later = {
			pool: 'advice', to: 'v3', periodMs: 1000, orderedAt: {era: 1, version: 9},
		};
		const rulesOf = (changes: Partial<PoolFacts>) => [...versionRules({...facts, ...changes}).values()].join(' ');
		expect(rulesOf({})).to.equal('held open held held');
		expect(rulesOf({order: {...later, to: 'v2'}})).to.equal('held open canary held');
		expect(rulesOf({record: {...record, phase: RolloutPhase.Canary}})).to.equal('closed open canary held');
		expect(rulesOf({record: {...record, phase: RolloutPhase.Switching}})).to.equal('closed closed open closed');
		expect(rulesOf({record: {...record, phase: RolloutPhase.Completed}})).to.equal('closed closed open held');
		expect(rulesOf({record: {...record, phase: RolloutPhase.RolledBack}})).to.equal('closed open closed held');
		expect(rulesOf({record: {...record, phase: RolloutPhase.Canary}, order: later})).to.equal('closed open closed canary');
		expect(rulesOf({record: {...record, phase: RolloutPhase.Completed}, known: new Set(['v1', 'v2']), order: later})).to.equal('closed closed open canary');
		expect(rulesOf({record: {...record, phase: RolloutPhase.Completed}, order: {...later, to: 'v2'}})).to.equal('closed closed open held');
		expect(rulesOf({record: {...record, phase: RolloutPhase.RolledBack}, order: {...later, to: 'v2'}})).to.equal('closed open canary held');
		expect(rulesOf({listed: new Map([['v3', 3]])})).to.equal('open');
		expect(rulesOf({listed: new Map([['v1', 1], ['v3', 3]]), record: {...record, phase: RolloutPhase.Completed}})).to.equal('closed open');
		expect(rulesOf({listed: new Map([['v2', 2]]), record: {...record, phase: RolloutPhase.Canary}})).to.equal('canary');
		expect(rulesOf({listed: new Map([['v2', 2]]), record: {...record, phase: RolloutPhase.RolledBack}})).to.equal('closed');
	});
});
