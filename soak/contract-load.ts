/**
 * Load of a `ProcessRun` whose settings name the contract `pressure`: servers that state their pace.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Random} from '../src/base/random.js';
import {type PlatformDeployment} from './platform-deployment.js';

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
		await this.#varyPaces(end);
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
