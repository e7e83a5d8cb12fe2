import {expect} from 'chai';
import {
	exhaustivePlans, type LinkFault, type LinkPlan, type LinkDefect, randomPlan,
} from '../../soak/link-plans.js';
import {type LinkViolation, LinkProperty, LinkSimulation} from '../../soak/link-simulation.js';

const RANDOM_RUNS = 12;

function describeViolations(plan: LinkPlan, violations: readonly LinkViolation[]): string[] {
	return violations.map(({property, detail}) => `${property}: ${detail} (seed ${plan.seed}, ${JSON.stringify(plan.faults)})`);
}

async function findViolations(plans: Iterable<LinkPlan>): Promise<string[]> {
	const found: string[] = [];
	for (const plan of plans) {
		const {violations} = await LinkSimulation.run(plan); // eslint-disable-line no-await-in-loop -- runs are sequential
		found.push(...describeViolations(plan, violations));
	}

	return found;
}

function createFault(kind: LinkFault['kind'], vm: number, at: number, until: number): LinkFault {
	return {
		kind, vm, other: vm, at, until,
	};
}

function createPlan(...faults: readonly LinkFault[]): LinkPlan {
	return {
		seed: 1, vms: 3, faults,
	};
}

const firstRandomPlans: readonly LinkPlan[] = Array.from({length: RANDOM_RUNS}, (_, index) => randomPlan(index + 1, 3));

/** @returns Whether one of the plans violates the property when run with the defect. */
async function detects(property: LinkProperty, defect: LinkDefect, plans = firstRandomPlans): Promise<boolean> {
	for (const plan of plans) {
		const {violations} = await LinkSimulation.run({...plan, defect}); // eslint-disable-line no-await-in-loop
		if (violations.some(violation => violation.property === property)) {
			return true;
		}
	}

	return false;
}

describe('simulation of the leader election and links', function () {
	this.timeout(60_000);

	it('violates no property under any single fault of three VMs', async () => {
		expect(await findViolations(exhaustivePlans(1, 1))).to.deep.equal([]);
	});

	it('violates no property under random faults of three VMs', async () => {
		expect(await findViolations(Array.from({length: RANDOM_RUNS}, (_, index) => randomPlan(index + 1, 3)))).to.deep.equal([]);
	});

	it('violates no property under random faults of forty VMs', async () => {
		expect(await findViolations([randomPlan(1, 40), randomPlan(2, 40)])).to.deep.equal([]);
	});

	it('reproduces a run exactly from its seed', async () => {
		const [first, second] = [await LinkSimulation.run(randomPlan(5, 5)), await LinkSimulation.run(randomPlan(5, 5))];
		expect(second).to.deep.equal(first);
		expect(first.grants).to.be.above(100);
	});

	// Plans under which the simulation found faults of the program that have since been fixed.
	const regressions: ReadonlyArray<readonly [string, LinkPlan]> = [
		['a replaced allocator that considers itself the only VM', randomPlan(24, 3)],
		['quotas granted both by isolated VMs and by the allocator', createPlan(createFault('isolate', 2, 1500, 4500), createFault('store-away', 0, 2400, 2800))],
		['a retry slack that each of several allocators grants in full', randomPlan(25, 3)],
		['a full burst of each quota granted by an allocator without history', createPlan(createFault('kill', 2, 1500, 1900), createFault('split', 1, 1500, 1900))],
		['a disconnected VM that asks 299 others sequentially', randomPlan(51, 300)],
	];
	for (const [title, plan] of regressions) {
		it(`does not reproduce ${title}`, async () => {
			expect(await findViolations([plan])).to.deep.equal([]);
		});
	}

	const twoIsolatedVms = Array.from({length: 3}, (_, seed) => ({...createPlan(createFault('isolate', 0, 1500, 15_000), createFault('isolate', 1, 1500, 15_000)), seed}));
	// The leader ends, the store comes back from a copy of before, and a VM ends: for any first and second VM.
	const restores = [1, 0, 2].flatMap(first => [1, 0, 2].map(second => createPlan(createFault('kill', first, 3000, 3400), createFault('store-restored', 1, 4400, 4800), createFault('kill', second, 5000, 5400))));
	it('violates no property when the store goes back between the ends of two VMs', async () => {
		expect(await findViolations(restores)).to.deep.equal([]);
	});

	const defects: ReadonlyArray<readonly [LinkProperty, string, LinkDefect, LinkPlan[]?]> = [
		[LinkProperty.OneAllocatorPerTerm, 'claims that are written without a condition', {claimsUnconditionally: true}],
		[LinkProperty.Linked, 'member lists of the allocator that are lost in transit', {messageFilter: line => line.includes('"kind":"members"') ? undefined : line}],
		[LinkProperty.Linked, 'versions of the store that are compared over its return to a copy', {ignoresEra: true}, restores],
		[LinkProperty.Configuration, 'configurations that are lost in transit', {messageFilter: line => line.includes('"kind":"configuration"') ? undefined : line}],
		[LinkProperty.Leaving, 'departures that are lost in transit', {messageFilter: line => line.includes('"kind":"leaving"') || line.includes('"kind":"upstreams"') ? undefined : line}],
		[LinkProperty.RetryBudget, 'VMs that grant ten times their share of the retry slack', {scope: scope => ({...scope, share: scope.share * 10})}],
		[LinkProperty.Limit, 'VMs that each send an upstream as much as it takes from all', {scope: scope => ({...scope, share: 1, isStandalone: false})}, twoIsolatedVms],
		[LinkProperty.Limit, 'limits that are lost in transit', {messageFilter: line => line.includes('"kind":"limits"') ? undefined : line}],
		[LinkProperty.Quota, 'VMs that each grant the whole quota', {scope: scope => ({...scope, share: 1, quotaInitialFill: 1})}],
	];
	for (const [property, title, defect, plans] of defects) {
		it(`detects ${title} (${property})`, async () => {
			expect(await detects(property, defect, plans)).to.equal(true);
		});
	}
});
