/**
 * The clock of one process of a modelled VM.
 */
import {Clock, type Timer} from '../src/base/clock.js';
import {type VirtualClock} from '../src/base/virtual-clock.js';

/** Time as one VM has it: while the VM is frozen its timers wait, and they never fire once it is gone. */
export class VmClock extends Clock {
	static create(clock: VirtualClock): VmClock {
		return new VmClock(clock);
	}

	readonly #clock: VirtualClock;
	#isFrozen = false;
	#isGone = false;
	#late: Array<() => void> = [];

	private constructor(clock: VirtualClock) {
		super();
		this.#clock = clock;
	}

	get isFrozen(): boolean {
		return this.#isFrozen;
	}

	now(): number {
		return this.#clock.now();
	}

	wallNow(): number {
		return this.#clock.wallNow();
	}

	setTimer(ms: number, action: () => void): Timer {
		let isCancelled = false;
		const run = () => {
			if (!isCancelled) {
				action();
			}
		};

		this.#clock.setTimer(ms, () => {
			if (this.#isFrozen) {
				this.#late.push(run);
			} else if (!this.#isGone) {
				run();
			}
		});
		return {
			cancel() {
				isCancelled = true;
			},
		};
	}

	freeze(): void {
		this.#isFrozen = true;
	}

	thaw(): void {
		this.#isFrozen = false;
		const late = this.#late;
		this.#late = [];
		for (const run of late) {
			run();
		}
	}

	end(): void {
		this.#isGone = true;
		this.#isFrozen = false;
		this.#late = [];
	}
}
