/**
 * `npm run soak:processes`: randomised runs of real processes with external faults.
 */
import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import {ProcessRun, VM_COUNT} from './process-run.js';

const command = defineCommand({
	meta: {name: 'soak:processes', description: 'Randomised runs of real processes with external faults'},
	args: {
		seed: {type: 'string', default: '1', description: 'Seed of the first run; incremented for each further run'},
		seconds: {type: 'string', default: '10', description: 'Duration of the faults in each run, in seconds'},
		runs: {type: 'string', default: '1', description: 'Number of runs'},
		vms: {type: 'string', default: String(VM_COUNT), description: 'Number of VMs, each with a process of about 100 MB'},
	},
	async run({args}) {
		let violations = 0;
		for (let seed = Number(args.seed); seed < Number(args.seed) + Number(args.runs); seed += 1) {
			const run = await ProcessRun.create(seed, Number(args.vms)); // eslint-disable-line no-await-in-loop -- runs are sequential
			await run.execute(Number(args.seconds)); // eslint-disable-line no-await-in-loop
			const {deployment, injectedFaults} = run;
			if (deployment.violations.length > 0) {
				await deployment.saveLogs(run.events); // eslint-disable-line no-await-in-loop
			}

			await deployment.stop(); // eslint-disable-line no-await-in-loop
			violations += deployment.violations.length;
			console.log(JSON.stringify({
				seed, processes: deployment.vms.length, faults: Object.fromEntries(injectedFaults), answers: Object.fromEntries(deployment.counts), checks: deployment.checks, endedBeforeFirstLine: deployment.vms.reduce((sum, vm) => sum + vm.earlyHupCount, 0), violations: deployment.violations,
			}));
		}

		console.log(`violations: ${violations}`);
		process.exit(violations === 0 ? 0 : 1);
	},
});

void runMain(command);
