/**
 * `npm run soak:links`: explores the coordination of VMs in virtual time.
 */
import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import {allPlans, type LinkPlan, randomPlan} from './link-plans.js';
import {LinkWorld} from './link-world.js';

const MAX_SHOWN = 20;

function * plansOf(arguments_: {all: string; seed: string; runs: string; vms: string; part: string}): Generator<LinkPlan> {
	if (arguments_.all !== '0') {
		const [wanted, parts] = arguments_.part.split('/').map(Number) as [number, number];
		let index = 0;
		for (const plan of allPlans(arguments_.all === '2' ? 2 : 1, Number(arguments_.seed))) {
			if (index % parts === wanted) {
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
	meta: {name: 'soak:links', description: 'Explores who allocates, with faults, in virtual time'},
	args: {
		all: {type: 'string', default: '0', description: 'All plans of this many faults (1 or 2) of three VMs, in place of random ones'},
		part: {type: 'string', default: '0/1', description: 'Which part of all plans, as INDEX/PARTS: to use several cores'},
		seed: {type: 'string', default: '1', description: 'Seed of the first run; later random runs count up'},
		runs: {type: 'string', default: '100', description: 'Number of random runs'},
		vms: {type: 'string', default: '3', description: 'Number of VMs of random runs'},
	},
	async run({args}) {
		let runs = 0;
		let violated = 0;
		let grants = 0;
		let slowestMs = 0;
		for (const plan of plansOf(args)) {
			const report = await LinkWorld.run(plan); // eslint-disable-line no-await-in-loop -- one after the other
			runs += 1;
			grants += report.grants;
			slowestMs = Math.max(slowestMs, report.linkedAfterMs);
			const [finding] = report.findings;
			if (finding !== undefined) {
				violated += 1;
				if (violated <= MAX_SHOWN) {
					console.log(`seed ${plan.seed}, ${finding.atMs} ms: ${finding.property}: ${finding.detail}`);
					console.log(`  ${plan.faults.map(({kind, vm, other, at, until}) => `${kind} ${vm}${kind === 'cut' ? `>${other}` : ''} ${at}-${until}`).join(', ')}`);
				}
			}
		}

		console.log(`runs: ${runs}, violated: ${violated}, grants: ${grants}, slowest until all were linked: ${Math.round(slowestMs)} ms`);
		process.exitCode = violated === 0 ? 0 : 1;
	},
});

await runMain(linksCommand);
