/**
 * Simulation of requests of which some share a part that crashes each upstream that begins to answer them, beside upstreams
 * that crash for other reasons. Measures the verdicts of the quarantine.
 */
import {Random} from '../src/base/random.js';
import {VirtualClock} from '../src/base/virtual-clock.js';
import {crashId} from '../src/policy/crash-evidence.js';
import {promptPartFeature} from '../src/policy/features.js';
import {Quarantine} from '../src/policy/quarantine.js';

/** Time within which a verdict must hold at all VMs, in ms, and the crash from which it counts, as the platform's rules state. */
const CONTACT_MS = 3000;
const CRASHES_TO_VERDICT = 5;
const DURATION_MS = 30_000;
const DEADLY_FROM_MS = 4000;
const RESTART_MS = 3000;
const PREFILL_MS = {min: 60, max: 400} as const;
const ANSWER_MS = 600;
const REQUESTS_PER_UPSTREAM_PER_S = 4;
const UPSTREAMS_PER_VM = 2;
const MIN_UPSTREAMS = 8;
const FIRST_PARTS = 20;
const MIDDLE_PARTS = 300;
const POOL = 'engines';
const QUARANTINE_MS = 28_800_000;

/** What is played. */
export type QuarantinePlan = {
	readonly seed: number;
	readonly vms: number;
	/** Fraction of the requests with the deadly part; 0 for none. */
	readonly deadlyShare: number;
	/** Whether the deadly part is the first of the prompt instead of the second. */
	readonly isFirstPart: boolean;
	/** How long an upstream writes its answer to such a request before it crashes, in ms; 0 if it crashes before the first event. */
	readonly crashAfterMs?: number;
	/** Upstreams that crash for other reasons, per second. */
	readonly killsPerSecond: number;
	/** Fraction of the upstreams that lose power at once, halfway. */
	readonly powerLossShare: number;
	/** Fraction of the requests that are lost although their upstream runs on. */
	readonly lostShare: number;
	/** When the allocating VM is lost with all that it alone knew, in ms; `undefined` for never. */
	readonly leaderLostAt: number | undefined;
	/** Breaks the quarantine on purpose: no crash is reported. */
	readonly isBlind?: boolean;
};

/** Result of a run. */
export type QuarantineReport = {
	/** Crashes by the deadly part until requests with it were refused; `undefined` if they never were. */
	readonly crashesToVerdict: number | undefined;
	/** Requests with the part that reached upstreams later than `CONTACT_MS` after the fifth crash. */
	readonly late: number;
	readonly sound: number;
	readonly soundRefused: number;
};

type Running = {readonly features: readonly string[]; readonly vm: number};
type Upstream = {readonly id: string; boot: number; isUp: boolean; readonly running: Set<Running>};

/** Plays a plan. */
export function simulateQuarantine(plan: QuarantinePlan): QuarantineReport {
	return new QuarantineSimulation(plan).run();
}

class QuarantineSimulation {
	readonly #plan: QuarantinePlan;
	readonly #clock = VirtualClock.create();
	readonly #random: Random;
	readonly #vms: Quarantine[];
	readonly #upstreams: Upstream[];
	#leader = 0;
	#requests = 0;
	#crashes = 0;
	#fifthCrashAt = Number.POSITIVE_INFINITY;
	#crashesToVerdict: number | undefined;
	#late = 0;
	#sound = 0;
	#soundRefused = 0;

