/**
 * Several `serve` processes on loopback with stand-in platform, engines and booking service.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {build} from 'esbuild';
import {request} from 'undici';
import {digestKey} from '../../src/config/deployment.js';
import {BookingStandIn} from '../../standins/booking.js';
import {EngineStandIn} from '../../standins/engine.js';
import {PlatformStandIn} from '../../standins/platform.js';

export const callerKey = 'caller-key';
export const operatorKey = 'operator-key';
const bootstrapKey = 'bootstrap-key';
const regions = ['north', 'centre', 'south'];
const START_TIMEOUT_MS = 60_000;

/** One `serve` process. */
export type RunningNode = {
	readonly vmId: string;
	readonly region: string;
	readonly url: string;
	readonly child: ChildProcess;
	/** Log lines, as they were written. */
	readonly logLines: string[];
};

/** What a put of the settings answers. */
export type PutAnswer = {
	readonly version: number;
	readonly regions: ReadonlyArray<{readonly region: string}>;
};

type StandIns = {
	readonly platform: PlatformStandIn;
	readonly engines: readonly EngineStandIn[];
	readonly booking: BookingStandIn;
};

/** All processes and stand-ins of one test. */
export class Deployment {
	/** Bundles the program once; starting the sources in each process would take most of the test's time. */
	static async start(engineCount: number): Promise<Deployment> {
		const folder = mkdtempSync(path.join(tmpdir(), 'redwingspool-'));
		// Packages resolve from the repository.
		const program = path.resolve('node_modules', '.cache', `redwingspool-${process.pid}.mjs`);
		await build({
			entryPoints: ['src/main.ts'], outfile: program, bundle: true, platform: 'node', format: 'esm', packages: 'external', logLevel: 'error',
		});
		writeFileSync(path.join(folder, 'peer-key'), randomBytes(32));
		const engines = await Promise.all(Array.from({length: engineCount}, async () => EngineStandIn.start({tokenIntervalMs: 10, defaultTokens: 20})));
		const standIns = {platform: await PlatformStandIn.start(), engines, booking: await BookingStandIn.start()};
		return new Deployment(folder, program, standIns);
	}

	readonly platform: PlatformStandIn;
	readonly engines: readonly EngineStandIn[];
	readonly booking: BookingStandIn;
	readonly nodes: RunningNode[] = [];
	readonly #folder: string;
	readonly #program: string;
	readonly #peerAddresses: string[] = [];

	private constructor(folder: string, program: string, {platform, engines, booking}: StandIns) {
		this.#folder = folder;
		this.#program = program;
		this.platform = platform;
		this.engines = engines;
		this.booking = booking;
	}

	/** Starts a node and waits until it listens. */
	async startNode(index: number, leaveMs = 300): Promise<RunningNode> {
		const region = regions[index % regions.length]!;
		const vmId = `vm-${index}`;
		const settings = {
			'vm-id': vmId,
			region,
			'data-centre': `${region}-1`,
			'table-url': this.platform.url,
			'objects-url': this.platform.url,
			'vm-list-url': `${this.platform.url}/vms`,
			'peer-key-file': path.join(this.#folder, 'peer-key'),
			peers: this.#peerAddresses.join(','),
			'leave-ms': String(leaveMs),
			'bootstrap-digest': digestKey(bootstrapKey),
		};
		const flags = Object.entries(settings).map(([name, value]) => `--${name}=${value}`);
		const child = spawn(process.execPath, [this.#program, 'serve', ...flags], {stdio: ['ignore', 'pipe', 'pipe']});
		const logLines: string[] = [];
		createInterface({input: child.stderr}).on('line', line => {
			logLines.push(line);
		});
		const line = await firstLine(child, logLines);
		const {url, peers} = /listening on (?<url>\S+), peers on (?<peers>\S+)/v.exec(line)!.groups as {url: string; peers: string};
		const node = {
			vmId, region, url, child, logLines,
		};
		this.nodes.push(node);
		this.#peerAddresses.push(peers);
		this.#listVms();
		return node;
	}

	/** Makes the team's first operator and puts its settings; the answer tells the regions in which they are in force. */
	async putSettings(): Promise<PutAnswer> {
		await this.put(0, {operators: {rana: {keyDigests: [digestKey(operatorKey)]}}}, bootstrapKey);
		return this.put(1, this.subtree());
	}

	/** The team's settings with one model service and one booking service. */
	subtree(models: readonly string[] = ['crew-advice']): Record<string, unknown> {
		const tiers = [{name: 'advice', deadlineMs: 10_000}, {name: 'summary', deadlineMs: 60_000}];
		const upstream = (url: string, service: string, index: number) => ({
			service, url, region: regions[index % regions.length], dataCentre: `${regions[index % regions.length]}-1`, canResume: true,
		});
		return {
			services: {
				advice: {
					kind: 'model', models, tiers, defaultTier: 'advice',
				},
				booking: {
					kind: 'plain', tiers, defaultTier: 'advice', operations: [],
				},
			},
			customers: {guest: {keyDigests: [digestKey(callerKey)]}},
			operators: {rana: {keyDigests: [digestKey(operatorKey)]}},
			upstreams: {
				...Object.fromEntries(this.engines.map((engine, index) => [`engine-${index}`, upstream(engine.url, 'advice', index)])),
				'booking-0': {...upstream(this.booking.url, 'booking', 0), canResume: false},
			},
		};
	}

	/** Puts settings at the first node that runs. */
	async put(fromVersion: number, subtree: unknown, key = operatorKey): Promise<PutAnswer> {
		const res = await request(`${this.running[0]!.url}/v1/teams/team/config`, {
			method: 'PUT',
			headers: {authorization: `Bearer ${key}`, 'if-match': `"${fromVersion}"`, 'content-type': 'application/json'},
			body: JSON.stringify(subtree),
		});
		const text = await res.body.text();
		if (res.statusCode !== 200) {
			throw new Error(`put was answered ${res.statusCode}: ${text}`);
		}

		return JSON.parse(text) as PutAnswer;
	}

	get running(): RunningNode[] {
		return this.nodes.filter(node => node.child.exitCode === null && node.child.signalCode === null);
	}

	/** Ends one process as a crash would. */
	async kill(node: RunningNode): Promise<void> {
		const ended = once(node.child, 'exit');
		node.child.kill('SIGKILL');
		await ended;
	}

	/** Stops one process gracefully. */
	async stopNode(node: RunningNode): Promise<number | undefined> {
		const ended = once(node.child, 'exit');
		node.child.kill('SIGTERM');
		const [status] = await ended as [number | undefined];
		return status;
	}

	async stop(): Promise<void> {
		await Promise.all(this.running.map(async node => this.stopNode(node)));
		await Promise.all([this.platform, ...this.engines, this.booking].map(async standIn => standIn.stop()));
		rmSync(this.#folder, {recursive: true});
	}

	#listVms(): void {
		this.platform.vms = JSON.stringify(this.nodes.map(({vmId, region}, index) => ({
			id: vmId, address: this.#peerAddresses[index], region, dataCentre: `${region}-1`, state: 'live', role: 'entry',
		})));
	}
}

async function firstLine(child: ChildProcess, logLines: readonly string[]): Promise<string> {
	const lines = createInterface({input: child.stdout!});
	const timeout = AbortSignal.timeout(START_TIMEOUT_MS);
	const [line] = await Promise.race([once(lines, 'line', {signal: timeout}), once(child, 'exit', {signal: timeout})]) as [string | number];
	if (typeof line !== 'string') {
		throw new TypeError(`the node exited with ${line}: ${logLines.join('\n')}`);
	}

	return line;
}
