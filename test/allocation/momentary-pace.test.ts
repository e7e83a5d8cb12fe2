import {expect} from 'chai';
import {MomentaryPace} from '../../src/allocation/momentary-pace.js';
import {Pace, PoolPace} from '../../src/allocation/pace.js';
import {type DayOptions, Figures} from './day-options.js';
import {SimulatedDay} from './simulated-day.js';

/** @returns Share of the grants that an engine of average speed got, relative to an even share among such engines. */
function relativeGrants(engine: number, changes: Partial<DayOptions>): number {
	const {grantsOf} = SimulatedDay.run({
		seed: 5, figures: Figures.Responses, requestsPerSecond: 100, seconds: 20, ...changes,
	});
	const fast = grantsOf.filter((_, index) => index % 3 !== 0);
	return grantsOf[engine]! / (fast.reduce((sum, count) => sum + count, 0) / fast.length);
}

describe('momentary pace', () => {
	// Guards against estimates that keep a slow moment after it has passed, or that a late report replaces by an older one.
	it('follows the latest statement and returns to the average as it ages', () => {
		const pace = MomentaryPace.create();
		expect(pace.mean(0, 1000)).to.equal(1);
		pace.note({factor: 2.5, ageMs: 0}, 1000);
		pace.note({factor: 0.5, ageMs: 300}, 1000);
		expect(pace.at(1000)).to.be.within(2, 2.6);
		expect(pace.at(1400) - 1).to.be.closeTo((pace.at(1000) - 1) / Math.E, 0.001);
		expect(pace.at(9000)).to.be.closeTo(1, 0.001);
		expect(pace.mean(1000, 1400)).to.be.within(pace.at(1400), pace.at(1000));
		// A VM that was frozen reports what it read before.
		pace.note({factor: 2.5, ageMs: 3000}, 12_000);
		expect(pace.at(12_000)).to.be.closeTo(1, 0.001);
	});

	// Guards against an upstream that is avoided, or gets everything, because its statement is frozen, unbounded or of another scale.
	it('is 1 for statements that never change, and bounded for any other', () => {
		for (const factor of [1e-9, 0.2, 2.5, 1e9]) {
			const pace = MomentaryPace.create();
			for (let now = 0; now < 60_000; now += 200) {
				pace.note({factor, ageMs: 0}, now);
				expect(pace.at(now)).to.be.within(0.4, 5);
			}

			expect(pace.at(60_000), String(factor)).to.be.closeTo(1, 0.02);
		}
	});

	// Guards against factors that take the slowness of a moment for the upstream's own, and against short streams without effect.
	it('is taken out of the long-term factor, which streams of two events teach', () => {
		const pool = PoolPace.create(true);
		const [changing, slow] = [Pace.create(pool), Pace.create(pool)];
		for (let now = 0; now < 60_000; now += 500) {
			const moment = now % 3000 === 0 ? 2.5 : 1;
			changing.noteStated({factor: moment, ageMs: 0}, now);
			slow.noteStated({factor: 1, ageMs: 0}, now);
			changing.noteStream(2, 16 * moment, now + 1);
			slow.noteStream(2, 16 * 4.4, now + 1);
		}

		expect(slow.factor / changing.factor).to.be.within(3.3, 4.8);
	});

	// Swinging demand below the capacity: guards against statements that have no effect on the choice.
	it('shortens the time to the first event, compared with upstreams that state their average', () => {
		for (const seed of [11, 12, 13]) {
			const options = {
				seed, figures: Figures.Responses, requestsPerSecond: 60, seconds: 20,
			};
			const average = SimulatedDay.run({...options, stated: () => 1});
			expect(SimulatedDay.run(options).firstMs.mean).to.be.below(0.99 * average.firstMs.mean);
		}
	});

	// Swinging demand below the capacity: guards against estimates that need long streams and many answers.
	it('lets more streams be on time in the worst windows than the estimates of pools without statements', () => {
		const options = {seed: 11, requestsPerSecond: 90, seconds: 20};
		const before = SimulatedDay.run({...options, figures: Figures.None});
		const stated = SimulatedDay.run({...options, figures: Figures.Responses});
		expect(stated.worstWindows).to.be.above(before.worstWindows);
		expect(stated.onTime).to.be.above(before.onTime);
	});

	// Guards against a pile-up at an upstream whose statement is wrong: frozen, always best, or best while it fails requests.
	it('attracts no more requests to an upstream that states a wrong pace', () => {
		for (const factor of [0.1, 1, 2.5, 10]) {
			const stated: DayOptions['stated'] = (engine, moment) => engine === 1 ? factor : moment;
			expect(relativeGrants(1, {stated}), String(factor)).to.be.within(0.5, 1.5);
		}

		const failing = relativeGrants(1, {stated: (engine, moment) => engine === 1 ? 0.1 : moment, failureRatioOf: engine => engine === 1 ? 0.5 : 0});
		expect(failing).to.be.below(1.2);
	});
});
