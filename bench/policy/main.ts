/**
 * Command of the policy benchmark: `npm run bench:policy -- --seed 1 --workload skimmers`.
 */
import Table from 'cli-table3';
import {defineCommand, runMain} from 'citty';
import {Ablation} from '../../src/policy/policy-scheduler.js';
import {BaselineKind} from './baseline.js';
import {measureDecisionTime} from './decision-time.js';
import {type Summary, summarize} from './summary.js';
import {simulate} from './simulation.js';
import {workloads} from './workload.js';

const LARGE_UPSTREAM_COUNT = 790;

const command = defineCommand({
	meta: {name: 'bench:policy', description: 'Compares the policy with baselines in virtual time.'},
	args: {
		seed: {type: 'string', default: '1', description: 'A single seed.'},
		seeds: {type: 'string', description: 'A range of seeds, such as 1-10.'},
		workload: {type: 'enum', options: Object.keys(workloads), default: 'skimmers'},
		ablate: {type: 'enum', options: Object.values(Ablation), description: 'A mechanism to disable.'},
		only: {type: 'boolean', description: 'Run the policy without the baselines.'},
		json: {type: 'boolean', description: 'Print JSON.'},
	},
	run({args}) {
		const workload = workloads[args.workload]!;
		const seeds = parseSeeds(args.seeds ?? args.seed);
		const policies = args.only ? ['policy' as const] : ['policy' as const, ...Object.values(BaselineKind)];
		const ablation = args.ablate;
		const summaries = policies.map(policy => summarize(policy, seeds.map(seed => simulate({
			workload, seed, policy, ablation,
		}))));
		const decisionUs = args.only
			? undefined
			: {
				at12: measureDecisionTime(workload.engines.length), at790: measureDecisionTime(LARGE_UPSTREAM_COUNT),
			};
		console.log(args.json
			? JSON.stringify({
				workload: args.workload, seeds, ablation, summaries, decisionUs,
			}, undefined, '\t')
			: renderTable(summaries, decisionUs));
	},
});

function parseSeeds(text: string): number[] {
	const [first, last = first] = text.split('-').map(Number) as [number, number?];
	return Array.from({length: last - first + 1}, (_, index) => first + index);
}

function renderTable(summaries: readonly Summary[], decisionUs: {at12: number; at790: number} | undefined): string {
	const rows = Object.keys(summaries[0]!).filter(key => key !== 'policy') as Array<keyof Summary>;
	const table = new Table({head: ['', ...summaries.map(({policy}) => policy)], style: {head: [], border: [], compact: true}});
	for (const row of rows) {
		table.push([row, ...summaries.map(summary => String(summary[row]))]);
	}

	const decision = decisionUs === undefined
		? ''
		: `\ndecision time: ${decisionUs.at12.toFixed(1)} us at the workload's engines, ${decisionUs.at790.toFixed(1)} us at ${LARGE_UPSTREAM_COUNT}`;
	return table.toString() + decision;
}

await runMain(command);