	constructor(plan: QuarantinePlan) {
		this.#plan = plan;
		this.#random = Random.create(plan.seed);
		this.#vms = Array.from({length: plan.vms}, (_, index) => Quarantine.create(`vm-${index}`, undefined, {quarantineMs: QUARANTINE_MS}));
		this.#upstreams = Array.from({length: Math.max(MIN_UPSTREAMS, UPSTREAMS_PER_VM * plan.vms)}, (_, index) => ({
			id: `engine-${index}`, boot: 1, isUp: true, running: new Set(),
		}));
	}

	run(): QuarantineReport {
		const {killsPerSecond, powerLossShare, leaderLostAt} = this.#plan;
		this.#repeat(1000 / (REQUESTS_PER_UPSTREAM_PER_S * this.#upstreams.length), () => {
			this.#send();
		});
		if (killsPerSecond > 0) {
			this.#repeat(1000 / killsPerSecond, () => {
				this.#crash(this.#random.pick(this.#upstreams));
			});
		}

		this.#clock.setTimer(DURATION_MS / 2, () => {
			for (const upstream of this.#upstreams.slice(0, Math.round(powerLossShare * this.#upstreams.length))) {
				this.#crash(upstream);
			}
		});
		if (leaderLostAt !== undefined) {
			this.#clock.setTimer(leaderLostAt, () => {
				this.#loseLeader();
			});
		}

		this.#clock.advance(DURATION_MS);
		return {
			crashesToVerdict: this.#crashesToVerdict, late: this.#late, sound: this.#sound, soundRefused: this.#soundRefused,
		};
	}

	get #now(): number {
		return this.#clock.now();
	}

	/** Repeats an action at random intervals. */
	#repeat(meanMs: number, action: () => void): void {
		this.#clock.setTimer(-Math.log(1 - this.#random.next()) * meanMs, () => {
			action();
			this.#repeat(meanMs, action);
		});
	}

	#send(): void {
		const {deadlyShare, isFirstPart, vms, lostShare} = this.#plan;
		this.#requests += 1;
		const isDeadly = this.#now >= DEADLY_FROM_MS && this.#random.next() < deadlyShare;
		const first = isDeadly && isFirstPart ? 'dead' : `f${this.#random.integer(0, FIRST_PARTS - 1)}`;
		const middle = isDeadly && !isFirstPart ? 'dead' : `m${this.#random.integer(0, MIDDLE_PARTS - 1)}`;
		const features = [`request-${this.#requests}`, promptPartFeature(first), promptPartFeature(middle)];
		const isRefused = this.#vms[this.#leader]!.findQuarantined(features, this.#now) !== undefined;
		if (!isDeadly) {
			this.#sound += 1;
			this.#soundRefused += isRefused ? 1 : 0;
		} else if (isRefused) {
			this.#crashesToVerdict ??= this.#crashes;
		}

		const up = this.#upstreams.filter(({isUp}) => isUp);
		if (isRefused || up.length === 0) {
			return;
		}

		this.#late += isDeadly && this.#now > this.#fifthCrashAt + CONTACT_MS ? 1 : 0;
		const upstream = this.#random.pick(up);
		const running: Running = {features, vm: this.#random.integer(0, vms - 1)};
		upstream.running.add(running);
		const {boot} = upstream;
		this.#clock.setTimer(this.#random.integer(PREFILL_MS.min, PREFILL_MS.max), () => {
			if (!upstream.running.has(running)) {
				return;
			}

			if (isDeadly) {
				this.#beginDeadly(upstream, boot, running);
			} else if (this.#random.next() < lostShare) {
				upstream.running.delete(running);
				this.#report(upstream, running);
			} else {
				this.#begin(upstream, boot, running);
			}
		});
	}

	#begin(upstream: Upstream, boot: number, running: Running): void {
		const crash = crashId.refused(upstream.id, String(boot));
		this.#tell(running, quarantine => {
			quarantine.noteAlive(crash, this.#now);
		});
		this.#clock.setTimer(ANSWER_MS, () => {
			if (upstream.running.delete(running)) {
				this.#tell(running, quarantine => {
					quarantine.noteAnswered({crash, pool: POOL, features: running.features}, this.#now);
				});
			}
		});
	}

	#beginDeadly(upstream: Upstream, boot: number, running: Running): void {
		const crashAfterMs = this.#plan.crashAfterMs ?? 0;
		if (crashAfterMs === 0) {
			this.#crashByPart(upstream);
			return;
		}

		this.#tell(running, quarantine => {
			quarantine.noteAlive(crashId.refused(upstream.id, String(boot)), this.#now);
		});
		this.#clock.setTimer(crashAfterMs, () => {
			if (upstream.running.has(running)) {
				this.#crashByPart(upstream);
			}
		});
	}

	#crashByPart(upstream: Upstream): void {
		this.#crashes += 1;
		this.#fifthCrashAt = this.#crashes === CRASHES_TO_VERDICT ? this.#now : this.#fifthCrashAt;
		this.#crash(upstream);
	}

	/** Tells the VM that sent a request, and the one that allocates. */
	#tell({vm}: Running, tell: (quarantine: Quarantine) => void): void {
		for (const index of new Set([this.#leader, vm])) {
			tell(this.#vms[index]!);
		}
	}

	#crash(upstream: Upstream): void {
		if (!upstream.isUp) {
			return;
		}

		upstream.isUp = false;
		for (const running of upstream.running) {
			this.#report(upstream, running);
		}

		upstream.running.clear();
		this.#clock.setTimer(RESTART_MS, () => {
			upstream.boot += 1;
			upstream.isUp = true;
		});
	}

	#report({id, boot}: Upstream, running: Running): void {
		if (this.#plan.isBlind !== true) {
			this.#tell(running, quarantine => {
				quarantine.noteCrash({
					crash: crashId.refused(id, String(boot)), pool: POOL, features: running.features, seenBy: `vm-${running.vm}`,
				}, this.#now);
			});
		}
	}

	/** The next VM allocates; each of the others brings what it saw itself. */
	#loseLeader(): void {
		this.#vms[this.#leader] = Quarantine.create(`vm-${this.#leader}-again`, undefined, {quarantineMs: QUARANTINE_MS});
		this.#leader = (this.#leader + 1) % this.#vms.length;
		for (const vm of this.#vms) {
			this.#vms[this.#leader]!.import(vm.export(this.#now).filter(({isCleared}) => !isCleared), this.#now);
		}
	}
}
