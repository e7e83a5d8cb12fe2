import {expect} from 'chai';
import fc from 'fast-check';
import {Quotas} from '../../src/allocation/quotas.js';
import {ErrorKind} from '../../src/base/errors.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {Operation} from '../../src/gateway/routing-table.js';
import {decodeFromLeader, decodeFromPeer, decodeToVm} from '../../src/link/message-schemas.js';
import {RolloutPhase} from '../../src/rollout/rollout-course.js';
import {type FromLeader, type ToLeader, type ToPeer} from '../../src/link/messages.js';
import {parseJson} from '../../src/base/parse-json.js';
import {foreignText} from '../support/foreign-values.js';
import {createPlaceRequest} from '../support/place-request.js';

const member = {
	name: 'vm', frontAddress: '10.0.0.1:80', linkAddress: '10.0.0.1:81', dataCentre: 'a', region: 'r', strength: 0.7, boot: 'b', isReady: true,
};
const leader = {
	name: 'vm', linkAddress: '10.0.0.1:81', boot: 'b', term: {era: 0, version: 3}, vmCount: 1,
};
const ask = createPlaceRequest('vm-1', {customer: 'c', excluded: ['x'], objectiveMs: -3});
const limits = [{
	id: 'x', startedAt: 1, perSecond: 0.5, ageMs: 3,
}, {
	id: 'y', startedAt: 1, perSecond: undefined, ageMs: 3,
}];
const suspicions = [{
	feature: 'f', crashes: ['c'], agesMs: [1], pool: 'p', companions: ['f'], seenBy: ['n'], isCleared: false, quarantinedMs: 0, remainingMs: 10,
}];
const upstream = {
	id: 'x', pool: 'p', address: '10.0.0.2:80', dataCentre: 'a', region: 'r', slots: 4, isLeaving: false, startedAt: 9,
};
const configuration = {
	version: 3,
	routes: [{
		name: 'r', host: 'h', prefix: '/', operation: Operation.Stream, timeoutMs: 1000, objectiveMs: 100, rank: 0, targets: [{pool: 'p', weight: 1}], maxAttempts: 2, isPublic: false, isResumable: true, maxPauseMs: 300,
	}],
	customers: [{
		name: 'c', apiKeys: ['k'], rank: 1, quota: {
			perSecond: 1, burst: 2, isInTokens: true, plainTokens: 3,
		},
	}],
	pools: [{
		name: 'p', slots: 4, maxConnections: 9, isEngine: true, tokensPerEvent: 3,
	}],
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4,
	},
	hasCustomers: true,
};
const rollouts = [{pool: 'p', known: ['v1']}, {
	pool: 'q',
	known: ['v1', 'v2'],
	record: {
		pool: 'q', orderedAt: {era: 1, version: 4}, to: 'v2', periodMs: 12_000, phase: RolloutPhase.Canary, reason: '', base: ['v1'], rejected: [], ageMs: 3.5,
	},
}];
const report = {
	ending: Ending.Answered, firstMs: 3.5, streamMs: 1, events: 2, load: 3,
};
const toVm: ReadonlyArray<ToLeader | ToPeer> = [
	{kind: 'hello', member, configurationVersion: 0},
	{
		kind: 'places', places: [{
			ask, upstreamId: 'x', heldMs: 1.5, hasFirst: true,
		}],
	},
	{kind: 'member', member},
	{kind: 'ask', ask},
	{kind: 'ask', ask: {...ask, customer: undefined}},
	{kind: 'withdraw', id: 'vm-1'},
	{kind: 'first', id: 'vm-1', ms: 2.5},
	{
		kind: 'first', id: 'vm-1', ms: 2.5, pace: {factor: 2.5, ageMs: 80},
	},
	{kind: 'ask', ask: {...ask, maxOutputTokens: 300}},
	{kind: 'release', id: 'vm-1', report},
	{kind: 'release', id: 'vm-1', report: {...report, pace: {factor: 0.9, ageMs: 0}}},
	{kind: 'release', id: 'vm-1', report: {...report, firstMs: undefined, load: undefined}},
	{kind: 'leaving', boots: [{id: 'x', startedAt: 1}]},
	{kind: 'departed', departures: [{id: 'x', startedAt: 1, era: 2}]},
	{kind: 'limits', limits},
	{kind: 'suspicions', suspicions},
	{kind: 'rollouts', rollouts},
	{kind: 'rollouts-known', revision: 3},
	{kind: 'need-configuration'},
	{kind: 'configuration', configuration},
	{kind: 'beat'},
	{kind: 'leading', leader},
	{kind: 'probe', leaderBoot: 'b'},
];
const fromLeader: readonly FromLeader[] = [
	{kind: 'not-leader', leader: undefined},
	{kind: 'not-leader', leader},
	{kind: 'welcome', leader},
	{
		kind: 'grant', id: 'vm-1', upstreamId: 'x', expectedFirstMs: 12,
	},
	{
		kind: 'refuse', id: 'vm-1', error: ErrorKind.Overloaded, retryAfterMs: 12.5,
	},
	{
		kind: 'upstreams', isWhole: true, changed: [upstream], removed: ['y'],
	},
	{kind: 'departed', departures: [{id: 'x', startedAt: 1, era: 2}]},
	{kind: 'limits', limits},
	{kind: 'suspicions', suspicions},
	{kind: 'rollouts', revision: 3, rollouts},
	{
		kind: 'members', isWhole: false, changed: [member], removed: ['y'],
	},
	{kind: 'renewed', leader},
	{kind: 'take-over'},
	{kind: 'version', version: 3},
	{kind: 'configuration', configuration},
	{kind: 'need-configuration'},
	{kind: 'paces', paces: [['x', 1.5]]},
	{kind: 'beat', reachesStore: true},
];

