/**
 * A deployment of real processes on one machine: VMs that run the platform's program, a stand-in store, stand-in servers,
 * and callers. Checks the answers that callers receive and the requests that servers receive.
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
import {findLimitExcess, type LimitSpan} from './limit-rule.js';

/** Deadline that callers send with each request, in ms. */
export const CALLER_TIMEOUT_MS = 3000;
/** How much the deadline that a server receives may exceed the caller's, in ms, as the rules allow. */
const DEADLINE_TOLERANCE_MS = 500;
/** Time within which VMs must stop using a draining server, in ms. */
const DRAIN_PROPAGATION_LIMIT_MS = 2500;
/** Time after a disturbance of the VMs or the store during which that limit is not checked, in ms. */
const DISTURBANCE_GRACE_MS = 3000;
/** Time from the first statement of a limit until it must hold, in ms, as in the larger example deployments. */
const LIMIT_CONTACT_MS = 4500;
/** Time until a crashed server is replaced, in ms. */
const RESTART_MS = 1000;
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_INTERVAL_MS = 50;
const MAX_LOG_LINES = 4000;
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Kinds of requests that callers send. */
export type CallKind = 'unsafe' | 'safe' | 'stream';

/** The answer that a caller received. */
export type CallerAnswer = {
	readonly id: string;
	/** 0 if no status was received. */
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	readonly isWhole: boolean;
};

type SentRequest = {
	readonly kind: CallKind;
	readonly target: string;
	readonly body: string;
};

/** The process of one VM. */
export class VmProcess {
	readonly name: string;
	readonly settingsPath: string;
	readonly front: string;
	readonly ready: string;
	readonly directory: string;
	child: ChildProcess | undefined;
	/** Most recent lines of its output. */
	readonly log: string[] = [];
	/** Number of processes that a SIGHUP terminated while Node.js was starting, before the first line of the program ran. */
	earlyHupCount = 0;
	#hasLogged = false;

	constructor(name: string, settingsPath: string, addresses: {front: string; ready: string; directory: string}) {
		this.name = name;
		this.settingsPath = settingsPath;
		this.front = addresses.front;
		this.ready = addresses.ready;
		this.directory = addresses.directory;
	}

	/** Starts the process unless it is running, as overlapping faults may each restart it. */
	start(): void {
		if (this.isRunning) {
			return;
		}

		const child = spawn(process.execPath, ['--import', 'tsx', 'platform/main.ts'], {
			env: {...process.env, REDWINGSPOOL_NODE_FILE: this.settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		this.#hasLogged = false;
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', (text: string) => {
				this.log.push(...text.split('\n').filter(line => line !== ''));
				this.log.splice(0, this.log.length - MAX_LOG_LINES);
				this.#hasLogged ||= this.child === child;
			});
		}
	}

	get isRunning(): boolean {
		return this.child?.exitCode === null && this.child.signalCode === null;
	}

	/** Whether the process exited without a call of `terminate`. */
	get hasExitedUnexpectedly(): boolean {
		return this.child !== undefined && !this.isRunning;
	}

	signal(signal: NodeJS.Signals): void {
		if (signal === 'SIGHUP' && !this.#hasLogged) {
			this.#restartAfterEarlyHup();
		}

		this.child?.kill(signal);
	}

	/** Sends the signal and waits until the process has exited. */
	async terminate(signal: NodeJS.Signals): Promise<void> {
		const {child} = this;
		if (child !== undefined && this.isRunning) {
			const ended = once(child, 'exit');
			child.kill(signal);
			await ended;
		}

		this.child = undefined;
	}

	/**
	 * Restarts the process if the SIGHUP terminates it, as the platform does. A program cannot handle signals before Node.js
	 * runs its first line, and the default action of SIGHUP terminates the process. With a signal every 20 ms from process
	 * start, those in the first 70 ms (250 ms through tsx, as here) terminated the process; later ones never did.
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

/** The deployment, with the callers and their checks. */
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
	/** Descriptions of the violations found. */
	readonly violations: string[] = [];
	readonly counts = new Map<string, number>();
	/** Parts of a prompt that crash each engine that begins to answer; a crashed engine is replaced after `RESTART_MS`. */
	readonly deadlyParts = new Set<string>();
	/** Times of the crashes by such parts, in ms of `performance.now()`. */
	readonly deadlyCrashes: number[] = [];
	checks = 0;
	readonly #folder: string;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 60});
	readonly #sentRequests = new Map<string, SentRequest>();
	readonly #reportedNotRun = new Set<string>();
	readonly #allServers: PlatformServer[] = [];
	readonly #drainStartTimes = new Map<string, number>();
	readonly #limitSpans = new Map<string, LimitSpan[]>();
	readonly #disturbances: Array<{readonly startedAt: number; endedAt: number}> = [];
	/** Link addresses of the VMs added so far. */
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
		server.isDeadly = prompt => promptParts(prompt).some(part => this.deadlyParts.has(part));
		server.onCrash = () => {
			this.deadlyCrashes.push(performance.now());
			this.crashServer(server.id);
			setTimeout(() => {
				void this.addServer(service, slots);
			}, RESTART_MS).unref();
		};

