import {expect} from 'chai';
import fc from 'fast-check';
import {StartPacer, type StartRate} from '../../src/allocation/start-pacer.js';
import {Random} from '../../src/base/random.js';

const WINDOW_MS = 4000;
/** One interval of the window and the burst, in which further requests may be sent. */
const MARGIN_MS = 450;

/** Sends a request whenever the pacer allows it and a caller asks. */
function startsOf(pacer: StartPacer, rate: StartRate, askTimes: readonly number[]): number[] {
	return askTimes.filter(now => {
		if (pacer.delayMs(rate, now) > 0) {
			return false;
		}

		pacer.noteStart(now);
		return true;
	});
}

describe('pacer of starts', () => {
	const rates = fc.double({min: 0.01, max: 200, noNaN: true});
	const gapsMs = fc.array(fc.oneof(fc.double({min: 0, max: 30, noNaN: true}), fc.double({min: 0, max: 3000, noNaN: true})), {minLength: 1, maxLength: 400});

	it('allows no request that exceeds the limit in a window, whenever requests come and with any number of them before the limit', () => {
		fc.assert(fc.property(rates, gapsMs, fc.boolean(), fc.integer({min: 0, max: 300}), fc.integer(), (perSecond, gaps, isStandalone, earlierCount, seed) => {
			const pacer = StartPacer.create(Random.create(seed));
			let now = 10_000;
			const earlier = Array.from({length: earlierCount}, () => {
				now += 20;
				pacer.noteStart(now);
				return now;
			});
			const askTimes = gaps.map(gap => {
				now += gap;
				return now;
			});
			const starts = startsOf(pacer, {perSecond, isStandalone}, askTimes);
			const all = [...earlier, ...starts];
			const allowed = 1 + (perSecond * (WINDOW_MS + MARGIN_MS) / 1000);
			for (let index = earlier.length; index < all.length; index += 1) {
				const windowFrom = all.findIndex(at => at > all[index]! - WINDOW_MS);
				expect(index + 1 - windowFrom).to.be.at.most(allowed);
			}
		}), {seed: 26, numRuns: 300});
	});

	it('tells the time after which a request is allowed', () => {
		fc.assert(fc.property(rates, fc.integer({min: 0, max: 60}), fc.integer(), (perSecond, earlier, seed) => {
			const pacer = StartPacer.create(Random.create(seed));
			const rate = {perSecond, isStandalone: false};
			let now = 10_000;
			for (let count = 0; count < earlier; count += 1) {
				now += 50;
				pacer.noteStart(now);
			}

			const delayMs = pacer.delayMs(rate, now);
			expect(pacer.delayMs(rate, now + delayMs + 0.001)).to.equal(0);
			expect(delayMs).to.be.at.most(Math.max(1000 / perSecond, WINDOW_MS + 250));
		}), {seed: 26, numRuns: 300});
	});

	it('lets a standalone VM use a turn only for a second', () => {
		const pacer = StartPacer.create(Random.create(1));
		const rate = {perSecond: 0.01, isStandalone: true};
		const first = pacer.delayMs(rate, 0);
		expect(pacer.delayMs(rate, first + 900)).to.equal(0);
		expect(pacer.delayMs(rate, first + 1100)).to.be.within(98_000, 99_000);
	});
});