/** @returns What arrives when a message is sent. */
function sent(message: unknown): unknown {
	return parseJson(JSON.stringify(message));
}

describe('messages between VMs', () => {
	it('arrive as they were sent', () => {
		for (const message of toVm) {
			expect(decodeToVm(sent(message)).unwrapOr(undefined), message.kind).to.deep.equal(sent(message));
		}

		for (const message of fromLeader) {
			expect(decodeFromLeader(sent(message)).unwrapOr(undefined), message.kind).to.deep.equal(sent(message));
		}

		expect(decodeFromPeer({kind: 'sight', hearsLeader: true}).unwrapOr(undefined)).to.deep.equal({kind: 'sight', hearsLeader: true});
	});

	it('of unknown kinds are ignored, and unknown fields are left out', () => {
		for (const decode of [decodeToVm, decodeFromLeader, decodeFromPeer]) {
			expect(decode({kind: 'new', member: 7}).unwrapOr({kind: 'beat'})).to.equal(undefined);
			expect(decode({kind: 'constructor'}).unwrapOr({kind: 'beat'})).to.equal(undefined);
		}

		expect(decodeToVm({kind: 'beat', added: 1}).unwrapOr(undefined)).to.deep.equal({kind: 'beat'});
	});

	// Guards against a message of another process that ends the VM that reads it, or gives it a value that it cannot use.
	it('of any shape are refused with a reason, or have usable fields only', () => {
		const anyToVm = fc.constantFrom(...toVm).chain(message => foreignText(sent(message)));
		const anyFromLeader = fc.constantFrom(...fromLeader).chain(message => foreignText(sent(message)));
		fc.assert(fc.property(anyToVm, anyFromLeader, (toVmText, fromLeaderText) => {
			for (const decoded of [decodeToVm(parseJson(toVmText)), decodeFromLeader(parseJson(fromLeaderText)), decodeFromPeer(parseJson(toVmText))]) {
				if (decoded.isErr) {
					expect(decoded.error).to.have.length.within(1, 1000);
				} else {
					expect(() => JSON.stringify(decoded.value)).to.not.throw();
				}
			}
		}), {numRuns: 2000});
	});

	it('are refused for a value that cannot be used', () => {
		for (const [decode, message] of [
			[decodeToVm, {kind: 'leading', leader: {...leader, linkAddress: '10.0.0.1:70000'}}],
			[decodeToVm, {kind: 'hello', member: {...member, linkAddress: 'host:80'}, configurationVersion: 0}],
			[decodeToVm, {kind: 'hello'}],
			[decodeToVm, {kind: 'ask', ask: {...ask, quotaCost: -1}}],
			[decodeToVm, {kind: 'release', id: 'vm-1', report: {...report, ending: 'other'}}],
			[decodeToVm, {
				kind: 'first', id: 'vm-1', ms: 1, pace: {factor: 0, ageMs: 1},
			}],
			[decodeFromLeader, {
				kind: 'refuse', id: 'vm-1', error: 'constructor', retryAfterMs: 1,
			}],
			[decodeFromLeader, {
				kind: 'upstreams', isWhole: true, changed: [{...upstream, id: 'a\nb'}], removed: [],
			}],
			[decodeFromLeader, {kind: 'configuration', configuration: {...configuration, limits: {...configuration.limits, idleTimeoutMs: 1e12}}}],
			[decodeFromLeader, {kind: 'version', version: null}],
		] as const) {
			expect(decode(message).isErr, JSON.stringify(message)).to.equal(true);
		}
	});

	// Guards against refusals that close the link: JSON carries no infinity.
	it('carry refusals by a quota of which nothing may be granted', () => {
		const quotas = Quotas.create({ratio: 0.1, slack: 100, windowMs: 8000});
		quotas.setCustomers([{
			name: 'hot', apiKeys: [], rank: undefined, quota: {
				perSecond: 10, burst: 400, isInTokens: false, plainTokens: 1,
			},
		}], 0);
		quotas.setShare(0.25, 0);
		const waits = Array.from({length: 20}, () => quotas.spend('hot', 1, false, 0)).filter(ms => ms > 0);
		expect(waits).to.have.length.above(0);
		for (const retryAfterMs of waits) {
			const refusal: FromLeader = {
				kind: 'refuse', id: 'a', error: ErrorKind.RateLimited, retryAfterMs,
			};
			expect(decodeFromLeader(parseJson(JSON.stringify(refusal))).isOk, String(retryAfterMs)).to.equal(true);
		}
	});
});
