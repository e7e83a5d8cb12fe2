/**
 * `npm run soak`: randomised runs of a whole deployment in virtual time, with faults.
 */
import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import {type RunReport, DeploymentSimulation} from './deployment-simulation.js';

const RUN_SECONDS = 60;

/** Adds the counts of one run to the totals. */
function addCounts<Key>(totals: Map<Key, number>, counts: ReadonlyMap<Key, number>): void {
	for (const [key, count] of counts) {
		totals.set(key, (totals.get(key) ?? 0) + count);
	}
}

function printCounts(title: string, counts: ReadonlyMap<string, number>): void {
	console.log(title);
	for (const [key, count] of [...counts].sort(([a], [b]) => a < b ? -1 : 1)) {
		console.log(`  ${key}: ${count}`);
	}
}

const soakCommand = defineCommand({
	meta: {name: 'soak', description: 'Randomised runs of a whole deployment in virtual time, with faults'},
	args: {
		seed: {type: 'string', default: '1', description: 'Seed of the first run; incremented for each further run'},
		seconds: {type: 'string', default: '60', description: 'Real time after which no further run starts, in seconds'},
		runs: {type: 'string', description: 'Number of runs, instead of a time limit'},
	},
	async run({args}) {
		const start = performance.now();
		const reports: RunReport[] = [];
		const isDone = () => args.runs === undefined ? performance.now() - start > Number(args.seconds) * 1000 : reports.length >= Number(args.runs);
		while (!isDone()) {
			// eslint-disable-next-line no-await-in-loop
			const report = await DeploymentSimulation.run(Number(args.seed) + reports.length, RUN_SECONDS);
			reports.push(report);
			for (const violation of report.violations.slice(0, 5)) {
				console.log(`seed ${report.seed}, ${violation.atMs} ms: ${violation.promise} ${violation.detail}`);
			}
		}

		const [faults, outcomeCounts, evaluated] = [new Map<string, number>(), new Map<string, number>(), new Map<string, number>()];
		for (const report of reports) {
			addCounts(faults, report.faults);
			addCounts(outcomeCounts, report.outcomeCounts);
			addCounts(evaluated, report.evaluated);
		}

		const violations = reports.reduce((sum, report) => sum + report.violations.length, 0);
		console.log(`runs: ${reports.length} of ${RUN_SECONDS} s with faults each, seeds ${args.seed} to ${Number(args.seed) + reports.length - 1}`);
		console.log(`requests: ${reports.reduce((sum, report) => sum + report.requests, 0)}`);
		printCounts('faults injected:', faults);
		printCounts('answers:', outcomeCounts);
		printCounts('assertions evaluated:', evaluated);
		console.log(`violations: ${violations}`);
		process.exitCode = violations === 0 ? 0 : 1;
	},
});

await runMain(soakCommand);
