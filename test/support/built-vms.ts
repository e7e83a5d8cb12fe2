/**
 * VMs that run the built program as `deploy/system.toml` does: each with an address of its own and the same ports, in three
 * data centres, with a stand-in store and stand-in servers.
 */
import {type ChildProcess, execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Operator} from '../../soak/operator.js';
import {PlatformServer} from '../../standins/platform-server.js';
import {PlatformStore} from '../../standins/platform-store.js';
import {splitAddress} from '../../src/base/address.js';
import {freePort} from './free-port.js';

/** Number of VMs in each data centre of mahabir-tables. */
const VMS_BY_ZONE = {'zone-a': 4, 'zone-b': 3, 'zone-c': 2} as const;
const MAX_SEEDS = 3;
const SERVER_COUNT = 3;
const READINESS_TIMEOUT_MS = 1000;
const READINESS_POLL_MS = 20;

/** One VM. Addresses are `IP:PORT`. */
export class BuiltVm {
	static create(settingsPath: string, listen: BuiltVm['listen'], metrics: string): BuiltVm {
		return new BuiltVm(settingsPath, listen, metrics);
	}

	readonly settingsPath: string;
	readonly listen: Readonly<Record<'front' | 'ready' | 'control' | 'directory', string>>;
	readonly metrics: string;
	child: ChildProcess | undefined;
	/** Lines of its output, of all its processes. */
	readonly log: string[] = [];
	/** When it started last, and when it was ready first since then, in ms of `performance.now()`. */
	startedAt = Number.NaN;
	readyAt = Number.NaN;
	/** How processes ended that this class did not end. */
	readonly ends: string[] = [];

	private constructor(settingsPath: string, listen: BuiltVm['listen'], metrics: string) {
		this.settingsPath = settingsPath;
		this.listen = listen;
		this.metrics = metrics;
	}

