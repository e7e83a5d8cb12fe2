/**
 * A deployment of real processes on one machine: the program of the users' platform, a store and servers of our own, and
 * callers that check what they and the servers see.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {Agent, type IncomingHttpHeaders, request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress} from '../src/base/address.js';
import {PlatformServer, expectedBody, expectedStreamBody} from '../standins/platform-server.js';
import {PlatformStore} from '../standins/platform-store.js';
import {TcpProxy} from '../standins/tcp-proxy.js';
import {freePort} from '../test/support/free-port.js';

/** Time limit that callers state, in ms. */
export const CALLER_LIMIT_MS = 3000;
/** How much longer than it was told a server may be given, in ms; what the rules allow. */
const LIMIT_SLACK_MS = 500;
/** Time in which VMs must stop to use a server that leaves, in ms. */
const DRAIN_MS = 2500;
/** VMs keep such bounds from this time on after a disturbance of theirs or of the store, in ms. */
const CONTACT_MS = 3000;
const READY_MS = 20_000;
const READY_POLL_MS = 50;
const LOG_LINES = 4000;
const promises = new Set([408, 421, 429, 503]);

/** A kind of request. */
export type CallKind = 'unsafe' | 'safe' | 'stream';

/** What a caller got. */
export type CallerAnswer = {
	readonly id: string;
	/** 0 for a connection without a whole answer. */
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	readonly isWhole: boolean;
};

type Asked = {
	readonly kind: CallKind;
	readonly target: string;
	readonly body: string;
};

/** One VM's process. */
export class VmProcess {
	readonly name: string;
	readonly settingsPath: string;
	readonly front: string;
	readonly ready: string;
	readonly directory: string;
	child: ChildProcess | undefined;
	/** The last lines that it wrote. */
	readonly log: string[] = [];
	/** Processes that a SIGHUP ended before the program's first line, while Node.js still started. */
	earlyHupCount = 0;
	#hasWritten = false;

	constructor(name: string, settingsPath: string, addresses: {front: string; ready: string; directory: string}) {
		this.name = name;
		this.settingsPath = settingsPath;
		this.front = addresses.front;
		this.ready = addresses.ready;
		this.directory = addresses.directory;
	}

	/** Starts the process unless it runs: faults that overlap may each want to start it again. */
	start(): void {
		if (this.isRunning) {
			return;
		}

		const child = spawn(process.execPath, ['--import', 'tsx', 'platform/main.ts'], {
			env: {...process.env, REDWINGSPOOL_NODE_FILE: this.settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		this.#hasWritten = false;
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', (text: string) => {
				this.log.push(...text.split('\n').filter(line => line !== ''));
				this.log.splice(0, this.log.length - LOG_LINES);
				this.#hasWritten ||= this.child === child;
			});
		}
	}

	get isRunning(): boolean {
		return this.child?.exitCode === null && this.child.signalCode === null;
	}

	/** Whether the process ended although nobody ended it. */
	get hasEndedByItself(): boolean {
		return this.child !== undefined && !this.isRunning;
	}

	signal(signal: NodeJS.Signals): void {
		if (signal === 'SIGHUP' && !this.#hasWritten) {
			this.#restartAfterEarlyHup();
		}

		this.child?.kill(signal);
	}

	/** Ends the process and waits for it. */
	async end(signal: NodeJS.Signals): Promise<void> {
		const {child} = this;
		if (child !== undefined && this.isRunning) {
			const ended = once(child, 'exit');
			child.kill(signal);
			await ended;
		}

		this.child = undefined;
	}

	/**
	 * No program can take a signal before Node.js runs its first line: its default action ends the process, which the
	 * platform then starts again. Seen with signals each 20 ms from the start of processes: those of the first 70 ms
	 * (250 ms through tsx, as here) ended them, later ones never did.
	 */
	#restartAfterEarlyHup(): void {
		const {child} = this;
		child?.once('exit', (_status, signal) => {
			if (signal === 'SIGHUP' && this.child === child) {
				this.earlyHupCount += 1;
				this.start();
			}
		});
	}
}

