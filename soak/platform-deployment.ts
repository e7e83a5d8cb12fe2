/**
 * A deployment of real processes on one machine: VMs that run the platform's program, a stand-in store, stand-in servers,
 * and callers. Checks the answers that callers receive and the requests that servers receive.
 */
import {writeFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {Agent, type IncomingHttpHeaders, request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress} from '../src/base/address.js';
import {Random} from '../src/base/random.js';
import {
	PlatformServer, expectedBody, expectedStreamBody, type Run, type ServerMode, targetParameter,
} from '../standins/platform-server.js';
import {PlatformStore, type StoreCopy} from '../standins/platform-store.js';
import {Spans} from '../standins/spans.js';
import {ANY_ADDRESS, type ProxyMode, TcpProxy} from '../standins/tcp-proxy.js';
import {AddressLayout, LayoutKind, type VmAddresses} from '../test/support/address-layout.js';
import {findConfigurationFaults} from './configuration-rule.js';
import {findLimitExcess, type LimitSpan} from './limit-rule.js';
import {type CallCircumstances, findEndingFault} from './ending-rule.js';
import {
	CALLER_TIMEOUT_MS, Operator, ROLLOUT_SERVICE, rolloutPrefixes,
} from './operator.js';
import {findAccountFaults} from './request-account.js';
import {type CallKind, type CallerAnswer, type SentCall} from './sent-call.js';
import {VmProcess} from './vm-process.js';
import {SourceProgram, type VmProgram} from './vm-program.js';
import {encodeVmSettings} from './vm-settings.js';

/** How long callers wait for an answer, in ms. */
export const CALLER_PATIENCE_MS = CALLER_TIMEOUT_MS + 1000;
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
/** Longest time between two writers that write again what the store has lost, in ms. */
const MAX_REWRITE_INTERVAL_MS = 150;
/** Time without disturbance after which VMs must apply configurations in time, in ms. */
const CONTACT_MS = 3000;
/** Row of the store that records the leader. */
const LEADER_TABLE = 'redwingspool';
const LEADER_KEY = 'allocator';
/** Number of VMs that the settings name, as on the platform. */
const MAX_SEEDS = 3;
/** Time after which the platform starts a process that has ended, in ms. */
const VM_RESTART_MS = 200;
const READY_TIMEOUT_MS = 20_000;
const GET_TIMEOUT_MS = 500;
/** Time within which a VM must state its metrics, in ms; all are read at once on a busy machine. */
const METRICS_TIMEOUT_MS = 5000;
const READY_POLL_INTERVAL_MS = 50;
/** Time within which VMs surely apply a configuration, in ms, if they are not disturbed. */
const MAX_APPLY_MS = 10_000;

/** Options of a deployment. */
export type DeploymentOptions = {
	readonly vmCount: number;
	readonly layout: AddressLayout;
	/** Zone of each VM; repeated if there are more VMs. */
	readonly zones?: readonly string[];
	readonly program?: VmProgram;
	/** Whether a process that ends by itself is recorded as a violation and started again. */
	readonly isSupervised?: boolean;
	/** Number of ways to the store that can be disturbed by themselves. */
	readonly storeProxyCount?: number;
	/** Contracts that the settings of the VMs name. */
	readonly contracts?: readonly string[];
};

/** Customers by API key; the other keys are those of `crew`. */
const customersByKey: ReadonlyMap<string, string> = new Map([['key-3', 'guest'], ['key-4', 'bulk'], ['key-5', 'small']]);

type RunsById = Map<string, Array<{readonly run: Run; readonly server: PlatformServer}>>;

/** Options of a request. */
export type CallOptions = {
	/** Prefix of the path; that of the route for its kind by default. */
	readonly prefix?: string;
	readonly query?: string;
	readonly apiKey?: string;
	readonly prompt?: string | undefined;
	readonly bodyBytes?: number;
	readonly followsOpenRequest?: boolean;
};

type AgentRequest = {
	readonly method: string;
	readonly target: string;
	readonly headers: Record<string, string>;
	readonly body: string;
	readonly timeoutMs: number;
	/** The request that this is, if it is one of a caller. */
	readonly call?: SentCall;
};

/** The deployment, with the callers and their checks. */
export class PlatformDeployment {
	static async start(vmCount: number, serverCount: number): Promise<PlatformDeployment> {
		const deployment = await PlatformDeployment.create(serverCount, {
			vmCount, layout: AddressLayout.create(LayoutKind.OneAddress, Random.create()),
		});
		for (const vm of deployment.vms) {
			vm.start();
		}

		await deployment.ready();
		return deployment;
	}

	/** Creates a deployment of which no VM runs yet. */
	static async create(serverCount: number, options: DeploymentOptions): Promise<PlatformDeployment> {
		const {storeProxyCount = 1, contracts = []} = options;
		const store = await PlatformStore.start();
		const storeProxies = await Promise.all(Array.from({length: storeProxyCount}, async () => TcpProxy.start(store.address)));
		const folder = await mkdtemp(path.join(tmpdir(), 'redwingspool-'));
		const deployment = new PlatformDeployment(store, storeProxies, folder, contracts.includes('rollout'));
		for (let index = 0; index < serverCount; index += 1) {
			await deployment.addServer('engines', 4); // eslint-disable-line no-await-in-loop
			await deployment.addServer('desk', 6); // eslint-disable-line no-await-in-loop
		}

		deployment.setConfiguration();
		deployment.firstCopy = store.copy();
		await deployment.#createVms({
			zones: ['zone-a'], program: SourceProgram.create(), isSupervised: false, storeProxyCount, contracts, ...options,
		});
		return deployment;
	}

	readonly operator: Operator;
	readonly store: PlatformStore;
	/** Ways to the store; VMs use them in turn. */
	readonly storeProxies: readonly TcpProxy[];
	readonly vms: VmProcess[] = [];
	readonly servers = new Map<string, {readonly server: PlatformServer; readonly service: string}>();
	/** Descriptions of the violations found. */
	readonly violations: string[] = [];
	readonly counts = new Map<string, number>();
	/** Parts of a prompt that crash each engine that begins to answer; a crashed engine is replaced after `RESTART_MS`. */
	readonly deadlyParts = new Set<string>();
	/** Times of the crashes by such parts, in ms of `performance.now()`. */
	readonly deadlyCrashes: number[] = [];
	/** How servers that are added crash by such parts. */
	deadlyCrash: Pick<PlatformServer, 'eventsBeforeCrash' | 'crashesSilently'> = {eventsBeforeCrash: 0, crashesSilently: false};
	checks = 0;
	/** Copy of the store from before the first VM started. */
	firstCopy: StoreCopy;
	readonly #folder: string;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 60, localAddress: ANY_ADDRESS});
	readonly #calls = new Map<string, SentCall>();
	readonly #allServers: PlatformServer[] = [];
	readonly #serverAddresses: string[] = [];
	readonly #drainStartTimes = new Map<string, number>();
	readonly #limitSpans = new Map<string, LimitSpan[]>();
	/** Entry of each server as it was written last; `undefined` if it was removed. */
	readonly #entries = new Map<string, Record<string, unknown> | undefined>();
	readonly #serviceByServer = new Map<string, string>();
	readonly #storeDisturbed = new Spans();
	/** When VMs may receive changes of the store late. */
	readonly #disturbed = new Spans();
	#nextId = 1;
	#nextServer = 0;
	#isStopped = false;

	private constructor(store: PlatformStore, storeProxies: readonly TcpProxy[], folder: string, hasRollouts: boolean) {
		this.store = store;
		this.operator = Operator.create(store, hasRollouts);
		this.storeProxies = storeProxies;
		this.firstCopy = store.copy();
		this.#folder = folder;
	}

	async addServer(service: string, slots: number, changes: Partial<Pick<PlatformServer, 'version' | 'mode'>> = {}): Promise<PlatformServer> {
		// Taken before the wait, so that servers that are added at the same time do not share an ID and thereby one entry.
		const id = `i-${this.#nextServer}`;
		this.#nextServer += 1;
		const server = await PlatformServer.start(id, slots);
		Object.assign(server, changes);
		server.isDeadly = prompt => promptParts(prompt).some(part => this.deadlyParts.has(part));
		Object.assign(server, this.deadlyCrash);
		server.onCrash = () => {
			this.deadlyCrashes.push(performance.now());
			this.crashServer(server.id);
			setTimeout(() => {
				void this.addServer(service, slots, {version: server.version});
			}, RESTART_MS).unref();
		};

		this.#allServers.push(server);
		this.#serverAddresses.push(server.address);
		this.servers.set(server.id, {server, service});
		this.#serviceByServer.set(server.id, service);
		this.#putEntry(server.id, server.entry(service));
		return server;
	}

	/** Adds a server of the pool whose versions are rolled out. It is not in `servers`, so that faults of servers do not choose it. */
	async addVersionServer(slots: number, version: string, mode: ServerMode): Promise<PlatformServer> {
		const server = await this.addServer(ROLLOUT_SERVICE, slots, {version, mode});
		this.servers.delete(server.id);
		return server;
	}

	/** Stops a server immediately and removes its entry. */
	removeServer(server: PlatformServer): void {
		server.crash();
		this.#putEntry(server.id, undefined);
	}

	/** Sets how all servers crash by deadly parts. */
	setDeadlyCrash(deadlyCrash: Partial<PlatformDeployment['deadlyCrash']>): void {
		this.deadlyCrash = {...this.deadlyCrash, ...deadlyCrash};
		for (const {server} of this.servers.values()) {
			Object.assign(server, this.deadlyCrash);
		}
	}

	/** Marks a server as draining; after `DRAIN_PROPAGATION_LIMIT_MS` it must receive no more requests. */
	drainServer(id: string): void {
		const {server, service} = this.servers.get(id)!;
		this.#putEntry(id, server.entry(service, 'draining'));
		this.#drainStartTimes.set(id, performance.now());
		this.servers.delete(id);
	}

	/** Drains all servers but the newest of each service, which VMs then must use. */
	retireOlderServers(): void {
		for (const service of new Set([...this.servers.values()].map(entry => entry.service))) {
			const ids = [...this.servers].filter(([, entry]) => entry.service === service).map(([id]) => id);
			for (const id of ids.slice(0, -1)) {
				this.drainServer(id);
			}
		}
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
		const {server} = this.servers.get(id)!;
		if (!server.crashesSilently) {
			server.crash();
		}

		this.servers.delete(id);
		setTimeout(() => {
			this.#putEntry(id, undefined);
		}, 1500).unref();
	}

	/**
	 * @param extraRoutes - Prefixes of additional routes.
	 * @param apiKeys - API keys of the customer; callers always send the default, `key-1`.
	 */
	setConfiguration(extraRoutes: readonly string[] = [], apiKeys: readonly string[] = ['key-1']): void {
		this.operator.writeBase(extraRoutes, apiKeys);
	}

	/** The VM that the store's record names as the leader. */
	get recordedLeader(): VmProcess | undefined {
		const text = this.store.getText(LEADER_TABLE, LEADER_KEY);
		const name = text === undefined ? undefined : (JSON.parse(text) as {name: string}).name;
		return this.vms.find(vm => vm.name === name);
	}

	/** @returns What keeps the VMs from having one leader and one list of members; `undefined` if nothing does. */
	async disagreement(): Promise<string | undefined> {
		const leaders = new Set(this.vms.map(vm => vm.leader));
		const lists = await Promise.all(this.vms.map(async vm => this.addresses(vm)));
		const isLed = leaders.size === 1 && !leaders.has(undefined);
		return isLed && lists.every(({length}) => length === this.vms.length) ? undefined : `leaders: ${[...leaders].join(', ')}; listed VMs: ${lists.map(({length}) => length).join(', ')}`;
	}

	/** Waits until all running processes report that they are ready. */
	async ready(): Promise<void> {
		const problem = await this.findUnready(READY_TIMEOUT_MS);
		if (problem !== undefined) {
			throw new Error(problem);
		}
	}

	/** @returns The first running process that does not report in time that it is ready; `undefined` if all do. */
	async findUnready(timeoutMs: number): Promise<string | undefined> {
		const end = performance.now() + timeoutMs;
		for (const vm of this.vms) {
			while (vm.child !== undefined && !await this.isReady(vm)) { // eslint-disable-line no-await-in-loop
				if (performance.now() > end) {
					return `${vm.name} is not ready after ${timeoutMs} ms: ${vm.log.slice(-5).join(' | ')}`;
				}

				await sleep(READY_POLL_INTERVAL_MS); // eslint-disable-line no-await-in-loop
			}
		}

		return undefined;
	}

	async isReady(vm: VmProcess): Promise<boolean> {
		const {status} = await this.#get(vm.ready, '/api/ready');
		return status === 200;
	}

	/** Checks each VM's own account of the requests that it has read; call it after all requests have ended. */
	async checkAccounts(): Promise<void> {
		await Promise.all(this.vms.map(async vm => {
			const {status, body} = await this.#get(vm.metrics, '/metrics', METRICS_TIMEOUT_MS);
			const faults = status === 200 ? findAccountFaults(body) : [`no metrics, status ${status}`];
			this.check(faults.length === 0, `${vm.name}: ${faults.join(', ')}`);
			for (const line of vm.violationLines) {
				this.addViolation(`${vm.name}: ${line}`);
			}
		}));
	}

	/** @returns The addresses that a VM's directory returns to a caller that does not state its location. */
	async addresses(vm: VmProcess): Promise<readonly string[]> {
		const {status, body} = await this.#get(vm.directory, '/api/resolve?name=desk.example');
		return status === 200 ? (JSON.parse(body) as {addresses: string[]}).addresses : [];
	}

	/** Sends a request to a VM and checks the answer. */
	async call(vm: VmProcess, kind: CallKind, prefix = `/${kind}/`, prompt?: string): Promise<CallerAnswer> {
		return this.sendCall(this.createCall(vm, kind, {prefix, prompt}));
	}

	/** Sends a request on any connection and checks the answer. */
	async sendCall(call: SentCall): Promise<CallerAnswer> {
		call.startedAt = performance.now();
		const answer = await this.#send(call.vm.front, {
			method: call.method, target: call.target, headers: this.headersOf(call), body: call.body, timeoutMs: CALLER_PATIENCE_MS, call,
		});
		return this.endCall(call, answer);
	}

	/** Creates a request, which the caller of this method sends and then passes to `endCall`. */
	createCall(vm: VmProcess, kind: CallKind, {prefix = `/${kind}/`, query = 'x=1', apiKey = 'key-1', prompt, bodyBytes = 0, followsOpenRequest = false}: CallOptions = {}): SentCall {
		const id = `r${this.#nextId}`;
		this.#nextId += 1;
		const isGet = kind === 'safe';
		const call: SentCall = {
			id, kind, vm, pid: vm.child?.pid, prefix, apiKey, prompt, followsOpenRequest,
			method: isGet ? 'GET' : 'POST',
			target: `${prefix}${id}?${query}`,
			body: isGet ? '' : `body of ${id}`.padEnd(bodyBytes, '.'),
			startedAt: Number.NaN,
			sentAt: Number.NaN,
			endedAt: Number.NaN,
			answer: undefined,
			hasCallerLeft: false,
		};
		this.#calls.set(id, call);
		return call;
	}

	headersOf({id, kind, apiKey, prompt}: SentCall): Record<string, string> {
		return {
			host: 'desk.example',
			'x-request-id': id,
			'x-deadline-ms': String(CALLER_TIMEOUT_MS),
			authorization: `Bearer ${apiKey}`,
			...(kind === 'stream' ? {'x-token-count': '100,40', 'x-model': 'm'} : {}),
			...(prompt === undefined ? {} : {'x-prompt-prefix': prompt}),
		};
	}

	/** Records the end of a request and checks its answer. */
	endCall(call: SentCall, response: Omit<CallerAnswer, 'id'>): CallerAnswer {
		const answer = {...response, id: call.id};
		call.endedAt = performance.now();
		call.answer = answer;
		this.#countOutcome(`${call.kind} ${answer.isWhole ? answer.status : 'cut'}`);
		this.#checkAnswer(call, answer);
		return answer;
	}

	/** @returns Times at which requests with a part reached servers, in order. */
	arrivalsWith(part: string): number[] {
		const runs = this.#allServers.flatMap(server => server.runs);
		return runs.filter(({prompt}) => promptParts(prompt).includes(part)).map(({at}) => at).sort((a, b) => a - b);
	}

	/** Checks the requests that the servers executed; call it after all requests have ended. */
	checkServers(): void {
		const runsById = this.#collectRuns();
		for (const server of this.#allServers) {
			const drainStartedAt = this.#drainStartTimes.get(server.id);
			for (const run of server.runs) {
				const call = this.#calls.get(run.id);
				const isBodyOfCaller = run.isBodyRead ? call?.body === run.body : call?.body.startsWith(run.body);
				this.check(call?.target === run.target && isBodyOfCaller === true, `server ran ${run.id}, which no caller sent in this form: ${run.method} ${run.target}`);
				this.check(run.tenant === customerOf(call?.apiKey), `server ran ${run.id} for customer ${run.tenant}`);
				this.check(run.deadlineMs <= CALLER_TIMEOUT_MS + DEADLINE_TOLERANCE_MS, `server was given ${run.deadlineMs} ms for ${run.id}`);
				this.check(
					drainStartedAt === undefined || run.at - drainStartedAt < DRAIN_PROPAGATION_LIMIT_MS || this.#disturbed.overlaps(run.at - DISTURBANCE_GRACE_MS, run.at),
					`${server.id} got ${run.id} ${Math.round(run.at - (drainStartedAt ?? 0))} ms after it began to drain`,
				);
			}
		}

		for (const {id, arrivals} of this.#allServers) {
			const excess = findLimitExcess(arrivals, this.#limitSpans.get(id) ?? [], {contactMs: LIMIT_CONTACT_MS});
			this.check(excess === undefined, `${id}: ${excess}`);
		}

		for (const call of this.#calls.values()) {
			const fault = findEndingFault(call, this.#circumstancesOf(call, runsById.get(call.id) ?? []));
			this.check(fault === undefined, `${call.id} at ${call.vm.name} ${fault} (${call.method} ${call.target}, ${timestamp(call.endedAt)})`);
		}
	}

	/** Checks which configurations the VMs applied, for each start of a process; call it after all requests have ended. */
	checkConfigurations(): void {
		const runsById = this.#collectRuns();
		for (const pid of new Set([...this.#calls.values()].map(call => call.pid))) {
			const calls = [...this.#calls.values()].filter(call => call.pid === pid && !Number.isNaN(call.endedAt));
			const handled = calls.flatMap(call => {
				const services = new Set((runsById.get(call.id) ?? []).map(({server}) => this.#serviceByServer.get(server.id)));
				const [from, until] = [call.startedAt - CONTACT_MS, call.endedAt];
				const isVmDisturbed = call.vm.disturbed.overlaps(from, until);
				const isCalm = !isVmDisturbed && !call.vm.restarting.overlaps(from, until) && !this.#storeDisturbed.overlaps(from, until);
				return (services.size === 0 ? [undefined] : [...services]).map(service => ({
					call, service, isCalm, isVmDisturbed,
				}));
			});
			for (const fault of findConfigurationFaults(handled, this.operator.written)) {
				this.addViolation(fault);
			}

			this.checks += handled.length;
		}
	}

	/**
	 * Lets the servers and the operator write again what the store has lost, in any order.
	 *
	 * @param since - Time of the copy that the store came back from, in ms of `performance.now()`.
	 */
	async writeAgain(since: number, random: Random): Promise<void> {
		const operatorTurn = random.integer(0, this.#entries.size);
		for (const [index, id] of shuffle([...this.#entries.keys()], random).entries()) {
			if (index === operatorTurn) {
				this.operator.writeAgain(since, random.next() < 0.5);
			}

			this.#putEntry(id, this.#entries.get(id));
			await sleep(random.integer(0, MAX_REWRITE_INTERVAL_MS)); // eslint-disable-line no-await-in-loop -- one writer after the other
		}

		this.operator.writeAgain(since, false);
	}

	setStoreLinks(mode: ProxyMode): void {
		for (const proxy of this.storeProxies) {
			proxy.setMode(mode);
		}
	}

	/** Ports to which the VMs open connections other than those to other VMs. */
	get connectionTargets(): ReadonlySet<number> {
		return new Set([...this.storeProxies.map(({address}) => address), ...this.#serverAddresses].map(address => splitAddress(address).port));
	}

	/** Begins a disturbance of the store, or of the way to it. The returned function ends it. */
	disturbStore(): () => void {
		const ends = [this.#storeDisturbed.begin(), this.#disturbed.begin()];
		return () => {
			for (const end of ends) {
				end();
			}
		};
	}

	/** Begins a disturbance after which VMs may receive changes of the store late. The returned function ends it. */
	beginDisturbance(): () => void {
		return this.#disturbed.begin();
	}

	/** @returns Whether the store, or a way to it, was disturbed. */
	isStoreDisturbed(from: number, until: number): boolean {
		return this.#storeDisturbed.overlaps(from, until);
	}

	/** Records a violation that a caller of this class found. */
	addViolation(detail: string): void {
		this.check(false, detail);
	}

	check(holds: boolean, detail: string): void {
		this.checks += 1;
		if (!holds) {
			this.violations.push(detail);
		}
	}

	countCheck(): void {
		this.checks += 1;
	}

	/** Saves the output of the processes, and what was done to them, for the analysis of a violation. */
	async saveLogs(events: readonly string[]): Promise<void> {
		const folder = await mkdtemp(path.join(tmpdir(), 'redwingspool-finding-'));
		await Promise.all(this.vms.map(async vm => writeFile(path.join(folder, `${vm.name}.log`), vm.log.join('\n'))));
		await writeFile(path.join(folder, 'events.log'), [...events, ...this.violations].join('\n'));
		console.error(`logs: ${folder}`);
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.vms.map(async vm => {
			vm.signal('SIGCONT');
			await vm.terminate('SIGKILL');
		}));
		this.#agent.destroy();
		for (const proxy of this.storeProxies) {
			proxy.close();
		}

		this.store.close();
		for (const server of this.#allServers) {
			server.crash();
		}

		await rm(this.#folder, {recursive: true});
	}

	/** @returns Whether a server of the pool with roll-outs, or one of the others, was faulty. A bad version explains no failure at the others. */
	#isServerUnsound(isOfRollouts: boolean, from: number, until: number): boolean {
		return this.#allServers.some(({id, unsound}) => (this.#serviceByServer.get(id) === ROLLOUT_SERVICE) === isOfRollouts && unsound.overlaps(from, until));
	}

	#circumstancesOf({startedAt, endedAt, vm, prefix}: SentCall, runs: ReadonlyArray<{readonly run: Run; readonly server: PlatformServer}>): CallCircumstances {
		const inOrder = [...runs].sort((a, b) => a.run.at - b.run.at);
		const last = inOrder.at(-1);
		const timeLimits = this.operator.inForce(startedAt, endedAt, MAX_APPLY_MS)
			.flatMap(({routes}) => routes.filter(route => route.prefix === prefix).map(({timeoutMs}) => Math.min(timeoutMs, CALLER_TIMEOUT_MS)));
		return {
			runs: inOrder.map(({run}) => run),
			isVmDisturbed: vm.disturbed.overlaps(startedAt, endedAt),
			isLastRunDisturbed: last !== undefined && (last.run.isTorn || last.server.unsound.overlaps(last.run.at, endedAt)),
			isServerDisturbed: this.#isServerUnsound(Object.values<string>(rolloutPrefixes).includes(prefix), startedAt, endedAt),
			timeLimitMs: {min: Math.min(CALLER_TIMEOUT_MS, ...timeLimits), max: Math.max(0, ...timeLimits)},
		};
	}

	#checkAnswer({id, kind, target}: SentCall, {status, headers, body, isWhole}: CallerAnswer): void {
		if (isWhole && status === 200) {
			const expected = kind === 'stream' ? expectedStreamBody(id) : expectedBody(id, targetParameter(target, 'bytes'));
			this.check(body === expected, `${id} received the answer '${body.slice(0, 80)}'`);
			this.check(headers['x-server-seal'] !== undefined, `${id} received an answer without a signature`);
			this.check(headers['x-request-id'] === id, `${id} received an answer with the ID ${String(headers['x-request-id'])}`);
		}
	}

	#collectRuns(): RunsById {
		const runsById: RunsById = new Map();
		for (const server of this.#allServers) {
			for (const run of server.runs) {
				runsById.set(run.id, [...(runsById.get(run.id) ?? []), {run, server}]);
			}
		}

		return runsById;
	}

	/** Writes the entry of a server, or removes it. */
	#putEntry(id: string, entry: Record<string, unknown> | undefined): void {
		this.#entries.set(id, entry);
		if (entry === undefined) {
			this.store.delete('servers', id);
		} else {
			this.store.put('servers', id, entry);
		}
	}

	#countOutcome(outcome: string): void {
		this.counts.set(outcome, (this.counts.get(outcome) ?? 0) + 1);
	}

	/** Creates the VMs' processes without starting them. */
	async #createVms({vmCount, layout, zones, program, isSupervised, contracts}: Required<DeploymentOptions>): Promise<void> {
		const allAddresses: VmAddresses[] = [];
		for (let index = 0; index < vmCount; index += 1) {
			allAddresses.push(await layout.assign(index)); // eslint-disable-line no-await-in-loop -- ports in order
		}

		for (const [index, addresses] of allAddresses.entries()) {
			const settingsPath = path.join(this.#folder, `vm-${index}.json`);
			const vm = new VmProcess(`vm-${index}`, settingsPath, addresses, program);
			writeFileSync(settingsPath, encodeVmSettings({
				index, addresses, zone: zones[index % zones.length]!, zones: [...new Set(zones)], seeds: allAddresses.slice(0, MAX_SEEDS).map(({control}) => control), contracts,
				storeAddress: this.storeProxies[index % this.storeProxies.length]!.address,
			}));
			if (isSupervised) {
				vm.onUnexpectedEnd = detail => {
					this.#restartEnded(vm, detail);
				};
			}

			this.vms.push(vm);
		}
	}

	/** Records an unexpected end and starts the process again, as the platform does. */
	#restartEnded(vm: VmProcess, detail: string): void {
		this.addViolation(detail);
		setTimeout(() => {
			if (vm.hasExitedUnexpectedly && !this.#isStopped) {
				vm.start();
			}
		}, VM_RESTART_MS).unref();
	}

	async #get(address: string, target: string, timeoutMs = GET_TIMEOUT_MS): Promise<Omit<CallerAnswer, 'id'>> {
		return this.#send(address, {
			method: 'GET', target, headers: {}, body: '', timeoutMs,
		});
	}

	async #send(address: string, {method, target, headers, body, timeoutMs, call}: AgentRequest): Promise<Omit<CallerAnswer, 'id'>> {
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
			req.once('finish', () => {
				if (call !== undefined) {
					call.sentAt = performance.now();
				}
			});
			const timer = setTimeout(() => {
				if (call !== undefined) {
					call.hasCallerLeft = true;
				}

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

function shuffle<Item>(items: readonly Item[], random: Random): Item[] {
	return items.map(item => ({item, position: random.next()})).sort((a, b) => a.position - b.position).map(({item}) => item);
}

/** @returns The time of the day as in the logs of the processes. */
export function timestamp(ms: number): string {
	return new Date(performance.timeOrigin + ms).toISOString();
}

function customerOf(apiKey: string | undefined): string {
	return customersByKey.get(apiKey ?? '') ?? 'crew';
}
