/**
 * Roll-outs of good and bad versions of one pool beside the faults of a `ProcessRun`, with checks of what each version ran.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Random} from '../src/base/random.js';
import {type PlatformServer, type Run, ServerMode} from '../standins/platform-server.js';
import {ROLLOUT_SERVICE, rolloutPrefixes} from './operator.js';
import {type PlatformDeployment} from './platform-deployment.js';
import {type SentCall} from './sent-call.js';
import {ROLLOUT_BOUNDS} from './vm-settings.js';

const SERVERS = 4;
const SLOTS = 6;
const PERIOD_S = 6;
const PERIOD_MS = PERIOD_S * 1000;
/** Time after the period within which a verdict is awaited, in ms. VMs that were all killed led again 9 s later at load 25. */
const VERDICT_GRACE_MS = 12_000;
const CALL_INTERVAL_MS = 10;
const POLL_MS = 20;
/** Longest time between the start of a version's servers and its order, in ms. */
const MAX_ORDER_DELAY_MS = 500;
/** How long the servers of a version stay after it was rolled back, in ms. */
const ROLLED_BACK_MS = 1000;
/** Time that a request granted before a verdict may take to its server, in ms. */
const IN_FLIGHT_MS = 250;
/** Time after a disturbance in which a VM may not know a verdict, in ms, as in `docs/design/rollout-state.md`. */
const DISTURBANCE_GRACE_MS = 3000;
/** Number of bad responses from which `rollbackMs` is counted. */
const BAD_RESPONSES = 50;
const KEY = `rollout/${ROLLOUT_SERVICE}`;
const badModes = [ServerMode.Fails, ServerMode.LosesAnswers, ServerMode.Resets] as const;

/** One ordered version. Times in ms of `performance.now()`. */
type OrderedVersion = {
	readonly version: string;
	readonly isGood: boolean;
	/** Times of its orders, which the operator writes again if the store loses them before the verdict. */
	readonly orderedAt: readonly number[];
	readonly candidates: readonly PlatformServer[];
	readonly old: readonly PlatformServer[];
	readonly verdict: string;
	readonly decidedAt: number;
};

/** The roll-outs of one run. */
export class RolloutRun {
	/** Adds the servers of the first version, before the VMs start. */
	static async create(deployment: PlatformDeployment, random: Random): Promise<RolloutRun> {
		const run = new RolloutRun(deployment, random);
		run.#base = await run.#addServers('v1', ServerMode.Healthy);
		return run;
	}

	/** Number of roll-outs by quality and verdict. */
	readonly outcomes: Record<string, number> = {};
	readonly #deployment: PlatformDeployment;
	readonly #random: Random;
	readonly #calls = new Map<string, SentCall>();
	readonly #ordered: OrderedVersion[] = [];
	#base: readonly PlatformServer[] = [];

	private constructor(deployment: PlatformDeployment, random: Random) {
		this.#deployment = deployment;
		this.#random = random;
	}

	/** Orders one version after the other until the time is over; the last roll-out may end later. */
	async execute(end: number, note: (event: string) => void): Promise<void> {
		const calling = new AbortController();
		const calls = this.#callUntil(calling.signal);
		let isDecided = true;
		// A version that is not decided leaves open which servers the next one is compared with.
		while (isDecided && performance.now() < end) {
			const ordered = await this.#rollOut(`v${this.#ordered.length + 2}`, this.#random.next() < 0.5, note); // eslint-disable-line no-await-in-loop -- one after the other
			isDecided = ordered.verdict !== 'undecided';
		}

		calling.abort();
		await calls;
	}

	/** Checks what each version ran; call it after all requests have ended. */
	check(): void {
		for (const ordered of this.#ordered) {
			if (!ordered.isGood) {
				this.#checkExposure(ordered);
			}

			if (ordered.verdict === 'completed') {
				this.#checkLate(ordered, ordered.old, 0);
			} else if (ordered.verdict === 'rolled_back') {
				this.#checkLate(ordered, ordered.candidates, IN_FLIGHT_MS);
			}
		}
	}