/** The deployment. */
export class PlatformDeployment {
	static async start(vmCount: number, serverCount: number): Promise<PlatformDeployment> {
		const store = await PlatformStore.start();
		const storeProxy = await TcpProxy.start(store.address);
		const folder = await mkdtemp(path.join(tmpdir(), 'redwingspool-'));
		const deployment = new PlatformDeployment(store, storeProxy, folder);
		for (let index = 0; index < serverCount; index += 1) {
			await deployment.addServer('engines', 4); // eslint-disable-line no-await-in-loop
			await deployment.addServer('desk', 6); // eslint-disable-line no-await-in-loop
		}

		deployment.setConfiguration();
		for (let index = 0; index < vmCount; index += 1) {
			await deployment.#addVm(index); // eslint-disable-line no-await-in-loop
		}

		await deployment.ready();
		return deployment;
	}

	readonly store: PlatformStore;
	readonly storeProxy: TcpProxy;
	readonly vms: VmProcess[] = [];
	readonly servers = new Map<string, {readonly server: PlatformServer; readonly service: string}>();
	/** What broke a promise, in one sentence each. */
	readonly violations: string[] = [];
	readonly counts = new Map<string, number>();
	checks = 0;
	readonly #folder: string;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 60});
	readonly #asked = new Map<string, Asked>();
	readonly #promisedNotRun = new Set<string>();
	readonly #allServers: PlatformServer[] = [];
	readonly #leavesAt = new Map<string, number>();
	readonly #disturbances: Array<{readonly startedAt: number; endedAt: number}> = [];
	/** Link addresses of the VMs that were added so far. */
	readonly #seeds: string[] = [];
	#version = 0;
	#nextId = 1;

	private constructor(store: PlatformStore, storeProxy: TcpProxy, folder: string) {
		this.store = store;
		this.storeProxy = storeProxy;
		this.#folder = folder;
	}

	async addServer(service: string, slots: number): Promise<PlatformServer> {
		const server = await PlatformServer.start(`i-${this.#allServers.length}`, slots);
		this.#allServers.push(server);
		this.servers.set(server.id, {server, service});
		this.store.put('servers', server.id, server.entry(service));
		return server;
	}

	/** Announces that a server leaves; no request may reach it some time later. */
	drainServer(id: string): void {
		const {server, service} = this.servers.get(id)!;
		this.store.put('servers', id, server.entry(service, 'draining'));
		this.#leavesAt.set(id, performance.now());
		this.servers.delete(id);
	}

	/** A server dies; its entry lapses after a while. */
	crashServer(id: string): void {
		this.servers.get(id)!.server.crash();
		this.servers.delete(id);
		setTimeout(() => {
			this.store.delete('servers', id);
		}, 1500).unref();
	}

	/**
	 * @param extraRoutes - Prefixes that are allowed beside the usual ones.
	 * @param apiKeys - Keys of the customer; callers here use the first of the usual ones.
	 */
	setConfiguration(extraRoutes: readonly string[] = [], apiKeys: readonly string[] = ['key-1']): void {
		this.#version += 1;
		const route = (name: string, kind: string, prefix: string, service: string, isStream: boolean) => ({
			name, host: 'desk.example', prefix, kind, timeoutMs: CALLER_LIMIT_MS, targetLatencyMs: 300, priority: isStream ? 0 : 1, service, maxAttempts: kind === 'non_idempotent' ? 1 : 2, public: false, sticky: isStream, resumable: isStream, gapTargetMs: 300,
		});
		this.store.put('op', 'config', {
			version: this.#version,
			routes: [
				route('stream', 'streaming', '/stream/', 'engines', true),
				route('safe', 'idempotent', '/safe/', 'desk', false),
				route('unsafe', 'non_idempotent', '/unsafe/', 'desk', false),
				...extraRoutes.map(prefix => route(prefix, 'idempotent', prefix, 'desk', false)),
			],
			services: [
				{
					name: 'engines', healthPath: '/health', maxConns: 100, engine: {slots: 4, stride: 1},
				},
				{name: 'desk', healthPath: '/health', maxConns: 100},
			],
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
			tenants: [{name: 'crew', apiKeys}],
		});
	}