	start(): void {
		const [, arguments_] = /^run = "node (?<args>.*)"$/mv.exec(readFileSync('deploy/system.toml', 'utf8'))!;
		const child = spawn(process.execPath, arguments_!.split(' '), {
			env: {PATH: process.env.PATH, REDWINGSPOOL_NODE_FILE: this.settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		this.startedAt = performance.now();
		this.readyAt = Number.NaN;
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			let rest = '';
			stream.on('data', (text: string) => {
				const lines = (rest + text).split('\n');
				rest = lines.pop()!;
				this.log.push(...lines);
			});
		}

		child.once('exit', (status, signal) => {
			if (this.child === child) {
				this.ends.push(`${this.listen.front}: status ${status}, signal ${signal}`);
			}
		});
	}

	/** Sends the signal and waits for the end. @returns The exit status; null after an end by the signal. */
	async end(signal: NodeJS.Signals): Promise<number | null> { // eslint-disable-line @typescript-eslint/no-restricted-types -- of Node.js
		const {child} = this;
		if (child?.exitCode !== null || child.signalCode !== null) {
			return child?.exitCode ?? null;
		}

		this.child = undefined;
		const closed = once(child, 'close');
		child.kill(signal);
		await closed;
		return child.exitCode;
	}

	/** Polls until the VM is ready or its process has ended. */
	async awaitReady(endsAt: number): Promise<void> {
		const {child} = this;
		while (this.child === child && performance.now() < endsAt) {
			if (await getStatus(this.listen.ready, '/api/ready') === 200) { // eslint-disable-line no-await-in-loop -- polling
				this.readyAt = performance.now();
				return;
			}

			await sleep(READINESS_POLL_MS); // eslint-disable-line no-await-in-loop
		}
	}

	/** @returns Warnings and errors in the log, each with its number. */
	get problems(): Map<string, number> {
		const counts = new Map<string, number>();
		for (const line of this.log) {
			const {level, message} = line.startsWith('{') ? JSON.parse(line) as {level: string; message: string} : {level: 'error', message: line};
			if (level !== 'info') {
				counts.set(message, (counts.get(message) ?? 0) + 1);
			}
		}

		return counts;
	}
}

/** The deployment. */
export class BuiltVms {
	/**
	 * Builds the program, and starts the store and the servers; neither are registered nor do VMs run yet.
	 *
	 * @param limits - Limits in the settings of the VMs, besides those of each deployment.
	 */
	static async create(limits: Readonly<Record<string, number>> = {}): Promise<BuiltVms> {
		execFileSync(process.execPath, ['scripts/build-platform.js']);
		const store = await PlatformStore.start();
		const folder = await mkdtemp(path.join(tmpdir(), 'redwingspool-vms-'));
		const servers = await Promise.all(Array.from({length: SERVER_COUNT * 2}, async (_, index) => PlatformServer.start(`i-${index}`, 6)));
		const deployment = new BuiltVms(store, folder, servers);
		await deployment.#addVms(limits);
		return deployment;
	}

	readonly store: PlatformStore;
	readonly operator: Operator;
	readonly vms: BuiltVm[] = [];
	readonly #folder: string;
	readonly #servers: readonly PlatformServer[];

	private constructor(store: PlatformStore, folder: string, servers: readonly PlatformServer[]) {
		this.store = store;
		this.operator = Operator.create(store);
		this.#folder = folder;
		this.#servers = servers;
	}

	configure(): void {
		this.operator.writeBase([], ['key-1']);
	}

	registerServers(): void {
		for (const [index, server] of this.#servers.entries()) {
			this.store.put('servers', server.id, server.entry(index % 2 === 0 ? 'engines' : 'desk'));
		}
	}

	/** Starts all VMs at even intervals. */
	async start(durationMs: number): Promise<void> {
		for (const vm of this.vms) {
			vm.start();
			await sleep(durationMs / this.vms.length); // eslint-disable-line no-await-in-loop -- at intervals
		}
	}

	async stop(): Promise<void> {
		await Promise.all(this.vms.map(async vm => vm.end('SIGKILL')));
		this.store.close();
		for (const server of this.#servers) {
			server.crash();
		}

		await rm(this.#folder, {recursive: true});
	}

	async #addVms(extraLimits: Readonly<Record<string, number>>): Promise<void> {
		const ports = {
			front: await freePort(), ready: await freePort(), control: await freePort(), directory: await freePort(),
		};
		const metricsPort = await freePort();
		const zones = Object.entries(VMS_BY_ZONE).flatMap(([zone, count]) => Array.from({length: count}, () => zone));
		const ips = zones.map((_, index) => `127.0.1.${index + 1}`);
		const seeds = ips.slice(0, MAX_SEEDS).map(ip => `${ip}:${ports.control}`);
		for (const [index, ip] of ips.entries()) {
			const listen = {
				front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, control: `${ip}:${ports.control}`, directory: `${ip}:${ports.directory}`,
			};
			const settingsPath = path.join(this.#folder, `vm-${index}.json`);
			await writeFile(settingsPath, JSON.stringify({ // eslint-disable-line no-await-in-loop -- in order
				nodeName: `vm-${index}`,
				zone: zones[index],
				region: `region-of-${zones[index]}`,
				zones: Object.fromEntries(Object.keys(VMS_BY_ZONE).map(zone => [zone, `region-of-${zone}`])),
				listen,
				internalPorts: [metricsPort, metricsPort],
				seeds,
				limits: {
					cpuShare: 0.675, cores: 1, linkMbps: 1000, ...extraLimits,
				},
				bounds: {
					graceS: 8, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 56, quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 190_000,
				},
				platform: {address: this.store.address},
			}));
			this.vms.push(BuiltVm.create(settingsPath, listen, `${ip}:${metricsPort}`));
		}
	}
}

/** @returns The status of the response; 0 if there is none. */
async function getStatus(address: string, target: string): Promise<number> {
	return new Promise(resolve => {
		const req = request({
			...splitAddress(address), path: target, agent: false, timeout: READINESS_TIMEOUT_MS,
		}, res => {
			res.resume();
			resolve(res.statusCode!);
		});
		req.once('timeout', () => {
			req.destroy();
		});
		req.once('error', () => {
			resolve(0);
		});
		req.end();
	});
}
