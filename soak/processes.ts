/**
 * `npm run soak:processes`: randomised runs of real processes with external faults.
 */
import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import {LayoutKind} from '../test/support/address-layout.js';
import {type FaultKind, faults} from './process-faults.js';
import {ProcessRun, type ProcessRunOptions, VM_COUNT} from './process-run.js';

/** Options of `--layout`; `mahabir` has nine VMs in three zones. */
const layouts: Record<string, ProcessRunOptions> = {
	...Object.fromEntries(Object.values(LayoutKind).map(layout => [layout, {layout}])),
	mahabir: {layout: LayoutKind.OwnAddresses, isLarge: true},
	'mahabir-outgoing': {layout: LayoutKind.OutgoingRange, isLarge: true},
};
const layoutNames = Object.keys(layouts);

const command = defineCommand({
	meta: {name: 'soak:processes', description: 'Randomised runs of real processes with external faults'},
	args: {
		seed: {type: 'string', default: '1', description: 'Seed of the first run; incremented for each further run'},
		seconds: {type: 'string', default: '10', description: 'Duration of the faults in each run, in seconds'},
		runs: {type: 'string', default: '1', description: 'Number of runs'},
		vms: {type: 'string', description: `Number of VMs, each with a process of about 100 MB; ${VM_COUNT} by default, 9 with mahabir`},
		layout: {type: 'string', default: 'seed', description: `Addresses of the VMs: ${layoutNames.join(', ')}; chosen by the seed by default`},
		bundle: {type: 'boolean', default: false, description: 'Run the bundle with the flags of deploy/system.toml, and check its memory'},
		contracts: {type: 'string', default: 'seed', description: 'Whether the settings name the contracts pressure and rollout: on, off, or seed (those of even seeds)'},
		faults: {type: 'string', description: 'Kinds of faults, separated by commas; all by default'},
	},
	async run({args}) {
		let violations = 0;
		const kinds = args.faults?.split(',').map(kind => {
			if (!Object.hasOwn(faults, kind)) {
				throw new Error(`unknown kind of fault: ${kind}`);
			}

			return kind as FaultKind;
		});
		for (let seed = Number(args.seed); seed < Number(args.seed) + Number(args.runs); seed += 1) {
			const layout = args.layout === 'seed' ? layoutNames[seed % layoutNames.length]! : args.layout;
			/* eslint-disable no-await-in-loop -- runs are sequential */
			const run = await ProcessRun.create(seed, {
				...layouts[layout], isBundled: args.bundle, ...(args.vms === undefined ? {} : {vmCount: Number(args.vms)}), ...(kinds === undefined ? {} : {kinds}),
				...(args.contracts === 'seed' ? {} : {hasContracts: args.contracts === 'on'}),
			});
			try {
				await run.execute(Number(args.seconds));
			} catch (error) {
				run.deployment.addViolation(`the soak failed: ${(error as Error).stack}`);
			}

			const {deployment, injectedFaults, gauge, readyAfterMs, rollouts} = run;
			if (deployment.violations.length > 0) {
				await deployment.saveLogs(run.events);
			}

			await run.stop();
			/* eslint-enable no-await-in-loop */
			violations += deployment.violations.length;
			console.log(JSON.stringify({
				seed, layout, processes: deployment.vms.length, readyAfterMs, peak: gauge.peak, faults: Object.fromEntries(injectedFaults),
				answers: Object.fromEntries(deployment.counts), ...(rollouts === undefined ? {} : {rollouts: rollouts.outcomes}), checks: deployment.checks,
				endedBeforeFirstLine: deployment.vms.reduce((sum, vm) => sum + vm.earlyHupCount, 0), violations: deployment.violations,
			}));
		}

		console.log(`violations: ${violations}`);
		process.exit(violations === 0 ? 0 : 1);
	},
});

void runMain(command);
