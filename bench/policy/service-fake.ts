/**
 * Fake of a plain service: a bounded number of workers and a queue in order of arrival.
 */
import {type Clock} from '../../src/base/clock.js';
import {type Work, WorkOutcome} from '../../src/policy/scheduler.js';
import {type FakeHandler} from './engine-fake.js';

/** Speed and size of a service. */
export type ServiceSpec = {
	readonly id: string;
	readonly region: string;
	readonly workers: number;
	readonly callMs: number;
};

type Call = {
	readonly work: Work;
	readonly handler: FakeHandler;
};

/** A fake service. */
export class ServiceFake {
	static create(clock: Clock, spec: ServiceSpec): ServiceFake {
		return new ServiceFake(clock, spec);
	}

	readonly spec: ServiceSpec;
	slowFactor = 1;
	isDead = false;
	readonly #clock: Clock;
	#waiting: Call[] = [];
	readonly #running = new Set<Call>();
	#isPaused = false;

	private constructor(clock: Clock, spec: ServiceSpec) {
		this.#clock = clock;
		this.spec = spec;
	}

	/** Calls running and waiting. */
	get load(): number {
		return this.#running.size + this.#waiting.length;
	}

	/** @returns Whether the connection was accepted. */
	send(work: Work, _outputTokens: number, handler: FakeHandler): boolean {
		if (this.isDead) {
			return false;
		}

		this.#waiting.push({work, handler});
		this.#startNext();
		return true;
	}

	/** Loses all calls, and refuses connections until `revive`. */
	die(): void {
		this.isDead = true;
		const lost = [...this.#running, ...this.#waiting];
		this.#running.clear();
		this.#waiting = [];
		for (const call of lost) {
			call.handler.onEnd(WorkOutcome.Lost);
		}
	}

	revive(): void {
		this.isDead = false;
	}

	/** Stops starting calls without any other sign. */
	setPaused(isPaused: boolean): void {
		this.#isPaused = isPaused;
		this.#startNext();
	}

	#startNext(): void {
		while (!this.#isPaused && this.#running.size < this.spec.workers && this.#waiting.length > 0) {
			const call = this.#waiting.shift()!;
			this.#running.add(call);
			this.#clock.setTimer(this.spec.callMs * this.slowFactor, () => {
				if (this.#running.delete(call)) {
					call.handler.onProgress(1);
					call.handler.onEnd(WorkOutcome.Done);
					this.#startNext();
				}
			});
		}
	}
}
