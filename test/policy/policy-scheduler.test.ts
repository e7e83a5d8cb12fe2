import {expect} from 'chai';
import fc from 'fast-check';
import {ErrorKind} from '../../src/base/errors.js';
import {WorkOutcome} from '../../src/policy/scheduler.js';
import {
	makeScheduler, makeView, makeWork, POOL,
} from './support.js';

const ONE_SLOT = makeView('a', {maxConcurrency: 1});

describe('PolicyScheduler', () => {
	it('sends waiting work to an upstream that returned from ejection (guards against an upstream that never leaves probation)', () => {
		const {scheduler, clock, started} = makeScheduler();
		scheduler.setUpstreams(['a', 'b', 'c'].map(id => makeView(id, {maxConcurrency: 1})));
		for (let index = 0; index < 400; index++) {
			scheduler.submit(makeWork(`w${index}`));
		}

		const finish = (upstreamId: string, outcome: WorkOutcome) => {
			const index = started.findIndex(entry => entry.upstreamId === upstreamId);
			if (index !== -1) {
				const [entry] = started.splice(index, 1);
				scheduler.noteFinished(entry!.work.id, outcome);
			}
		};

		finish('b', WorkOutcome.Lost);
		finish('b', WorkOutcome.Lost);
		// The others free a slot every 10 ms, which makes waiting for them cheaper than an upstream on probation.
		for (let index = 0; index < 150; index++) {
			clock.advance(10);
			finish('a', WorkOutcome.Done);
			finish('c', WorkOutcome.Done);
		}

		expect(started.map(({upstreamId}) => upstreamId)).to.include('b');
	});

	// Guards against an engine with more requests than it takes after its assignment moved away and back.
	it('counts the running requests of an upstream that is removed and returns', () => {
		const {scheduler, started} = makeScheduler();
		scheduler.setUpstreams([ONE_SLOT]);
		scheduler.submit(makeWork('running'));
		scheduler.setUpstreams([]);
		scheduler.setUpstreams([ONE_SLOT]);
		scheduler.submit(makeWork('waiting'));
		expect(started.map(({work}) => work.id)).to.deep.equal(['running']);
		scheduler.noteFinished('running', WorkOutcome.Done);
		expect(started.map(({work}) => work.id)).to.deep.equal(['running', 'waiting']);
	});

	it('starts the highest-priority waiting tier first (guards against arrival order across tiers)', () => {
		const {scheduler, started} = makeScheduler();
		scheduler.setUpstreams([ONE_SLOT]);
		for (const [id, tier] of [['first', 4], ['low', 4], ['high', 0]] as const) {
			scheduler.submit(makeWork(id, {tier}));
		}

		scheduler.noteFinished('first', WorkOutcome.Done);
		expect(started.map(({work}) => work.id)).to.deep.equal(['first', 'high']);
	});

	it('refuses work whose deadline can no longer be met (guards against late work occupying slots)', () => {
		const {scheduler, clock, refused} = makeScheduler();
		scheduler.setUpstreams([ONE_SLOT]);
		scheduler.submit(makeWork('running'));
		scheduler.submit(makeWork('waiting', {deadlineAt: 1000}));
		clock.advance(1100);
		expect(refused.map(({work, kind}) => [work.id, kind])).to.deep.equal([['waiting', ErrorKind.DeadlineUnreachable]]);
	});

	it('bounds the queue and sheds the lowest tier, including work that already waits (guards against refusing a high-priority arrival)', () => {
		const {scheduler, refused} = makeScheduler({maxWaiting: 2});
		scheduler.setUpstreams([ONE_SLOT]);
		for (const [id, tier] of [['running', 0], ['low', 4], ['mid', 4], ['high', 0]] as const) {
			scheduler.submit(makeWork(id, {tier}));
		}

		expect(refused.map(({work, kind}) => [work.id, kind])).to.deep.equal([['mid', ErrorKind.Overloaded]]);
	});

	it('signals pressure before it sheds a tier and then blocks lower tiers (guards against priority inversions across nodes)', () => {
		const {scheduler, clock, refused, pressuredTiers} = makeScheduler();
		scheduler.setUpstreams([ONE_SLOT]);
		scheduler.submit(makeWork('running'));
		scheduler.submit(makeWork('high', {tier: 1, deadlineAt: 1000}));
		clock.advance(900);
		expect([pressuredTiers.includes(1), refused.length]).to.deep.equal([true, 0]);
		clock.advance(200);
		scheduler.noteFinished('running', WorkOutcome.Done);
		scheduler.submit(makeWork('low', {tier: 3}));
		expect(refused.map(({work}) => work.id)).to.deep.equal(['high', 'low']);
	});

	it('blocks lower tiers while another node signals pressure (guards against ignored pressure signals)', () => {
		const {scheduler, clock, started, refused} = makeScheduler();
		scheduler.setUpstreams([ONE_SLOT]);
		scheduler.setPressure(POOL, 1, 2000);
		scheduler.submit(makeWork('low', {tier: 2}));
		scheduler.submit(makeWork('same', {tier: 1}));
		expect([refused.length, started.length]).to.deep.equal([1, 1]);
		scheduler.noteFinished('same', WorkOutcome.Done);
		clock.advance(4100);
		scheduler.submit(makeWork('later', {tier: 2}));
		expect(started.at(-1)?.work.id).to.equal('later');
	});

	it('blocks lower tiers for longer than the interval between pressure signals (guards against lower-tier starts on other nodes within 2 s of the last shed)', () => {
		const {scheduler, clock, started, refused} = makeScheduler();
		scheduler.setUpstreams([ONE_SLOT]);
		scheduler.setPressure(POOL, 1, 2000);
		clock.advance(2200);
		scheduler.submit(makeWork('low', {tier: 2}));
		expect([started.length, refused.length]).to.deep.equal([0, 1]);
	});

	it('never sheds a tier before lower-priority work in random runs (guards against P2 violations)', () => {
		const step = fc.record({tier: fc.integer({min: 0, max: 4}), wait: fc.integer({min: 0, max: 400}), finishes: fc.boolean()});
		fc.assert(fc.property(fc.array(step, {maxLength: 120}), steps => {
			// The invariants throw on a violation.
			const {scheduler, clock, started} = makeScheduler({maxWaiting: 6});
			scheduler.setUpstreams([makeView('a', {maxConcurrency: 2}), makeView('b', {maxConcurrency: 1})]);
			const answered = new Set<string>();
			for (const [index, {tier, wait, finishes}] of steps.entries()) {
				scheduler.submit(makeWork(`w${index}`, {tier, deadlineAt: clock.now() + 800}));
				clock.advance(wait);
				const running = started.find(({work}) => !answered.has(work.id));
				if (finishes && running !== undefined) {
					answered.add(running.work.id);
					scheduler.noteFinished(running.work.id, WorkOutcome.Done);
				}
			}
		}), {seed: 7, numRuns: 200});
	});

	it('starts or refuses each request exactly once in random runs (guards against lost or duplicated requests)', () => {
		const step = fc.record({tier: fc.integer({min: 0, max: 4}), wait: fc.integer({min: 0, max: 300})});
		fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
			const {scheduler, clock, started, refused} = makeScheduler({maxWaiting: 5});
			scheduler.setUpstreams([makeView('a', {maxConcurrency: 2})]);
			for (const [index, {tier, wait}] of steps.entries()) {
				scheduler.submit(makeWork(`w${index}`, {tier, deadlineAt: clock.now() + 500}));
				clock.advance(wait);
			}

			clock.advance(10_000);
			const ids = [...started, ...refused].map(({work}) => work.id);
			expect(ids.length).to.equal(steps.length);
			expect(new Set(ids).size).to.equal(steps.length);
		}), {seed: 8, numRuns: 100});
	});

	it('sends nothing to a leaving upstream (guards against P6 violations)', () => {
		const {scheduler, started, clock} = makeScheduler();
		scheduler.setUpstreams([makeView('a', {isLeaving: true}), makeView('b')]);
		clock.advance(5000);
		for (let index = 0; index < 6; index += 1) {
			scheduler.submit(makeWork(`w${index}`));
		}

		expect(new Set(started.map(({upstreamId}) => upstreamId))).to.deep.equal(new Set(['b']));
	});

	it('ejects an upstream without progress and readmits it with one request (guards against work sent to a stalled upstream)', () => {
		const {scheduler, started, clock} = makeScheduler();
		scheduler.setUpstreams([makeView('a')]);
		scheduler.submit(makeWork('stalled'));
		clock.advance(1600);
		scheduler.submit(makeWork('second'));
		scheduler.submit(makeWork('third'));
		expect(started.length).to.equal(1);
		scheduler.noteFinished('stalled', WorkOutcome.TimedOut);
		clock.advance(1500);
		expect(started.length).to.equal(2);
	});

	it('does not eject an engine during long non-streamed responses (guards against treating silence as a stall)', () => {
		const {scheduler, started, clock} = makeScheduler();
		scheduler.setUpstreams([makeView('a', {maxConcurrency: 64})]);
		for (let index = 0; index < 40; index += 1) {
			scheduler.submit(makeWork(`w${index}`, {isWhole: true}));
		}

		const atFirst = started.length;
		for (let index = 0; index < 20; index += 1) {
			clock.advance(5000 / atFirst);
			scheduler.noteProgress(`w${index}`, 1);
			scheduler.noteFinished(`w${index}`, WorkOutcome.Done);
		}

		expect(started.length).to.equal(40);
	});

	it('respects its share and falls back when it is not renewed (guards against expired shares that overload an engine)', () => {
		const {scheduler, started, clock} = makeScheduler();
		scheduler.setUpstreams([makeView('a')]);
		scheduler.setShare('a', 3, 1);
		for (let index = 0; index < 6; index += 1) {
			scheduler.submit(makeWork(`w${index}`));
		}

		expect(started.length).to.equal(3);
		clock.advance(1001);
		scheduler.noteFinished('w0', WorkOutcome.Done);
		scheduler.noteFinished('w1', WorkOutcome.Done);
		expect(started.length).to.equal(3);
	});

	it('reserves the last slot for the top tier while few upstreams are free (guards against bursts that find all slots occupied)', () => {
		const {scheduler, started} = makeScheduler();
		scheduler.setUpstreams([makeView('a', {maxConcurrency: 2}), makeView('b', {maxConcurrency: 2})]);
		scheduler.submit(makeWork('top', {tier: 0}));
		for (let index = 0; index < 5; index += 1) {
			scheduler.submit(makeWork(`low${index}`, {tier: 4}));
		}

		expect(started.length).to.equal(3);
		scheduler.submit(makeWork('burst', {tier: 0}));
		expect(started.at(-1)!.work.id).to.equal('burst');
	});

	it('waits for distant deadlines without busy looping (guards against timers beyond 32 bits, which fire immediately)', () => {
		const {scheduler, clock} = makeScheduler();
		const delays: number[] = [];
		const {setTimer} = clock;
		clock.setTimer = (ms, action) => {
			delays.push(ms);
			return setTimer.call(clock, ms, action);
		};

		scheduler.setUpstreams([ONE_SLOT]);
		scheduler.submit(makeWork('running'));
		scheduler.submit(makeWork('waiting', {deadlineAt: 1e13}));
		expect(Math.max(...delays)).to.be.below(2 ** 31);
	});

	it('routes to the upstream that holds the prefix until its eviction is reported (guards against repeated prefill)', () => {
		const {scheduler, started, clock} = makeScheduler();
		scheduler.setUpstreams(['a', 'b', 'c'].map(id => makeView(id, {maxConcurrency: 8})));
		const prefix = [11, 12, 13, 14];
		for (let index = 0; index < 4; index += 1) {
			scheduler.submit(makeWork(`w${index}`, {prefix, promptTokens: 1500}));
			clock.advance(index === 0 ? 225 : 5);
			scheduler.noteProgress(`w${index}`, 1);
		}

		const [first] = started;
		expect(new Set(started.map(({upstreamId}) => upstreamId)).size).to.equal(1);
		scheduler.noteCacheChange(first!.upstreamId, {kind: 'evicted', blocks: prefix});
		scheduler.submit(makeWork('after', {prefix, promptTokens: 1500}));
		expect(started.at(-1)!.upstreamId).to.not.equal(first!.upstreamId);
	});
});
