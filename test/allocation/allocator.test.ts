import {expect} from 'chai';
import {Allocator} from '../../src/allocation/allocator.js';
import {type PlaceRequest, emptyReport, type PlaceReport} from '../../src/allocation/allocation.js';
import {globalScope, standaloneScope} from '../../src/allocation/scope.js';
import {ErrorKind} from '../../src/base/errors.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {Operation, RoutingTable, type Customer} from '../../src/gateway/routing-table.js';
import {UpstreamLimits} from '../../src/gateway/upstream-limits.js';
import {type Upstream} from '../../src/gateway/upstream-list.js';
import {createPlaceRequest} from '../support/place-request.js';

const engineCount = 3;
const slots = 4;

function makeUpstream(index: number, changes: Partial<Upstream> = {}): Upstream {
	return {
		id: `engine-${index}`, pool: 'advice', address: `10.0.0.${index}:80`, dataCentre: 'a', region: 'r', slots, isLeaving: false, startedAt: 0, ...changes,
	};
}

function makeTable(customers: readonly Customer[] = []): RoutingTable {
	return RoutingTable.create({
		version: 1,
		routes: [],
		customers,
		pools: [{
			name: 'advice', slots, maxConnections: 100, isEngine: true, tokensPerEvent: 4,
		}],
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		hasCustomers: customers.length > 0,
	});
}

/** @returns A request for a place at an engine. */
function makeEngineRequest(id: string, changes: Partial<PlaceRequest> = {}): PlaceRequest {
	return createPlaceRequest(id, {
		operation: Operation.Stream, promptTokens: 1000, outputEvents: 20, objectiveMs: 500, remainingMs: 10_000, callerLeavesMs: 10_000, patienceMs: 2000, maxPauseMs: 250, ...changes,
	});
}

const answered: PlaceReport = {
	ending: Ending.Answered, firstMs: 70, streamMs: 300, events: 20, load: undefined,
};
const lost: PlaceReport = {
	ending: Ending.Lost, firstMs: undefined, streamMs: 0, events: 0, load: undefined,
};

