/**
 * Several `serve` processes on loopback, with a stand-in platform, stand-in engines and a stand-in booking service.
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

/** A `serve` process. */
export type RunningNode = {
	readonly vmId: string;
	readonly region: string;
	readonly url: string;
	readonly child: ChildProcess;
	/** Lines of the log, unparsed. */
	readonly logLines: string[];
};

/** A `serve` process that may not accept connections yet. */
export type LaunchedNode = Pick<RunningNode, 'vmId' | 'region' | 'child' | 'logLines'> & {
	/** Resolves when the node accepts connections; rejects if the process ends before. */
	readonly started: Promise<RunningNode>;
};

/** Response to a PUT of the settings. */
export type PutResponse = {
	readonly version: number;
	readonly regions: ReadonlyArray<{readonly region: string}>;
};

type StandIns = {
	readonly platform: PlatformStandIn;
	readonly engines: readonly EngineStandIn[];
	readonly booking: BookingStandIn;
};

/** The processes and stand-ins of a test. */
export class Deployment {
	/** Bundles the program once, because compiling the sources in each process would dominate the duration of the test. */
	static async start(engineCount: number): Promise<Deployment> {
		const folder = mkdtempSync(path.join(tmpdir(), 'redwingspool-'));
		// The bundle is written below node_modules, so that its external packages can be resolved.
		const programPath = path.resolve('node_modules', '.cache', `redwingspool-${process.pid}.mjs`);
		await build({
			entryPoints: ['src/main.ts'], outfile: programPath, bundle: true, platform: 'node', format: 'esm', packages: 'external', logLevel: 'error',
		});
		writeFileSync(path.join(folder, 'peer-key'), randomBytes(32));
		const engines = await Promise.all(Array.from({length: engineCount}, async () => EngineStandIn.start({tokenIntervalMs: 10, defaultTokens: 20})));
		const standIns = {platform: await PlatformStandIn.start(), engines, booking: await BookingStandIn.start()};
		return new Deployment(folder, programPath, standIns);
	}

	readonly platform: PlatformStandIn;
	readonly engines: readonly EngineStandIn[];
	readonly booking: BookingStandIn;
	readonly nodes: RunningNode[] = [];
	readonly #folder: string;
	readonly #programPath: string;
	readonly #peerAddresses: string[] = [];

	private constructor(folder: string, programPath: string, {platform, engines, booking}: StandIns) {
		this.#folder = folder;
		this.#programPath = programPath;
		this.platform = platform;
		this.engines = engines;
		this.booking = booking;
	}

	/** Starts a node and waits until it accepts connections. */
	async startNode(index: number, leaveMs = 300): Promise<RunningNode> {
		return this.launchNode(index, {'leave-ms': String(leaveMs)}).started;
	}

	/**
	 * Starts a node without waiting.
	 *
	 * @param overrides - Settings that differ from the defaults of the deployment.
	 */
	launchNode(index: number, overrides: Readonly<Record<string, string>> = {}): LaunchedNode {
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
			'leave-ms': '300',
			'bootstrap-digest': digestKey(bootstrapKey),
			...overrides,
		};
		const flags = Object.entries(settings).map(([name, value]) => `--${name}=${value}`);
		const child = spawn(process.execPath, [this.#programPath, 'serve', ...flags], {stdio: ['ignore', 'pipe', 'pipe']});
		const logLines: string[] = [];
		createInterface({input: child.stderr}).on('line', line => {
			logLines.push(line);
		});
		const launched = {
			vmId, region, child, logLines,
		};
		return {...launched, started: this.#waitUntilStarted(launched)};
	}

	/** Creates the team's first operator and puts the settings of the team; the response lists the regions that have applied them. */
	async putSettings(): Promise<PutResponse> {
		await this.put(0, {operators: {rana: {keyDigests: [digestKey(operatorKey)]}}}, bootstrapKey);
		return this.put(1, this.subtree());
	}

	/** @returns Settings of the team with a model service and a booking service. */
	subtree(models: readonly string[] = ['crew-advice']): Record<string, unknown> {
		const tiers = [{name: 'advice', deadlineMs: 10_000}, {name: 'summary', deadlineMs: 60_000}];
		const createUpstream = (url: string, service: string, index: number) => ({
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
				...Object.fromEntries(this.engines.map((engine, index) => [`engine-${index}`, createUpstream(engine.url, 'advice', index)])),
				'booking-0': {...createUpstream(this.booking.url, 'booking', 0), canResume: false},
			},
		};
	}

	/** Puts settings through the first running node. */
	async put(fromVersion: number, subtree: unknown, key = operatorKey): Promise<PutResponse> {
		const res = await request(`${this.running[0]!.url}/v1/teams/team/config`, {
			method: 'PUT',
			headers: {authorization: `Bearer ${key}`, 'if-match': `"${fromVersion}"`, 'content-type': 'application/json'},
			body: JSON.stringify(subtree),
		});
		const text = await res.body.text();
		if (res.statusCode !== 200) {
			throw new Error(`PUT failed with status ${res.statusCode}: ${text}`);
		}

		return JSON.parse(text) as PutResponse;
	}

	get running(): RunningNode[] {
		return this.nodes.filter(node => node.child.exitCode === null && node.child.signalCode === null);
	}

	/** Kills a process, as a crash would. */
	async kill(node: RunningNode): Promise<void> {
		const exited = once(node.child, 'exit');
		node.child.kill('SIGKILL');
		await exited;
	}

	/** Stops a process gracefully. */
	async stopNode(node: RunningNode): Promise<number | undefined> {
		const exited = once(node.child, 'exit');
		node.child.kill('SIGTERM');
		const [status] = await exited as [number | undefined];
		return status;
	}

	async stop(): Promise<void> {
		await Promise.all(this.running.map(async node => this.stopNode(node)));
		await Promise.all([this.platform, ...this.engines, this.booking].map(async standIn => standIn.stop()));
		rmSync(this.#folder, {recursive: true});
	}

	async #waitUntilStarted(launched: Omit<RunningNode, 'url'>): Promise<RunningNode> {
		const line = await readFirstLine(launched.child, launched.logLines);
		const {url, peers} = /listening on (?<url>\S+), peers on (?<peers>\S+)/v.exec(line)!.groups as {url: string; peers: string};
		const node = {...launched, url};
		this.nodes.push(node);
		this.#peerAddresses.push(peers);
		this.#publishVmList();
		return node;
	}

	#publishVmList(): void {
		this.platform.vms = JSON.stringify(this.nodes.map(({vmId, region}, index) => ({
			id: vmId, address: this.#peerAddresses[index], region, dataCentre: `${region}-1`, state: 'live', role: 'entry',
		})));
	}
}

async function readFirstLine(child: ChildProcess, logLines: readonly string[]): Promise<string> {
	const lines = createInterface({input: child.stdout!});
	const timeout = AbortSignal.timeout(START_TIMEOUT_MS);
	const [line] = await Promise.race([once(lines, 'line', {signal: timeout}), once(child, 'exit', {signal: timeout})]) as [string | number];
	if (typeof line !== 'string') {
		throw new TypeError(`the node exited with ${line}: ${logLines.join('\n')}`);
	}

	return line;
}
