/**
 * Figures of customers that compete for one pool, without and with fair shares: `npm run bench:contention`.
 */
import process from 'node:process';
import Table from 'cli-table3';
import {
	type ContentionPattern, ContentionSimulation, type Outcomes, worthOf,
} from './contention-simulation.js';

const SEEDS = [1, 2, 3, 4, 5];
/** Unequal customers: the second is half as large as the first, the third a third. */
const harmonicSum = Array.from({length: 16}, (_, index) => 1 / (index + 1)).reduce((a, b) => a + b);
const unequalShares = Array.from({length: 16}, (_, index) => 1 / ((index + 1) * harmonicSum));

/** Load patterns by name. */
const patterns: Readonly<Record<string, ContentionPattern>> = {
	usual: {usualLoad: 0.65, shares: unequalShares, surges: [{factor: 1, forMs: 6000}]},
	'1 of 16 equal x6': {usualLoad: 0.8, surges: [{customer: 3, factor: 6, forMs: 6000}]},
	'hot x6': {usualLoad: 0.65, shares: unequalShares, surges: [{customer: 1, factor: 6, forMs: 6000}]},
	'hot x6, one rank': {
		usualLoad: 0.65, shares: unequalShares, hasOneRank: true, surges: [{customer: 1, factor: 6, forMs: 6000}],
	},
	'hot x6, quotas': {
		usualLoad: 0.65, shares: unequalShares, quotaFactor: 2, surges: [{customer: 1, factor: 6, forMs: 6000}],
	},
	'hot x6, retries at once': {
		usualLoad: 0.65, shares: unequalShares, retriesImmediately: 1, surges: [{customer: 1, factor: 6, forMs: 6000}],
	},
	'the same, one rank': {
		usualLoad: 0.65, shares: unequalShares, hasOneRank: true, retriesImmediately: 1, surges: [{customer: 1, factor: 6, forMs: 6000}],
	},
	'peak 1.6': {usualLoad: 0.65, shares: unequalShares, surges: [{factor: 1.6, forMs: 4000}]},
	'peak 2.5': {usualLoad: 0.65, shares: unequalShares, surges: [{factor: 2.5, forMs: 4000}]},
	'peak 2.5 of the room': {usualLoad: 0.65, shares: unequalShares, surges: [{factor: 2.5 / 0.65, forMs: 4000}]},
	'peak 2, hot x5': {usualLoad: 0.65, shares: unequalShares, surges: [{factor: 2, forMs: 4000}, {customer: 1, factor: 5, forMs: 6000}]},
	'peak 2, 0.3 impatient': {
		usualLoad: 0.65, shares: unequalShares, impatientShare: 0.3, surges: [{factor: 2, forMs: 5000}],
	},
};

function sumOf(list: readonly Outcomes[]): Outcomes {
	const sum: Outcomes = {...list[0]!};
	for (const key of Object.keys(sum) as Array<keyof Outcomes>) {
		sum[key] = list.reduce((total, outcomes) => total + outcomes[key], 0);
	}

	return sum;
}

function cells(outcomes: Outcomes): string[] {
	const share = (amount: number) => (amount / Math.max(1, outcomes.sent)).toFixed(3);
	return [
		String(outcomes.sent),
		share(outcomes.onTime),
		share(outcomes.late),
		share(outcomes.refused),
		share(outcomes.refusedAgain),
		share(outcomes.lost),
		worthOf(outcomes).toFixed(3),
		share(outcomes.firstRefusals),
		(outcomes.firstRefusalWaitMs / Math.max(1, outcomes.firstRefusals)).toFixed(0),
	];
}

const table = new Table({style: {head: [], compact: true}, head: ['pattern', 'shares', 'of', 'sent', 'on time', 'late', 'refused', 'again', 'lost', 'worth', 'refused first', 'after ms']});
for (const [name, pattern] of Object.entries(patterns)) {
	for (const isUnderPressure of [false, true]) {
		const results = SEEDS.map(seed => ContentionSimulation.create(pattern, seed, isUnderPressure).run());
		const special = pattern.retriesImmediately ?? pattern.surges.find(({customer}) => customer !== undefined)?.customer;
		const groups: Array<[string, Outcomes[]]> = [['all', results.map(({all}) => all)]];
		if (special !== undefined) {
			groups.push(['hot', results.map(({byCustomer}) => byCustomer[special]!)], ['others', results.flatMap(({byCustomer}) => byCustomer.filter((_, index) => index !== special))]);
		}

		for (const rank of [0, 1, 2]) {
			groups.push([`kind ${rank}`, results.map(({byRank}) => byRank[rank]!)]);
		}

		groups.push(['smallest tenth', results.map(({smallest}) => smallest)], ['largest tenth', results.map(({largest}) => largest)]);

		for (const [group, outcomes] of groups) {
			table.push([name, isUnderPressure ? 'on' : 'off', group, ...cells(sumOf(outcomes))]);
		}
	}
}

process.stdout.write(`${table.toString()}\n`);
