/**
 * Load of a `ProcessRun` whose settings name the contract `pressure`: servers that state their pace, customers of
 * unequal load, and callers that stop reading.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Random} from '../src/base/random.js';
import {CallerConnection} from './caller-connection.js';
import {type CallKind} from './sent-call.js';
import {type PlatformDeployment} from './platform-deployment.js';

/** Customers by API key, with the mean time between two requests, in ms, and the factor on the rate of an overload. */
const customers = [
	{apiKey: 'key-4', intervalMs: 60, overload: 6},
	{apiKey: 'key-5', intervalMs: 300, overload: 1},
] as const;
/** Longest time for which a customer has its usual load, and its overload, in ms. */
const MAX_PHASE_MS = 4000;
/** Callers that stop reading, bytes of the response, which no buffer on the way holds, and how long they stay, in ms: less than any time limit. */
const UNREAD_CALLERS = 2;
const UNREAD_BYTES = 5_000_000;
const UNREAD_MS = {min: 200, max: 1100} as const;
const CONNECT_TIMEOUT_MS = 1000;
/** Longest time between two such callers, in ms. */
const MAX_UNREAD_INTERVAL_MS = 800;
/** Longest time between two changes of what a server states, in ms. */
const MAX_PACE_INTERVAL_MS = 150;
/** Usual range of a stated pace; 100 is the usual pace. */
const PACE = {min: 40, max: 500} as const;
/** Statements that are no usable pace. */
const unusablePaces = ['', 'fast', '-100', '0', 'NaN', '1e999', '100,7'] as const;
/** What a server states next: the same as before is a frozen statement. */
const paceChanges = ['changing', 'changing', 'changing', 'absent', 'unusable', 'frozen'] as const;
/** How long a frozen statement stays, in ms; longer than the estimates follow a statement. */
const MAX_FROZEN_MS = 4000;

const MAX_SEED = (2 ** 31) - 1;

/** The additional load of one run. */
export class ContractLoad {
	static create(deployment: PlatformDeployment, random: Random): ContractLoad {
		return new ContractLoad(deployment, random);
	}

	readonly #deployment: PlatformDeployment;
	readonly #random: Random;

	private constructor(deployment: PlatformDeployment, random: Random) {
		this.#deployment = deployment;
		this.#random = random;
	}

	async execute(end: number): Promise<void> {
		await Promise.all([
			this.#varyPaces(end),
			...customers.map(async customer => this.#callAs(customer, end)),
			...Array.from({length: UNREAD_CALLERS}, async () => this.#leaveUnread(end)),
		]);
	}

	/** Sends requests, one after the other, whose responses are not read until the caller leaves. */
	async #leaveUnread(end: number): Promise<void> {
		const random = Random.create(this.#random.integer(0, MAX_SEED));
		while (performance.now() < end) {
			/* eslint-disable no-await-in-loop -- one connection after the other */
			const vm = random.pick(this.#deployment.vms);
			const unreadMs = random.integer(UNREAD_MS.min, UNREAD_MS.max);
			const connection = await CallerConnection.open(vm.front, CONNECT_TIMEOUT_MS);
			if (connection !== undefined) {
				const call = this.#deployment.createCall(vm, 'safe', {query: `bytes=${UNREAD_BYTES}`});
				const head = Object.entries(this.#deployment.headersOf(call)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
				const answered = connection.answer();
				connection.pause();
				call.startedAt = performance.now();
				call.sentAt = connection.write(`${call.method} ${call.target} HTTP/1.1\r\n${head}\r\n`) ? performance.now() : Number.NaN;
				// The VM may cut off a caller that does not read.
				call.hasCallerLeft = true;
				await sleep(unreadMs);
				connection.close();
				this.#deployment.endCall(call, await answered);
			}

			await sleep(random.integer(0, MAX_UNREAD_INTERVAL_MS));
			/* eslint-enable no-await-in-loop */
		}
	}

	/** Sends requests of a customer, at its usual rate and at that of its overload in turn. */
	async #callAs({apiKey, intervalMs, overload}: (typeof customers)[number], end: number): Promise<void> {
		// A random stream for each customer, as their requests interleave by the speed of the machine.
		const random = Random.create(this.#random.integer(0, MAX_SEED));
		const pending: Array<Promise<unknown>> = [];
		let [factor, phaseEndsAt] = [1, performance.now() + random.integer(0, MAX_PHASE_MS)];
		while (performance.now() < end) {
			if (performance.now() >= phaseEndsAt) {
				factor = factor === 1 ? overload : 1;
				phaseEndsAt += random.integer(0, MAX_PHASE_MS);
			}

			const kind: CallKind = random.pick(['unsafe', 'safe', 'stream']);
			pending.push(this.#deployment.sendCall(this.#deployment.createCall(random.pick(this.#deployment.vms), kind, {apiKey})));
			await sleep(random.exponential(intervalMs / factor)); // eslint-disable-line no-await-in-loop -- paces the requests
		}

		await Promise.all(pending);
	}

	/** Changes what servers state about their pace, one server at a time. */
	async #varyPaces(end: number): Promise<void> {
		/** Times until which servers state the same. */
		const frozenUntil = new Map<string, number>();
		while (performance.now() < end) {
			const {server} = this.#random.pick([...this.#deployment.servers.values()]);
			const change = this.#random.pick(paceChanges);
			const [pace, unusable] = [String(this.#random.integer(PACE.min, PACE.max)), this.#random.pick(unusablePaces)];
			if (change === 'frozen') {
				frozenUntil.set(server.id, performance.now() + this.#random.integer(0, MAX_FROZEN_MS));
			} else if (performance.now() >= (frozenUntil.get(server.id) ?? 0)) {
				server.pace = {changing: pace, absent: undefined, unusable}[change];
			}

			await sleep(this.#random.integer(1, MAX_PACE_INTERVAL_MS)); // eslint-disable-line no-await-in-loop -- one after the other
		}
	}
}
