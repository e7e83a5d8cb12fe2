/**
 * `npm run soak:links`: simulated runs of the leader election and the links between VMs, with faults.
 */
import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import {exhaustivePlans, type LinkPlan, randomPlan} from './link-plans.js';
import {LinkSimulation} from './link-simulation.js';

const MAX_SHOWN = 20;

function * plansOf(arguments_: {all: string; seed: string; runs: string; vms: string; part: string; fault: string}): Generator<LinkPlan> {
	if (arguments_.all !== '0') {
		const [partIndex, partCount] = arguments_.part.split('/').map(Number) as [number, number];
		let index = 0;
		for (const plan of exhaustivePlans(arguments_.all === '2' ? 2 : 1, Number(arguments_.seed))) {
			const isChosen = arguments_.fault === '' || plan.faults.some(({kind}) => kind === arguments_.fault);
			if (isChosen && index % partCount === partIndex) {
				yield plan;
			}

			index += 1;
		}

		return;
	}

	for (let run = 0; run < Number(arguments_.runs); run += 1) {
		yield randomPlan(Number(arguments_.seed) + run, Number(arguments_.vms));
	}
}

const linksCommand = defineCommand({
	meta: {name: 'soak:links', description: 'Runs the leader election and the links between VMs with faults, in virtual time'},
	args: {
		all: {type: 'string', default: '0', description: 'Run all plans with this number of faults (1 or 2) of three VMs instead of random plans'},
		part: {type: 'string', default: '0/1', description: 'Part of all plans to run, as INDEX/PARTS, to spread them over several processes'},
		fault: {type: 'string', default: '', description: 'Run only those of all plans that contain this kind of fault'},
		seed: {type: 'string', default: '1', description: 'Seed of the first run; incremented for each further random run'},
		runs: {type: 'string', default: '100', description: 'Number of random runs'},
		vms: {type: 'string', default: '3', description: 'Number of VMs in random runs'},
	},
	async run({args}) {
		let runs = 0;
		let violatingRuns = 0;
		let grants = 0;
		let slowestMs = 0;
		for (const plan of plansOf(args)) {
			const report = await LinkSimulation.run(plan); // eslint-disable-line no-await-in-loop -- runs are sequential
			runs += 1;
			grants += report.grants;
			slowestMs = Math.max(slowestMs, report.linkedAfterMs);
			const [violation] = report.violations;
			if (violation !== undefined) {
				violatingRuns += 1;
				if (violatingRuns <= MAX_SHOWN) {
					console.log(`seed ${plan.seed}, ${violation.atMs} ms: ${violation.property}: ${violation.detail}`);
					console.log(`  ${plan.faults.map(({kind, vm, other, at, until}) => `${kind} ${vm}${kind === 'cut' ? `>${other}` : ''} ${at}-${until}`).join(', ')}`);
				}
			}
		}

		console.log(`runs: ${runs}, violated: ${violatingRuns}, grants: ${grants}, slowest until all were linked: ${Math.round(slowestMs)} ms`);
		process.exitCode = violatingRuns === 0 ? 0 : 1;
	},
});

await runMain(linksCommand);