	async #addServers(version: string, mode: ServerMode): Promise<PlatformServer[]> {
		return Promise.all(Array.from({length: SERVERS}, async () => this.#deployment.addVersionServer(SLOTS, version, mode)));
	}

	async #rollOut(version: string, isGood: boolean, note: (event: string) => void): Promise<OrderedVersion> {
		const mode = isGood ? ServerMode.Healthy : this.#random.pick(badModes);
		const candidates = await this.#addServers(version, mode);
		await sleep(this.#random.integer(0, MAX_ORDER_DELAY_MS));
		note(`roll-out of ${version} (${mode}) ordered`);
		const {orderedAt, verdict} = await this.#order(version);
		note(`roll-out of ${version} ${verdict}, ${orderedAt.length} orders`);
		const ordered = {
			version, isGood, orderedAt, candidates, old: this.#base, verdict, decidedAt: performance.now(),
		};
		this.#ordered.push(ordered);
		const outcome = `${isGood ? 'good' : 'bad'} ${verdict}`;
		this.outcomes[outcome] = (this.outcomes[outcome] ?? 0) + 1;
		if (verdict === 'completed') {
			this.#removeServers(ordered.old);
			this.#base = candidates;
		} else if (verdict === 'rolled_back') {
			await sleep(ROLLED_BACK_MS);
			this.#removeServers(candidates);
		}

		return ordered;
	}

	/** Orders a version and waits until the status row states its final state. */
	async #order(version: string): Promise<Pick<OrderedVersion, 'orderedAt' | 'verdict'>> {
		const {store} = this.#deployment;
		const orderedAt: number[] = [];
		while (orderedAt.length === 0 || performance.now() < orderedAt.at(-1)! + PERIOD_MS + VERDICT_GRACE_MS) {
			const now = performance.now();
			const order = store.get('op', KEY) as {to: string} | undefined;
			if (order?.to !== version && (orderedAt.length === 0 || !this.#deployment.isStoreDisturbed(now, now))) {
				store.put('op', KEY, {service: ROLLOUT_SERVICE, to: version, periodS: PERIOD_S});
				orderedAt.push(now);
			}

			const {state, to} = (store.get('status', KEY) ?? {}) as {state?: string; to?: string};
			if (to === version && (state === 'completed' || state === 'rolled_back')) {
				return {orderedAt, verdict: state};
			}

			await sleep(POLL_MS); // eslint-disable-line no-await-in-loop -- polling
		}

		return {orderedAt, verdict: 'undecided'};
	}

	#removeServers(servers: readonly PlatformServer[]): void {
		for (const server of servers) {
			this.#deployment.removeServer(server);
		}
	}

	/** Sends requests at an even rate. */
	async #callUntil(signal: AbortSignal): Promise<void> {
		const pending: Array<Promise<unknown>> = [];
		while (!signal.aborted) {
			const kind = this.#random.pick(['safe', 'safe', 'unsafe'] as const);
			const call = this.#deployment.createCall(this.#random.pick(this.#deployment.vms), kind, {prefix: rolloutPrefixes[kind]});
			this.#calls.set(call.id, call);
			pending.push(this.#deployment.sendCall(call));
			await sleep(CALL_INTERVAL_MS); // eslint-disable-line no-await-in-loop -- at intervals
		}

		await Promise.all(pending);
	}

	#checkExposure({version, orderedAt, candidates, verdict}: OrderedVersion): void {
		const {exposeShare, exposeSlack, rollbackMs} = ROLLOUT_BOUNDS;
		const runs = candidates.flatMap(server => server.runs);
		const requestCount = [...this.#calls.values()].filter(({startedAt}) => startedAt >= orderedAt[0]! && startedAt <= orderedAt.at(-1)! + PERIOD_MS).length;
		// Each order has a bound of its own.
		const bound = (exposeShare * requestCount) + (exposeSlack * orderedAt.length);
		this.#deployment.check(verdict !== 'completed', `bad version ${version} was completed`);
		this.#deployment.check(runs.length <= bound, `bad version ${version} ran ${runs.length} requests of ${requestCount}, ${Math.floor(bound)} allowed`);
		const badEnds = runs.map(({endedAt}) => endedAt).filter(endedAt => endedAt !== undefined).sort((a, b) => a - b);
		const lastAt = (badEnds[BAD_RESPONSES - 1] ?? Number.POSITIVE_INFINITY) + rollbackMs;
		const lateCount = runs.filter(({at}) => at > lastAt).length;
		this.#deployment.check(lateCount === 0, `bad version ${version} ran ${lateCount} requests later than ${rollbackMs} ms after its ${BAD_RESPONSES}th bad response`);
	}

	/** Checks that servers ran nothing after the verdict, and that none of their requests was open then. */
	#checkLate({version, verdict, decidedAt}: OrderedVersion, servers: readonly PlatformServer[], slackMs: number): void {
		for (const {id, runs} of servers) {
			const late = runs.filter(run => run.at > decidedAt + slackMs || (verdict === 'completed' && (run.endedAt ?? Number.POSITIVE_INFINITY) > decidedAt));
			const unexplained = late.filter(run => !this.#isUninformed(run));
			this.#deployment.check(unexplained.length === 0, `${id} ran ${unexplained.map(run => `${run.id} (${Math.round(run.at - decidedAt)} ms)`).join(', ')} after ${version} was ${verdict}`);
		}
	}

	/** Whether the VM that sent a request may not have known the verdict. */
	#isUninformed({id, at}: Run): boolean {
		const from = at - DISTURBANCE_GRACE_MS;
		return this.#calls.get(id)?.vm.disturbed.overlaps(from, at) === true || this.#deployment.isStoreDisturbed(from, at);
	}
}
