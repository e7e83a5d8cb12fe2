/**
 * `npm run bench:quarantine`: how soon a prompt part that crashes upstreams is refused, and whether sound requests are, for
 * deployments of 3 to 360 VMs.
 */
import process from 'node:process';
import Table from 'cli-table3';
import {type QuarantinePlan, simulateQuarantine} from './quarantine-simulation.js';

const SEEDS = Number(process.argv[2] ?? 40);
const quiet: Omit<QuarantinePlan, 'seed' | 'vms'> = {
	deadlyShare: 0.02, isFirstPart: false, killsPerSecond: 0, powerLossShare: 0, lostShare: 0, leaderLostAt: undefined,
};
const cases: ReadonlyArray<readonly [string, Partial<QuarantinePlan>]> = [
	['1 in 50', {}],
	['1 in 100, the first part', {deadlyShare: 0.01, isFirstPart: true}],
	['1 in 5', {deadlyShare: 0.2}],
	['1 in 50, behind the first event', {crashAfterMs: 40}],
	['1 in 20, before the last event', {deadlyShare: 0.05, crashAfterMs: 550}],
	['1 in 5, the first part, behind the first event', {deadlyShare: 0.2, isFirstPart: true, crashAfterMs: 40}],
	['1 in 20, beside kills, a power loss and lost answers', {
		deadlyShare: 0.05, killsPerSecond: 0.5, powerLossShare: 0.5, lostShare: 0.02,
	}],
	['1 in 20, the allocator lost', {deadlyShare: 0.05, leaderLostAt: 4700}],
	['none, beside kills, a power loss of all and lost answers', {
		deadlyShare: 0, killsPerSecond: 1, powerLossShare: 1, lostShare: 0.05,
	}],
];

const table = new Table({head: ['case', 'VMs', 'runs', 'crashes until refused: median, most', 'never', 'late requests: most', 'sound refused']});
for (const [name, changes] of cases) {
	for (const vms of [3, 9, 90, 360]) {
		const count = vms > 9 ? Math.ceil(SEEDS / 8) : SEEDS;
		const reports = Array.from({length: count}, (_, index) => simulateQuarantine({
			...quiet, ...changes, seed: index + 1, vms,
		}));
		const crashes = reports.map(({crashesToVerdict}) => crashesToVerdict).filter(value => value !== undefined).sort((a, b) => a - b);
		const soundRefused = reports.reduce((sum, report) => sum + report.soundRefused, 0);
		const sound = reports.reduce((sum, report) => sum + report.sound, 0);
		table.push([
			name, vms, count, crashes.length === 0 ? '-' : `${crashes[Math.floor(crashes.length / 2)]}, ${crashes.at(-1)}`, count - crashes.length, Math.max(...reports.map(({late}) => late)), `${soundRefused} of ${sound}`,
		]);
	}
}

console.log(table.toString());
