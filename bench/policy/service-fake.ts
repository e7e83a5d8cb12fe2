/**
 * Fake of a plain service: a bounded number of workers and a FIFO queue.
 */
import {type Clock} from '../../src/base/clock.js';
import {type Work, WorkOutcome} from '../../src/policy/scheduler.js';
import {type RequestObserver} from './engine-fake.js';

/** Speed and capacity of a service. */
export type ServiceSpec = {
	readonly id: string;
	readonly region: string;
	readonly workers: number;
	readonly callMs: number;
};

type Call = {
	readonly work: Work;
	readonly observer: RequestObserver;
};

/** A simulated plain service. */
export class ServiceFake {
	static create(clock: Clock, spec: ServiceSpec): ServiceFake {
		return new ServiceFake(clock, spec);
	}

	readonly spec: ServiceSpec;
	slowFactor = 1;
	isDown = false;
	readonly #clock: Clock;
	#waiting: Call[] = [];
	readonly #running = new Set<Call>();
	#isPaused = false;

	private constructor(clock: Clock, spec: ServiceSpec) {
		this.#clock = clock;
		this.spec = spec;
	}

	/** Number of running and waiting calls. */
	get load(): number {
		return this.#running.size + this.#waiting.length;
	}

	/** @returns Whether the connection was accepted. */
	send(work: Work, _outputTokens: number, observer: RequestObserver): boolean {
		if (this.isDown) {
			return false;
		}

		this.#waiting.push({work, observer});
		this.#startNext();
		return true;
	}

	/** Loses all calls, and refuses connections until `restart`. */
	crash(): void {
		this.isDown = true;
		const lost = [...this.#running, ...this.#waiting];
		this.#running.clear();
		this.#waiting = [];
		for (const call of lost) {
			call.observer.onEnd(WorkOutcome.Lost);
		}
	}

	restart(): void {
		this.isDown = false;
	}

	/** Pauses or resumes the start of calls; connections are still accepted. */
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
					call.observer.onProgress(1);
					call.observer.onEnd(WorkOutcome.Done);
					this.#startNext();
				}
			});
		}
	}
}
