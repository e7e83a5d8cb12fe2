import {expect} from 'chai';
import {Quotas, type QuotaTolerance} from '../../src/allocation/quotas.js';
import {Random} from '../../src/base/random.js';
import {type Customer} from '../../src/gateway/routing-table.js';

const quota = {
	perSecond: 1000, burst: 1000, isInTokens: true, plainTokens: 0,
};
const windowMs = 8000;
const tolerance: QuotaTolerance = {ratio: 0.1, slack: 2000, windowMs};
const maxInWindow = (((quota.perSecond * windowMs / 1000) + quota.burst) * (1 + tolerance.ratio)) + tolerance.slack;

function customer(perSecond = quota.perSecond): Customer {
	return {
		name: 'hot', apiKeys: [], rank: undefined, quota: {...quota, perSecond, burst: perSecond},
	};
}

/** A token bucket that grants the customer's quota without any tolerance. */
class ReferenceBucket {
	#tokens = quota.burst;
	#refilledAt = 0;

	fits(cost: number, now: number): boolean {
		this.#tokens = Math.min(quota.burst, this.#tokens + ((now - this.#refilledAt) * quota.perSecond / 1000));
		this.#refilledAt = now;
		if (this.#tokens < cost) {
			return false;
		}

		this.#tokens -= cost;
		return true;
	}
}

describe('quotas of a customer that sends several times its usual load', () => {
	it('start at the same fill level when the customers are configured only after the start', () => {
		const grantedBy = (quotas: Quotas) => {
			let granted = 0;
			while (quotas.spend('hot', 10, true, 0) === 0) {
				granted += 10;
			}

			return granted;
		};

		const configuredFirst = Quotas.create(tolerance);
		configuredFirst.setCustomers([customer()], 0);
		configuredFirst.restart(1, 0.1, 0);
		const configuredLater = Quotas.create(tolerance);
		configuredLater.restart(1, 0.1, 0);
		configuredLater.setCustomers([customer()], 0);
		expect(grantedBy(configuredFirst)).to.be.within(90, 100);
		expect(grantedBy(configuredLater)).to.be.within(90, 100);
	});

	for (const seed of [1, 2, 3, 4, 5]) {
		it(`never refuse what the plain quota allows, nor grant more than is tolerated (seed ${seed})`, () => {
			const random = Random.create(seed);
			const quotas = Quotas.create(tolerance);
			quotas.setCustomers([customer()], 0);
			const reference = new ReferenceBucket();
			const granted: Array<{at: number; cost: number}> = [];
			for (let now = 0; now < 60_000; now += 40 * random.next()) {
				const cost = 10 + (190 * random.next());
				const isWithinQuota = reference.fits(cost, now);
				const isGranted = quotas.spend('hot', cost, random.next() < 0.7, now) === 0;
				expect(isGranted || !isWithinQuota, `within the quota at ${now}`).to.equal(true);
				if (isGranted) {
					granted.push({at: now, cost});
				}
			}

			for (const [index, {at}] of granted.entries()) {
				let sum = 0;
				for (const {at: later, cost} of granted.slice(index)) {
					sum += later < at + windowMs ? cost : 0;
				}

				expect(sum).to.be.at.most(maxInWindow);
			}
		});
	}

	it('grant the tolerated overage in each window, not only once', () => {
		const quotas = Quotas.create(tolerance);
		quotas.setCustomers([customer()], 0);
		let granted = 0;
		for (let now = 0; now < 80_000; now += 10) {
			granted += quotas.spend('hot', 100, true, now) === 0 ? 100 : 0;
		}

		// Ten windows; the unused part of the tolerance covers a change of the allocator.
		expect(granted / 10).to.be.within(0.85 * maxInWindow, maxInWindow);
	});

	it('grant nothing beyond the quota for one window after another process may have done so', () => {
		const quotas = Quotas.create(tolerance);
		quotas.setCustomers([customer()], 0);
		quotas.restart(1, 0.1, 0);
		let granted = 0;
		for (let now = 0; now < windowMs; now += 10) {
			granted += quotas.spend('hot', 100, true, now) === 0 ? 100 : 0;
		}

		expect(granted).to.be.at.most((0.1 * quota.burst) + (quota.perSecond * windowMs / 1000));
	});

	it('apply a lower quota immediately, regardless of the tokens saved under the previous one', () => {
		const quotas = Quotas.create({ratio: 0, slack: 0, windowMs});
		quotas.setCustomers([customer()], 0);
		quotas.setCustomers([customer(100)], 0);
		expect(quotas.spend('hot', 100, false, 0)).to.equal(0);
		expect(quotas.spend('hot', 100, false, 0)).to.be.above(900);
	});

	it('grant a request that costs more than the burst when the bucket is full', () => {
		const quotas = Quotas.create({ratio: 0, slack: 0, windowMs});
		quotas.setCustomers([customer()], 0);
		expect(quotas.spend('hot', 5000, false, 0)).to.equal(0);
		expect(quotas.spend('hot', 1, true, 0)).to.be.above(0);
	});
});
