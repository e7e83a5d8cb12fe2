import {expect} from 'chai';
import {
	allPlans, type LinkFault, type LinkPlan, type LinkSabotage, randomPlan,
} from '../../soak/link-plans.js';
import {type LinkFinding, LinkProperty, LinkWorld} from '../../soak/link-world.js';

const RANDOM_RUNS = 12;

function summary(plan: LinkPlan, findings: readonly LinkFinding[]): string[] {
	return findings.map(({property, detail}) => `${property}: ${detail} (seed ${plan.seed}, ${JSON.stringify(plan.faults)})`);
}

async function findingsOf(plans: Iterable<LinkPlan>): Promise<string[]> {
	const found: string[] = [];
	for (const plan of plans) {
		const {findings} = await LinkWorld.run(plan); // eslint-disable-line no-await-in-loop -- one after the other
		found.push(...summary(plan, findings));
	}

	return found;
}

function fault(kind: LinkFault['kind'], vm: number, at: number, until: number): LinkFault {
	return {
		kind, vm, other: vm, at, until,
	};
}

function planOf(...faults: readonly LinkFault[]): LinkPlan {
	return {
		seed: 1, vms: 3, faults,
	};
}

/** Whether a run with a break is found by a property, in one of the first random plans. */
async function finds(property: LinkProperty, sabotage: LinkSabotage, vms = 3): Promise<boolean> {
	for (let seed = 1; seed <= RANDOM_RUNS; seed += 1) {
		const {findings} = await LinkWorld.run({...randomPlan(seed, vms), sabotage}); // eslint-disable-line no-await-in-loop
		if (findings.some(finding => finding.property === property)) {
			return true;
		}
	}

	return false;
}

describe('model of the coordination', function () {
	this.timeout(60_000);

	it('holds for every single fault of three VMs', async () => {
		expect(await findingsOf(allPlans(1, 1))).to.deep.equal([]);
	});

	it('holds for random faults of three VMs', async () => {
		expect(await findingsOf(Array.from({length: RANDOM_RUNS}, (_, index) => randomPlan(index + 1, 3)))).to.deep.equal([]);
	});

	it('holds for random faults of forty VMs', async () => {
		expect(await findingsOf([randomPlan(1, 40), randomPlan(2, 40)])).to.deep.equal([]);
	});

	it('is repeated exactly by its seed', async () => {
		const [first, second] = [await LinkWorld.run(randomPlan(5, 5)), await LinkWorld.run(randomPlan(5, 5))];
		expect(second).to.deep.equal(first);
		expect(first.grants).to.be.above(100);
	});

	// Each of these faults was in the program until the model found it.
	const found: ReadonlyArray<readonly [string, LinkPlan]> = [
		['an allocator that was replaced and then took itself for the only VM', randomPlan(24, 3)],
		['quotas granted by VMs that are cut off beside the allocator', planOf(fault('isolate', 2, 1500, 4500), fault('store-away', 0, 2400, 2800))],
		['the slack of repeats spent by each of several allocators', randomPlan(25, 3)],
		['a whole burst of each quota from an allocator that starts blank', planOf(fault('kill', 2, 1500, 1900), fault('split', 1, 1500, 1900))],
		['a VM that was cut off and asks 299 others one after the other', randomPlan(51, 300)],
	];
	for (const [title, plan] of found) {
		it(`does not meet ${title}`, async () => {
			expect(await findingsOf([plan])).to.deep.equal([]);
		});
	}

	const breaks: ReadonlyArray<readonly [LinkProperty, string, LinkSabotage]> = [
		[LinkProperty.OneTerm, 'claims that are written without a condition', {ignoresTerms: true}],
		[LinkProperty.Linked, 'an allocator whose lists of VMs are lost', {tamper: line => line.includes('"kind":"members"') ? undefined : line}],
		[LinkProperty.Configuration, 'configurations that are lost on the way', {tamper: line => line.includes('"kind":"configuration"') ? undefined : line}],
		[LinkProperty.Leaving, 'departures that are lost on the way', {tamper: line => line.includes('"kind":"leaving"') || line.includes('"kind":"upstreams"') ? undefined : line}],
		[LinkProperty.Repeats, 'VMs that spend ten times their part of the slack of repeats', {scope: scope => ({...scope, share: scope.share * 10})}],
		[LinkProperty.Quota, 'VMs that grant the whole quota each', {scope: scope => ({...scope, share: 1, quotaInitialFill: 1})}],
	];
	for (const [property, title, sabotage] of breaks) {
		it(`finds ${title} (${property})`, async () => {
			expect(await finds(property, sabotage)).to.equal(true);
		});
	}
});
