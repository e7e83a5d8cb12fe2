/**
 * Starts the program of the deploy file on loopback addresses, with the settings of a small deployment, and ends it again.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from './caller.js';
import {freeAddresses, split} from './network.js';

const [, RUN] = /^run = "(.*)"$/mv.exec(readFileSync('deploy/system.toml', 'utf8'));
/** After its end, the platform starts a process again, in ms. */
const RESTART_MS = 1000;
const READY_TIMEOUT_MS = 15_000;

/** Bounds of the site that the pages describe first. */
export const bounds = {
	seedLagS: 3,
	reuseAfterS: 2,
	contactMs: 3000,
	drainMs: 2500,
	graceS: 8,
	lossSlackMs: 200,
	configApplyMs: 2500,
	rollbackSlackMs: 250,
	stretchMaxMs: 5000,
	retryBudgetRatio: 0.2,
	budgetWindowS: 10,
	budgetSlack: 56,
	quotaWindowS: 8,
	quotaOver: 0.1,
	quotaSlack: 190_000,
	recoverS: 12,
	passMs: 200,
	reuseWindowS: 10,
};

/** One machine of the system, with its process. */
class Machine {
	constructor(name, addresses, record) {
		Object.assign(this, {
			name, record, endCount: 0, isEnding: false, output: [],
		});
		[this.front, this.ready, this.control, this.directory, this.metrics] = addresses;
	}

	start() {
		const [program, ...parameters] = RUN.split(' ');
		const {PATH, HOME, LANG} = process.env;
		this.child = spawn(program, parameters, {
			env: {
				PATH, HOME, LANG: LANG ?? 'C', REDWINGSPOOL_NODE_FILE: this.settings,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [this.child.stdout, this.child.stderr]) {
			stream.on('data', chunk => {
				this.output.push(String(chunk));
				this.output.splice(0, this.output.length - 400);
			});
		}

		this.child.once('exit', (status, signal) => {
			if (!this.isEnding) {
				this.endCount += 1;
				this.record.note('process-ended-by-itself', {machine: this.name, status, signal});
				setTimeout(() => {
					if (!this.isEnding) {
						this.start();
					}
				}, RESTART_MS);
			}
		});
	}

	async stop(signal) {
		this.isEnding = true;
		if (this.child.exitCode === null && this.child.signalCode === null) {
			const ended = once(this.child, 'exit');
			this.child.kill(signal);
			await ended;
		}
	}

	async isReady() {
		const {status} = await call(this.ready, {target: '/api/ready', timeoutMs: 500});
		return status === 200;
	}
}

/** All machines of a deployment. */
export class Deployment {
	static async start(store, record, machineCount) {
		const deployment = new Deployment();
		deployment.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		const addresses = await freeAddresses(machineCount * 5);
		deployment.machines = Array.from({length: machineCount}, (_, index) => new Machine(`front-${index + 1}`, addresses.splice(0, 5), record));
		const seeds = deployment.machines.slice(0, 3).map(machine => machine.control);
		for (const machine of deployment.machines) {
			const {port} = split(machine.metrics);
			machine.settings = `${deployment.folder}/${machine.name}.json`;
			writeFileSync(machine.settings, JSON.stringify({
				nodeName: machine.name, role: 'gateway', machineClass: 'front', serves: ['front', 'directory', 'control'], ip: '127.0.0.1', zone: 'zone-a', region: 'region-a', zones: {'zone-a': 'region-a'}, listen: {
					front: machine.front, ready: machine.ready, control: machine.control, directory: machine.directory,
				}, internalPorts: [port, port + 15],
				seeds,
				bootstrap: true,
				limits: {
					cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0,
				}, discovery: 'platform', entry: 'directory', heartbeatMs: 1200, bounds, platform: {address: store.address, form: 'table'},
			}));
			machine.start();
		}

		const endsAt = performance.now() + READY_TIMEOUT_MS;
		for (const machine of deployment.machines) {
			while (!await machine.isReady()) { // eslint-disable-line no-await-in-loop -- polling
				if (performance.now() > endsAt) {
					await deployment.stop(); // eslint-disable-line no-await-in-loop
					throw new Error('the deployment does not get ready');
				}

				await sleep(100); // eslint-disable-line no-await-in-loop
			}
		}

		return deployment;
	}

	async stop() {
		await Promise.all(this.machines.map(async machine => machine.stop('SIGKILL')));
		rmSync(this.folder, {recursive: true, force: true});
	}
}
