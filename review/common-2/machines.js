/**
 * The machines of a small deployment: processes of the program with the command of `deploy/system.toml`, and settings files
 * with the fields and the figures of the site `mahabir-tables`. All addresses are loopback addresses.
 */
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {get} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const ROOT = path.resolve(import.meta.dirname, '../..');
const LOCALHOST = '127.0.0.1';
const READY_TIMEOUT_MS = 20_000;
/** Index of the control port among the ports of a machine. */
const CONTROL_INDEX = 2;
const PORTS_PER_MACHINE = 5;

/** Bounds on the sheet of mahabir-tables. */
export const bounds = {
	seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2500, graceS: 8, lossSlackMs: 200, configApplyMs: 2500,
	rollbackSlackMs: 250, stretchMaxMs: 5000, revokeStrict: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 58,
	quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 190_000, recoverS: 12, passMs: 200, reuseWindowS: 10, ttl_max_s: 5, // eslint-disable-line camelcase -- as on the users' pages
};
/** Those of mahabir-tables-grown that differ. */
export const grownBounds = {
	...bounds, contactMs: 4000, ackMs: 6000, catchUpS: 6, drainMs: 4000, configApplyMs: 4000, stretchMaxMs: 6000, budgetSlack: 202, recoverS: 15, passMs: 250,
};
const contracts = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'quota', 'platform'];

/** Ports below those that the system gives to outgoing connections. */
const PORTS = {min: 20_000, max: 32_000};
const givenPorts = new Set();

async function isFree(port) {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, LOCALHOST, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

async function freePort() {
	for (;;) {
		const port = randomInt(PORTS.min, PORTS.max);
		// eslint-disable-next-line no-await-in-loop -- one after the other
		if (!givenPorts.has(port) && await isFree(port)) {
			givenPorts.add(port);
			return port;
		}
	}
}

/** @returns The command of the deploy file, without the program's name. */
function command() {
	const [, text] = /^run = "node (.*)"$/mv.exec(readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8'));
	return text.split(' ');
}

/** One machine. */
class Machine {
	log = [];
	child;

	constructor(name, settingsPath, listen) {
		this.name = name;
		this.settingsPath = settingsPath;
		this.listen = listen;
	}

	start() {
		const child = spawn(process.execPath, command(), {
			cwd: ROOT, env: {PATH: process.env.PATH, HOME: process.env.HOME, REDWINGSPOOL_NODE_FILE: this.settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', text => {
				this.log.push(...text.split('\n').filter(line => line !== ''));
			});
		}
	}

	get isRunning() {
		return this.child?.exitCode === null && this.child.signalCode === null;
	}

	signal(signal) {
		this.child.kill(signal);
	}

	async kill() {
		const {child} = this;
		if (this.isRunning) {
			const ended = once(child, 'exit');
			child.kill('SIGCONT');
			child.kill('SIGKILL');
			await ended;
		}
	}

	async isReady() {
		return await status(`http://${this.listen.ready}/api/ready`) === 200;
	}

	async awaitReady() {
		const endsAt = performance.now() + READY_TIMEOUT_MS;
		while (performance.now() < endsAt) {
			// eslint-disable-next-line no-await-in-loop -- polling
			if (await this.isReady()) {
				return;
			}

			await sleep(50); // eslint-disable-line no-await-in-loop
		}

		throw new Error(`${this.name} is not ready`);
	}
}

async function status(url) {
	return new Promise(resolve => {
		const req = get(url, {agent: false, timeout: 500}, res => {
			res.resume();
			resolve(res.statusCode);
		});
		req.once('error', () => {
			resolve(0);
		});
		req.once('timeout', () => {
			req.destroy();
		});
	});
}

/** The machines and the folder with their settings. */
export class Machines {
	/**
	 * @param count - Number of machines.
	 * @param storeAddressOf - Address of the store, by the number of the machine.
	 */
	static async create(count, storeAddressOf, settings = {}) {
		const machines = new Machines();
		const ports = [];
		for (let index = 0; index < count; index += 1) {
			const own = [];
			while (own.length < PORTS_PER_MACHINE) {
				own.push(await freePort()); // eslint-disable-line no-await-in-loop -- one after the other
			}

			ports.push(own);
		}

		for (const [index, [front, ready, control, directory, internal]] of ports.entries()) {
			const listen = {
				front: `${LOCALHOST}:${front}`, ready: `${LOCALHOST}:${ready}`, control: `${LOCALHOST}:${control}`, directory: `${LOCALHOST}:${directory}`,
			};
			const settingsPath = path.join(machines.folder, `machine-${index}.json`);
			writeFileSync(settingsPath, JSON.stringify({
				nodeName: `front-${index}`,
				role: 'gateway',
				machineClass: 'front',
				serves: ['front', 'directory', 'control'],
				ip: LOCALHOST,
				zone: 'maracas-a',
				region: 'north-coast',
				zones: {'maracas-a': 'north-coast', 'chaguanas-a': 'central-plain', 'sanfernando-a': 'south-bay'},
				listen,
				internalPorts: [internal, internal],
				seeds: ports.slice(0, 3).map(list => `${LOCALHOST}:${list[CONTROL_INDEX]}`),
				bootstrap: true,
				countsTowardFaults: false,
				limits: {
					cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0,
				},
				dataDir: null,
				discovery: 'platform',
				entry: 'directory',
				heartbeatMs: 1200,
				contracts,
				tolerate: {machines: 1, zones: 0, regions: 0},
				bounds,
				platform: {
					address: storeAddressOf(index), form: 'table', writesPerS: 400, readsPerS: 2000, txMs: 5, partWritesS: 200,
					rowBytes: 65_536, across: false, historyS: 20, blobBytes: 8_388_608, blobMs: 25, blobMbS: 80,
				},
				...settings,
			}));
			machines.all.push(new Machine(`front-${index}`, settingsPath, listen));
		}

		return machines;
	}

	all = [];
	folder = mkdtempSync(path.join(tmpdir(), 'redwingspool-review-'));

	async start() {
		for (const machine of this.all) {
			machine.start();
		}

		await Promise.all(this.all.map(async machine => machine.awaitReady()));
	}

	/** Ends all processes and removes the settings. */
	async end() {
		await Promise.all(this.all.map(async machine => machine.kill()));
		rmSync(this.folder, {recursive: true, force: true});
	}
}