	/** Waits until all running processes say that they are ready. */
	async ready(): Promise<void> {
		const end = performance.now() + READY_MS;
		for (const vm of this.vms) {
			while (vm.child !== undefined && !await this.isReady(vm)) { // eslint-disable-line no-await-in-loop
				if (performance.now() > end) {
					throw new Error(`${vm.name} is not ready: ${vm.log.slice(-5).join(' | ')}`);
				}

				await sleep(READY_POLL_MS); // eslint-disable-line no-await-in-loop
			}
		}
	}

	async isReady(vm: VmProcess): Promise<boolean> {
		const {status} = await this.#send(vm.ready, 'GET', '/api/ready', {}, '', 500);
		return status === 200;
	}

	/** Addresses that a VM's directory answers with. */
	async addresses(vm: VmProcess): Promise<readonly string[]> {
		const {status, body} = await this.#send(vm.directory, 'GET', '/api/resolve?name=desk.example&region=region-a&zone=zone-a', {}, '', 500);
		return status === 200 ? (JSON.parse(body) as {addresses: string[]}).addresses : [];
	}

	/** Sends a request of a caller and checks its answer. */
	async call(vm: VmProcess, kind: CallKind, prefix = `/${kind}/`): Promise<CallerAnswer> {
		const id = `r${this.#nextId}`;
		this.#nextId += 1;
		const target = `${prefix}${id}?x=1`;
		const method = kind === 'safe' ? 'GET' : 'POST';
		const body = kind === 'safe' ? '' : `body of ${id}`;
		this.#asked.set(id, {kind, target, body});
		const got = await this.#send(vm.front, method, target, {
			host: 'desk.example',
			'x-request-id': id,
			'x-deadline-ms': String(CALLER_LIMIT_MS),
			authorization: 'Bearer key-1',
			...(kind === 'stream' ? {'x-token-count': '100,40', 'x-model': 'm'} : {}),
		}, body, CALLER_LIMIT_MS + 1000);
		const answer = {...got, id};
		this.#count(`${kind} ${answer.isWhole ? answer.status : 'cut'}`);
		this.#checkAnswer(kind, answer);
		return answer;
	}

	/** Checks what the servers saw, after all requests have ended. */
	checkServers(): void {
		const executions = new Map<string, number>();
		for (const server of this.#allServers) {
			const leftAt = this.#leavesAt.get(server.id);
			for (const run of server.runs) {
				executions.set(run.id, (executions.get(run.id) ?? 0) + 1);
				const asked = this.#asked.get(run.id);
				this.#check(asked?.target === run.target && asked.body === run.body, `server ran ${run.id}, which nobody asked like this: ${run.method} ${run.target}`);
				this.#check(run.tenant === 'crew', `server ran ${run.id} for customer ${run.tenant}`);
				this.#check(run.deadlineMs <= CALLER_LIMIT_MS + LIMIT_SLACK_MS, `server was given ${run.deadlineMs} ms for ${run.id}`);
				this.#check(leftAt === undefined || run.at - leftAt < DRAIN_MS || this.#isDisturbed(run.at), `${server.id} got ${run.id} ${Math.round(run.at - (leftAt ?? 0))} ms after it began to leave`);
			}
		}

		for (const [id, {kind}] of this.#asked) {
			const count = executions.get(id) ?? 0;
			this.#check(kind !== 'unsafe' || count <= 1, `${id} (unsafe) ran ${count} times`);
			this.#check(!this.#promisedNotRun.has(id) || count === 0, `${id} ran although its caller was told that it had not`);
		}
	}

	/** A disturbance after which VMs may know late what the store says begins; the result ends it. */
	disturb(): () => void {
		const span = {endedAt: Number.POSITIVE_INFINITY, startedAt: performance.now()};
		this.#disturbances.push(span);
		return () => {
			span.endedAt = performance.now();
		};
	}

	/** Where an answer that must not be missing is missing. */
	noteViolation(text: string): void {
		this.#check(false, text);
	}

	noteCheck(): void {
		this.checks += 1;
	}

	/** Keeps what the processes wrote, for a finding. */
	async saveLogs(): Promise<void> {
		const folder = await mkdtemp(path.join(tmpdir(), 'redwingspool-finding-'));
		await Promise.all(this.vms.map(async vm => writeFile(path.join(folder, `${vm.name}.log`), vm.log.join('\n'))));
		console.error(`logs: ${folder}`);
	}

	async stop(): Promise<void> {
		await Promise.all(this.vms.map(async vm => {
			vm.signal('SIGCONT');
			await vm.end('SIGKILL');
		}));
		this.#agent.destroy();
		this.storeProxy.close();
		this.store.close();
		for (const server of this.#allServers) {
			server.crash();
		}

		await rm(this.#folder, {recursive: true});
	}

	#isDisturbed(at: number): boolean {
		return this.#disturbances.some(({startedAt, endedAt}) => startedAt <= at && at < endedAt + CONTACT_MS);
	}

	#checkAnswer(kind: CallKind, {id, status, headers, body, isWhole}: CallerAnswer): void {
		if (isWhole && status === 200) {
			const expected = kind === 'stream' ? expectedStreamBody(id) : expectedBody(id);
			this.#check(body === expected, `${id} was answered with '${body.slice(0, 80)}'`);
			this.#check(headers['x-server-seal'] !== undefined, `${id} was answered without a signature`);
			this.#check(headers['x-request-id'] === id, `${id} was answered with the ID ${String(headers['x-request-id'])}`);
		}

		if (promises.has(status)) {
			this.#promisedNotRun.add(id);
		}
	}

	#check(holds: boolean, text: string): void {
		this.checks += 1;
		if (!holds) {
			this.violations.push(text);
		}
	}

	#count(what: string): void {
		this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
	}

	async #addVm(index: number): Promise<void> {
		const [front, ready, control, directory, metrics] = await Promise.all(Array.from({length: 5}, async () => freePort()));
		const at = (port: number | undefined) => `127.0.0.1:${port}`;
		const settingsPath = path.join(this.#folder, `vm-${index}.json`);
		this.#seeds.push(at(control));
		await writeFile(settingsPath, JSON.stringify({
			nodeName: `vm-${index}`,
			zone: 'zone-a',
			region: 'region-a',
			zones: {'zone-a': 'region-a'},
			listen: {
				front: at(front), ready: at(ready), control: at(control), directory: at(directory),
			},
			internalPorts: [metrics, metrics],
			seeds: this.#seeds,
			limits: {cpuShare: 1 - (index / 100), cores: 1, linkMbps: 1000},
			bounds: {
				graceS: 8, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 50, quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 1000,
			},
			platform: {address: this.storeProxy.address},
		}));
		const vm = new VmProcess(`vm-${index}`, settingsPath, {front: at(front), ready: at(ready), directory: at(directory)});
		this.vms.push(vm);
		vm.start();
	}

	async #send(address: string, method: string, target: string, headers: Record<string, string>, body: string, timeoutMs: number): Promise<Omit<CallerAnswer, 'id'>> {
		return new Promise(resolve => {
			let status = 0;
			let received: IncomingHttpHeaders = {};
			let text = '';
			const finish = (isWhole: boolean) => {
				clearTimeout(timer);
				resolve({
					status, headers: received, body: text, isWhole,
				});
			};

			const req = request({
				...splitAddress(address), method, path: target, headers: body === '' ? headers : {...headers, 'content-length': String(body.length)}, agent: this.#agent,
			}, res => {
				status = res.statusCode!;
				received = res.headers;
				res.setEncoding('utf8');
				res.on('data', (chunk: string) => {
					text += chunk;
				});
				res.once('end', () => {
					finish(res.complete);
				});
				res.once('error', () => {
					finish(false);
				});
			});
			const timer = setTimeout(() => {
				req.destroy();
				finish(false);
			}, timeoutMs);
			req.once('error', () => {
				finish(false);
			});
			req.end(body);
		});
	}
}