		this.#allServers.push(server);
		this.servers.set(server.id, {server, service});
		this.store.put('servers', server.id, server.entry(service));
		return server;
	}

	/** Marks a server as draining; after `DRAIN_PROPAGATION_LIMIT_MS` it must receive no more requests. */
	drainServer(id: string): void {
		const {server, service} = this.servers.get(id)!;
		this.store.put('servers', id, server.entry(service, 'draining'));
		this.#drainStartTimes.set(id, performance.now());
		this.servers.delete(id);
	}

	/** Lets a server state a limit in its responses until the returned function ends it. */
	limitServer(server: PlatformServer, perSecond: number): () => void {
		const span: LimitSpan = {perSecond, from: performance.now(), until: Number.POSITIVE_INFINITY};
		this.#limitSpans.set(server.id, [...(this.#limitSpans.get(server.id) ?? []), span]);
		server.limit = String(perSecond);
		return () => {
			server.limit = undefined;
			span.until = performance.now();
		};
	}

	/** Crashes a server; its entry is removed from the store after a delay, as if it had expired. */
	crashServer(id: string): void {
		this.servers.get(id)!.server.crash();
		this.servers.delete(id);
		setTimeout(() => {
			this.store.delete('servers', id);
		}, 1500).unref();
	}

	/**
	 * @param extraRoutes - Prefixes of additional routes.
	 * @param apiKeys - API keys of the customer; callers always send the default, `key-1`.
	 */
	setConfiguration(extraRoutes: readonly string[] = [], apiKeys: readonly string[] = ['key-1']): void {
		this.#version += 1;
		const route = (name: string, kind: string, prefix: string, service: string, isStream: boolean) => ({
			name, host: 'desk.example', prefix, kind, timeoutMs: CALLER_TIMEOUT_MS, targetLatencyMs: 300, priority: isStream ? 0 : 1, service, maxAttempts: kind === 'non_idempotent' ? 1 : 2, public: false, sticky: isStream, resumable: isStream, gapTargetMs: 300,
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

	/** Waits until all running processes report that they are ready. */
	async ready(): Promise<void> {
		const end = performance.now() + READY_TIMEOUT_MS;
		for (const vm of this.vms) {
			while (vm.child !== undefined && !await this.isReady(vm)) { // eslint-disable-line no-await-in-loop
				if (performance.now() > end) {
					throw new Error(`${vm.name} is not ready: ${vm.log.slice(-5).join(' | ')}`);
				}

				await sleep(READY_POLL_INTERVAL_MS); // eslint-disable-line no-await-in-loop
			}
		}
	}

	async isReady(vm: VmProcess): Promise<boolean> {
		const {status} = await this.#send(vm.ready, 'GET', '/api/ready', {}, '', 500);
		return status === 200;
	}

	/** @returns The addresses that a VM's directory returns. */
	async addresses(vm: VmProcess): Promise<readonly string[]> {
		const {status, body} = await this.#send(vm.directory, 'GET', '/api/resolve?name=desk.example&region=region-a&zone=zone-a', {}, '', 500);
		return status === 200 ? (JSON.parse(body) as {addresses: string[]}).addresses : [];
	}

	/** Sends a request to a VM and checks the answer. */
	async call(vm: VmProcess, kind: CallKind, prefix = `/${kind}/`, prompt?: string): Promise<CallerAnswer> {
		const id = `r${this.#nextId}`;
		this.#nextId += 1;
		const target = `${prefix}${id}?x=1`;
		const method = kind === 'safe' ? 'GET' : 'POST';
		const body = kind === 'safe' ? '' : `body of ${id}`;
		this.#sentRequests.set(id, {kind, target, body});
		const response = await this.#send(vm.front, method, target, {
			host: 'desk.example',
			'x-request-id': id,
			'x-deadline-ms': String(CALLER_TIMEOUT_MS),
			authorization: 'Bearer key-1',
			...(kind === 'stream' ? {'x-token-count': '100,40', 'x-model': 'm'} : {}),
			...(prompt === undefined ? {} : {'x-prompt-prefix': prompt}),
		}, body, CALLER_TIMEOUT_MS + 1000);
		const answer = {...response, id};
		this.#countOutcome(`${kind} ${answer.isWhole ? answer.status : 'cut'}`);
		this.#checkAnswer(kind, answer);
		return answer;
	}

	/** @returns Times at which requests with a part reached servers, in order. */
	arrivalsWith(part: string): number[] {
		const runs = this.#allServers.flatMap(server => server.runs);
		return runs.filter(({prompt}) => promptParts(prompt).includes(part)).map(({at}) => at).sort((a, b) => a - b);
	}

	/** Checks the requests that the servers executed; call it after all requests have ended. */
	checkServers(): void {
		const executions = new Map<string, number>();
		for (const server of this.#allServers) {
			const drainStartedAt = this.#drainStartTimes.get(server.id);
			for (const run of server.runs) {
				executions.set(run.id, (executions.get(run.id) ?? 0) + 1);
				const sentRequest = this.#sentRequests.get(run.id);
				this.#check(sentRequest?.target === run.target && sentRequest.body === run.body, `server ran ${run.id}, which no caller sent in this form: ${run.method} ${run.target}`);
				this.#check(run.tenant === 'crew', `server ran ${run.id} for customer ${run.tenant}`);
				this.#check(run.deadlineMs <= CALLER_TIMEOUT_MS + DEADLINE_TOLERANCE_MS, `server was given ${run.deadlineMs} ms for ${run.id}`);
				this.#check(
					drainStartedAt === undefined || run.at - drainStartedAt < DRAIN_PROPAGATION_LIMIT_MS || this.#isDisturbed(run.at),
					`${server.id} got ${run.id} ${Math.round(run.at - (drainStartedAt ?? 0))} ms after it began to drain`,
				);
			}
		}

		for (const {id, arrivals} of this.#allServers) {
			const excess = findLimitExcess(arrivals, this.#limitSpans.get(id) ?? [], {contactMs: LIMIT_CONTACT_MS});
			this.#check(excess === undefined, `${id}: ${excess}`);
		}

		for (const [id, {kind}] of this.#sentRequests) {
			const count = executions.get(id) ?? 0;
			this.#check(kind !== 'unsafe' || count <= 1, `${id} (unsafe) ran ${count} times`);
			this.#check(!this.#reportedNotRun.has(id) || count === 0, `${id} ran although it was reported to its caller as not run`);
		}
	}

	/** Begins a disturbance after which VMs may receive changes of the store late. The returned function ends it. */
	beginDisturbance(): () => void {
		const span = {endedAt: Number.POSITIVE_INFINITY, startedAt: performance.now()};
		this.#disturbances.push(span);
		return () => {
			span.endedAt = performance.now();
		};
	}

	/** Records a violation that a caller of this class found. */
	addViolation(detail: string): void {
		this.#check(false, detail);
	}

	countCheck(): void {
		this.checks += 1;
	}

	/** Saves the output of the processes for the analysis of a violation. */
	async saveLogs(): Promise<void> {
		const folder = await mkdtemp(path.join(tmpdir(), 'redwingspool-finding-'));
		await Promise.all(this.vms.map(async vm => writeFile(path.join(folder, `${vm.name}.log`), vm.log.join('\n'))));
		console.error(`logs: ${folder}`);
	}

	async stop(): Promise<void> {
		await Promise.all(this.vms.map(async vm => {
			vm.signal('SIGCONT');
			await vm.terminate('SIGKILL');
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
		return this.#disturbances.some(({startedAt, endedAt}) => startedAt <= at && at < endedAt + DISTURBANCE_GRACE_MS);
	}

	#checkAnswer(kind: CallKind, {id, status, headers, body, isWhole}: CallerAnswer): void {
		if (isWhole && status === 200) {
			const expected = kind === 'stream' ? expectedStreamBody(id) : expectedBody(id);
			this.#check(body === expected, `${id} received the answer '${body.slice(0, 80)}'`);
			this.#check(headers['x-server-seal'] !== undefined, `${id} received an answer without a signature`);
			this.#check(headers['x-request-id'] === id, `${id} received an answer with the ID ${String(headers['x-request-id'])}`);
		}

		if (notRunStatuses.has(status)) {
			this.#reportedNotRun.add(id);
		}
	}

	#check(holds: boolean, detail: string): void {
		this.checks += 1;
		if (!holds) {
			this.violations.push(detail);
		}
	}

	#countOutcome(outcome: string): void {
		this.counts.set(outcome, (this.counts.get(outcome) ?? 0) + 1);
	}

	async #addVm(index: number): Promise<void> {
		const [front, ready, control, directory, metrics] = await Promise.all(Array.from({length: 5}, async () => freePort()));
		const loopbackAddress = (port: number | undefined) => `127.0.0.1:${port}`;
		const settingsPath = path.join(this.#folder, `vm-${index}.json`);
		this.#seeds.push(loopbackAddress(control));
		await writeFile(settingsPath, JSON.stringify({
			nodeName: `vm-${index}`,
			zone: 'zone-a',
			region: 'region-a',
			zones: {'zone-a': 'region-a'},
			listen: {
				front: loopbackAddress(front), ready: loopbackAddress(ready), control: loopbackAddress(control), directory: loopbackAddress(directory),
			},
			internalPorts: [metrics, metrics],
			seeds: this.#seeds,
			limits: {cpuShare: 1 - (index / 100), cores: 1, linkMbps: 1000},
			bounds: {
				graceS: 8, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 50, quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 1000,
			},
			platform: {address: this.storeProxy.address},
		}));
		const vm = new VmProcess(`vm-${index}`, settingsPath, {front: loopbackAddress(front), ready: loopbackAddress(ready), directory: loopbackAddress(directory)});
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

/** @returns IDs of the parts of a prompt that other requests may share. */
function promptParts(prompt: string): string[] {
	return prompt.split(',').slice(0, -1).map(entry => entry.split(':')[0]!);
}