describe('allocator', () => {
	let clock: VirtualClock;
	let allocator: Allocator;
	let granted: Map<string, string>;
	let refused: Map<string, {kind: ErrorKind; retryAfterMs: number}>;

	beforeEach(() => {
		clock = VirtualClock.create();
		clock.advance(100_000);
		granted = new Map();
		refused = new Map();
		allocator = Allocator.create({
			clock, random: Random.create(1), nodeId: 'test', repeatBounds: {ratio: 0.2, slack: 20, windowMs: 10_000}, quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000}, limits: UpstreamLimits.create(),
		});
		allocator.setTable(makeTable());
		allocator.setUpstreams({changed: Array.from({length: engineCount}, (_, index) => makeUpstream(index)), removed: []});
	});

	function ask(id: string, changes: Partial<PlaceRequest> = {}): void {
		allocator.ask(makeEngineRequest(id, changes), {
			grant(upstreamId) {
				granted.set(id, upstreamId);
			},
			refuse(kind, retryAfterMs) {
				refused.set(id, {kind, retryAfterMs});
			},
		});
	}

	function fillEngines(): void {
		for (let index = 0; index < engineCount * slots; index += 1) {
			ask(`filler-${index}`);
		}
	}

	/** Fills all engines and the queue, so that further requests of a lower rank are refused immediately. */
	function overload(): void {
		fillEngines();
		for (let index = 0; index < 200; index += 1) {
			ask(`queue-${index}`, {rank: 0, remainingMs: 60_000, patienceMs: 60_000});
		}
	}

	// Guards against streams that were silent for a while and went on using up the retry budget.
	it('gives a retry back to the budget when its request is withdrawn before it gets a place', () => {
		fillEngines();
		for (let index = 0; index < 100; index += 1) {
			ask(`stalled-${index}`, {attempt: 2, patienceMs: 9000});
			allocator.withdraw(`stalled-${index}`);
		}

		ask('broken', {attempt: 2, patienceMs: 9000});
		expect([...refused]).to.deep.equal([]);
		allocator.release('filler-0', answered);
		expect(granted.has('broken')).to.equal(true);
	});

	// Guards against retried requests taking the places of new ones in a load spike, so that both miss their objective. On
	// the mahabir site (grown, scale-1), this made 2,500 of the 9,500 requests of the least important kind late.
	it('serves a new request before one that is retried after a refusal and has missed its objective', () => {
		const objectives = new Map<string, number>();
		allocator.onDecision = ({ask: {id}, objectiveMs}) => {
			objectives.set(id, objectiveMs);
		};

		overload();
		ask('first-try', {
			rank: 2, fingerprint: 'same', patienceMs: 600, remainingMs: 10_000, callerLeavesMs: 10_000,
		});
		expect(refused.get('first-try')?.kind).to.equal(ErrorKind.Overloaded);
		for (const [id] of granted) {
			allocator.release(id, answered);
		}

		allocator.restart(globalScope(true));
		fillEngines();
		clock.advance(2000);
		ask('second-try', {
			rank: 2, fingerprint: 'same', remainingMs: 8000, callerLeavesMs: 8000,
		});
		ask('new', {rank: 2, fingerprint: 'other'});
		granted.clear();
		allocator.release('filler-0', answered);
		expect([...granted.keys()]).to.deep.equal(['new']);
		allocator.release('filler-1', answered);
		expect([...granted.keys()]).to.deep.equal(['new', 'second-try']);
		expect(objectives.get('new')).to.equal(500);
		expect(objectives.get('second-try')).to.be.within(-1500, -1400);
	});

	it('counts the objective of a retried request from the first attempt, which failed at an upstream', () => {
		ask('first-try', {fingerprint: 'same'});
		allocator.release('first-try', {...lost, ending: Ending.UpstreamError});
		fillEngines();
		clock.advance(1000);
		ask('second-try', {fingerprint: 'same', remainingMs: 9000, callerLeavesMs: 9000});
		ask('new', {fingerprint: 'other'});
		granted.clear();
		allocator.release('filler-0', answered);
		expect([...granted.keys()]).to.deep.equal(['new']);
	});

	it('treats an identical request of another caller, who disconnects at another time, as new', () => {
		ask('first-try', {fingerprint: 'same'});
		allocator.release('first-try', {...lost, ending: Ending.UpstreamError});
		fillEngines();
		clock.advance(1000);
		ask('equal', {fingerprint: 'same', remainingMs: 10_000, callerLeavesMs: 10_000});
		ask('new', {fingerprint: 'other'});
		granted.clear();
		allocator.release('filler-0', answered);
		expect([...granted.keys()]).to.deep.equal(['equal']);
	});

	it('never gives an upstream more requests than it has slots', () => {
		for (let index = 0; index < 100; index += 1) {
			ask(`request-${index}`, {remainingMs: 60_000, patienceMs: 60_000});
		}

		const counts = new Map<string, number>();
		for (const upstreamId of granted.values()) {
			counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1);
		}

		expect([...counts.values()]).to.deep.equal([slots, slots, slots]);
	});

	it('serves the more important request first when a place becomes free under overload', () => {
		fillEngines();
		ask('lesser', {rank: 2});
		ask('greater', {rank: 0});
		allocator.release('filler-0', answered);
		expect(granted.has('greater')).to.equal(true);
		expect(granted.has('lesser')).to.equal(false);
	});

	it('serves a request that can be on time before a late one of the next higher rank, but not before one two ranks higher', () => {
		fillEngines();
		ask('late', {rank: 0, objectiveMs: -1});
		ask('on time', {rank: 1});
		allocator.release('filler-0', answered);
		expect([...granted.keys()].at(-1)).to.equal('on time');
		ask('least', {rank: 2});
		allocator.release('filler-1', answered);
		expect([...granted.keys()].at(-1)).to.equal('late');
	});

	it('refuses a request immediately if its caller would disconnect before its turn, with a Retry-After beyond the load spike', () => {
		fillEngines();
		for (let index = 0; index < 200; index += 1) {
			ask(`queued-${index}`);
		}

		const {kind, retryAfterMs} = refused.get('queued-199')!;
		expect(kind).to.equal(ErrorKind.Overloaded);
		expect(retryAfterMs).to.be.within(1000, 10_000 / 3);
		expect(refused.has('queued-0')).to.equal(false);
	});

	it('refuses a waiting request that will not get a place in time', () => {
		fillEngines();
		ask('short', {patienceMs: 600});
		clock.advance(700);
		expect(refused.get('short')?.kind).to.equal(ErrorKind.DeadlineUnreachable);
	});

	it('does not use upstreams that are leaving', () => {
		allocator.setUpstreams({changed: [makeUpstream(0, {isLeaving: true}), makeUpstream(1, {isLeaving: true})], removed: []});
		ask('a');
		ask('b');
		expect([...new Set(granted.values())]).to.deep.equal(['engine-2']);
	});

	it('refuses with the reason when there is no upstream', () => {
		allocator.setUpstreams({changed: [], removed: ['engine-0', 'engine-1', 'engine-2']});
		ask('a');
		expect(refused.get('a')?.kind).to.equal(ErrorKind.NoUpstream);
	});

	it('limits a customer that sends many times its usual load to its quota, and no other customer', () => {
		allocator.setTable(makeTable([{
			name: 'hot', apiKeys: [], rank: undefined, quota: {
				perSecond: 1000, burst: 2000, isInTokens: true, plainTokens: 100,
			},
		}]));
		for (let index = 0; index < 4; index += 1) {
			ask(`hot-${index}`, {customer: 'hot', quotaCost: 1000});
		}

		ask('other', {customer: 'other', quotaCost: 1000});
		expect(refused.get('hot-2')?.kind).to.equal(ErrorKind.RateLimited);
		expect(refused.get('hot-2')?.retryAfterMs).to.be.within(700, 1300);
		expect(granted.has('other')).to.equal(true);
	});

	it('refunds the quota of a refused request', () => {
		allocator.setTable(makeTable([{
			name: 'large', apiKeys: [], rank: undefined, quota: {
				perSecond: 1, burst: 1000, isInTokens: true, plainTokens: 100,
			},
		}]));
		fillEngines();
		ask('first', {customer: 'large', quotaCost: 1000, patienceMs: 500});
		clock.advance(600);
		allocator.release('filler-0', answered);
		ask('second', {customer: 'large', quotaCost: 1000});
		expect(refused.has('first')).to.equal(true);
		expect(granted.has('second')).to.equal(true);
	});

	it('charges the quota once for a request whose place was released unused', () => {
		allocator.setTable(makeTable([{
			name: 'large', apiKeys: [], rank: undefined, quota: {
				perSecond: 1, burst: 1000, isInTokens: true, plainTokens: 100,
			},
		}]));
		ask('first', {customer: 'large', quotaCost: 1000});
		allocator.release('first', emptyReport(Ending.Cancelled));
		ask('again', {customer: 'large', quotaCost: 1000, isCharged: true});
		expect(granted.has('again')).to.equal(true);
		ask('other', {customer: 'large', quotaCost: 1000});
		expect(refused.get('other')?.kind).to.equal(ErrorKind.RateLimited);
	});

	it('limits retries when all upstreams fail', () => {
		let repeats = 0;
		for (let index = 0; index < 100; index += 1) {
			ask(`request-${index}`);
			allocator.release(`request-${index}`, lost);
			ask(`repeat-${index}`, {attempt: 2});
			repeats += granted.has(`repeat-${index}`) ? 1 : 0;
			allocator.release(`repeat-${index}`, lost);
			clock.advance(50);
		}

		expect(repeats).to.be.at.most((0.2 * 100) + 20);
	});

	it('allows a successor a tenth of the retry slack', () => {
		const countRetries = (isFirst: boolean) => {
			allocator.restart(globalScope(isFirst));
			let repeats = 0;
			for (let index = 0; index < 40; index += 1) {
				ask(`repeat-${isFirst}-${index}`, {attempt: 2});
				repeats += granted.has(`repeat-${isFirst}-${index}`) ? 1 : 0;
				allocator.release(`repeat-${isFirst}-${index}`, lost);
			}

			clock.advance(20_000);
			return repeats;
		};

		expect(countRetries(true)).to.equal(9);
		expect(countRetries(false)).to.equal(2);
	});

	// Guards against a standalone VM counting a request again each time its customer's quota makes it wait.
	it('counts a request once towards the retry budget if it waits for a share of a quota', () => {
		allocator.setTable(makeTable([{
			name: 'hot', apiKeys: [], rank: undefined, quota: {
				perSecond: 2, burst: 2, isInTokens: false, plainTokens: 1,
			},
		}]));
		allocator.restart(standaloneScope(2));
		const requestCount = 20;
		for (let index = 0; index < requestCount; index += 1) {
			ask(`hot-${index}`, {customer: 'hot', quotaCost: 1, patienceMs: 1800});
			clock.advance(100);
		}

		clock.advance(2000);
		let retries = 0;
		for (let index = 0; index < 40; index += 1) {
			ask(`retry-${index}`, {attempt: 2});
			retries += granted.has(`retry-${index}`) ? 1 : 0;
			allocator.release(`retry-${index}`, answered);
		}

		const slackOfVm = 20 * 0.45 * 0.25;
		expect(retries).to.equal(Math.floor((0.2 * requestCount) + slackOfVm));
	});

	it('quarantines a request that crashes upstreams, and not one that succeeds', () => {
		for (let index = 0; index < engineCount; index += 1) {
			ask(`poison-${index}`, {fingerprint: 'poison', excluded: Array.from({length: index}, (_, other) => `engine-${other}`)});
			allocator.release(`poison-${index}`, lost);
			ask(`innocent-${index}`, {fingerprint: 'innocent'});
			allocator.release(`innocent-${index}`, answered);
		}

		clock.advance(5000);
		ask('poison again', {fingerprint: 'poison'});
		ask('innocent again', {fingerprint: 'innocent'});
		expect(refused.get('poison again')?.kind).to.equal(ErrorKind.CrashSuspect);
		expect(granted.has('innocent again')).to.equal(true);
	});

	// Guards against a verdict that holds only for requests that come after it.
	it('refuses waiting requests with a part that crashes upstreams', () => {
		const features = (id: string, part: string) => ({features: [id, `part:${part}`]});
		const patient = {remainingMs: 60_000, patienceMs: 60_000};
		const excluded: string[] = [];
		for (const id of ['first', 'second', 'third']) {
			ask(id, {...features(id, 'dead'), excluded: [...excluded]});
			excluded.push(granted.get(id)!);
		}

		for (const id of ['sound-1', 'sound-2', 'sound-3', 'sound-4']) {
			ask(id, features(id, 'sound'));
		}

		fillEngines();
		for (let index = 0; index < 10; index += 1) {
			ask(`ahead-${index}`, {...patient, rank: 0});
		}

		ask('waiting', {...features('waiting', 'dead'), ...patient, rank: 2});
		ask('waiting too', {...features('waiting too', 'sound'), ...patient, rank: 2});
		allocator.release('first', lost);
		for (const id of ['sound-1', 'sound-2', 'sound-3', 'sound-4']) {
			allocator.release(id, answered);
		}

		clock.advance(200);
		allocator.release('second', lost);
		clock.advance(200);
		expect(refused.has('waiting')).to.equal(false);
		allocator.release('third', lost);
		expect(refused.get('waiting')?.kind).to.equal(ErrorKind.CrashSuspect);
		expect(refused.has('waiting too')).to.equal(false);
	});

	it('moves load away from an upstream that is three times slower', () => {
		for (let round = 0; round < 30; round += 1) {
			const id = `round-${round}`;
			ask(id);
			const isSlow = granted.get(id) === 'engine-0';
			allocator.noteFirst(id, isSlow ? 210 : 70);
			allocator.release(id, {...answered, streamMs: isSlow ? 900 : 300});
			clock.advance(100);
		}

		for (let index = 0; index < 6; index += 1) {
			ask(`probe-${index}`);
		}

		const slow = [...granted].filter(([id, upstreamId]) => id.startsWith('probe') && upstreamId === 'engine-0');
		expect(slow).to.have.length.at.most(1);
	});

	it('ejects an upstream that refuses connections, and probes it again later', () => {
		const usedBy = (id: string) => granted.get(id);
		ask('a', {excluded: ['engine-1', 'engine-2']});
		allocator.release('a', {...lost, ending: Ending.NotConnected});
		for (let index = 0; index < 8; index += 1) {
			ask(`b-${index}`);
			expect(usedBy(`b-${index}`)).to.not.equal('engine-0');
		}

		clock.advance(1000);
		for (let index = 0; index < 4; index += 1) {
			ask(`c-${index}`, {excluded: ['engine-1', 'engine-2']});
		}

		expect(granted.has('c-0')).to.equal(true);
		expect(granted.has('c-1')).to.equal(false);
		allocator.release('c-0', answered);
		expect(granted.has('c-3')).to.equal(true);
	});

	it('counts the held places that it takes over', () => {
		const places = Array.from({length: slots}, (_, index) => ({
			ask: makeEngineRequest(`held-${index}`), upstreamId: 'engine-0', heldMs: 100, hasFirst: true,
		}));
		allocator.restart(globalScope(true));
		allocator.adopt(places);
		fillEngines();
		expect([...granted.values()].filter(id => id === 'engine-0')).to.deep.equal([]);
		expect(granted.size).to.equal((engineCount - 1) * slots);
	});

	it('reclaims a place that was never released', () => {
		fillEngines();
		clock.advance(9000);
		ask('later');
		expect(granted.has('later')).to.equal(false);
		clock.advance(1900);
		ask('much later');
		clock.advance(1200);
		expect(granted.has('much later')).to.equal(true);
	});

	it('uses the reported load of an upstream when it runs standalone', () => {
		allocator.restart({
			share: 0.1, quotaInitialFill: 1, isSuccessor: false, isStandalone: true,
		});
		ask('a', {excluded: ['engine-1', 'engine-2']});
		allocator.release('a', {...answered, load: slots});
		for (let index = 0; index < 2 * slots; index += 1) {
			ask(`b-${index}`);
		}

		expect([...granted].filter(([id, upstreamId]) => id.startsWith('b') && upstreamId === 'engine-0')).to.deep.equal([]);
	});
});
