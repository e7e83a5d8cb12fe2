/**
 * One randomised run: operators change two subtrees at once while nodes restart and the store and regions fail.
 */
/* eslint-disable no-await-in-loop -- The steps of a run follow each other in virtual time. */
import {versionKey, versionPrefix} from '../../src/config/rows.js';
import {type Breaks, SimulatedCluster, type WorldNode} from './simulated-cluster.js';
import {LATE_MS} from './faulty-table.js';

const regions = ['azraq', 'jordan-valley', 'aqaba'];
const nodeIds = Array.from({length: 6}, (_, index) => ({id: `node-${index}`, region: regions[index % 3]!}));
const teams = ['skimmers', 'tea-rooms'];
const STEP_MS = 500;
const STEPS = 160;
const IN_FORCE_MS = 5000;
/** A tick that falls due at 4 s needs two calls to the store. */
const QUIET_STORE_MS = 100;

type Outcome = {team: string; change: string; version: number | undefined; kind: string | undefined};

class RandomRun {
	readonly problems: string[] = [];
	readonly outcomes: Outcome[] = [];
	readonly #disturbedAt = new Map<string, number>();
	readonly #storeCutSince = new Map<string, number>();
	/** When each outage ended, by `region since`. */
	readonly #healedAt = new Map<string, number>();
	readonly #seen = new Map<WorldNode, Map<string, number>>();
	readonly #pending = new Set<Promise<void>>();
	#changes = 0;

	/** Runs with a low value have outages of over 10 s. */
	readonly #healDice: number;

	constructor(readonly world: SimulatedCluster) {
		this.#healDice = world.random.pick([11, 13, 17]);
	}

	async run(): Promise<void> {
		for (const {id, region} of nodeIds) {
			await this.world.boot(id, region);
		}

		await this.world.clock.advanceAsync(6000);
		for (let step = 0; step < STEPS; step++) {
			await this.#act();
			await this.world.clock.advanceAsync(STEP_MS);
			this.#checkNodes();
		}

		this.#heal();
		await this.world.clock.advanceAsync(20_000);
		await Promise.all(this.#pending);
		this.#checkNodes();
		await this.#checkHistory();
		for (const {id} of nodeIds) {
			await this.world.stopNode(id);
		}
	}

	async #act(): Promise<void> {
		const {random} = this.world;
		const dice = random.integer(0, 19);
		if (dice < 7) {
			const team = random.pick(teams);
			for (let racer = random.integer(1, 3); racer > 0; racer--) {
				this.#startPut(random.pick([...this.world.nodes.values()]), team);
			}
		} else if (dice < 9) {
			const {id, region} = random.pick(nodeIds);
			await this.world.boot(id, region, this.#storeCutSince.has(region));
		} else if (dice < 11 || (dice < this.#healDice && this.#storeCutSince.size > 0)) {
			const cut = [...this.#storeCutSince.keys()];
			this.#toggleStore(cut.length > 0 ? random.pick(cut) : random.pick(regions));
		} else if (dice < 13) {
			const region = random.pick(regions);
			if (!this.world.network.cutRegions.delete(region)) {
				this.world.network.cutRegions.add(region);
			}
		} else if (dice < 17) {
			const {faults} = random.pick([...this.world.nodes.values()]).table;
			faults.lostAnswer = random.pick([0, 0.3, 0.6]);
			faults.lateWrite = random.pick([0, 0.2]);
			faults.slow = random.pick([0, 0, 0.3]);
		}
	}

	#toggleStore(region: string): void {
		const now = this.world.clock.now();
		const since = this.#storeCutSince.get(region);
		const isCut = since === undefined;
		if (isCut) {
			this.#storeCutSince.set(region, now);
		} else {
			this.#storeCutSince.delete(region);
			this.#healedAt.set(`${region} ${since}`, now);
		}

		for (const node of this.world.nodes.values()) {
			if (node.region === region) {
				node.table.faults.isDown = isCut;
			}
		}
	}

	#heal(): void {
		for (const region of this.#storeCutSince.keys()) {
			this.#toggleStore(region);
		}

		this.world.network.cutRegions.clear();
		for (const {table: {faults}} of this.world.nodes.values()) {
			Object.assign(faults, {
				isDown: false, lostAnswer: 0, lateWrite: 0, slow: 0,
			});
		}
	}

	#startPut(node: WorldNode, team: string): void {
		const put = this.#put(node, team);
		this.#pending.add(put);
	}

	async #put(node: WorldNode, team: string): Promise<void> {
		this.#changes += 1;
		const change = `change ${this.#changes}`;
		const cuts = new Map(this.#storeCutSince);
		const startedAt = this.world.clock.now();
		const fromVersion = node.sync.subtrees.get(team)?.head.version ?? 0;
		// Every third body is over the inline limit.
		const filler = this.#changes % 3 === 0 ? Object.fromEntries(Array.from({length: 90}, (_, index) => [`o-${index}`, {keyDigests: [], description: 'x'.repeat(400)}])) : {};
		const answer = await node.service.put({
			team, fromVersion, author: 'operator', force: this.world.breaks.alwaysForce ?? false, subtree: {
				operators: {writer: {keyDigests: [], description: change}, ...filler},
			},
		});
		this.outcomes.push({
			team, change, version: answer.isOk ? answer.value.version : undefined, kind: answer.isErr ? answer.error.err.kind : undefined,
		});
		for (const [region, since] of answer.isOk ? cuts : []) {
			const acceptedAt = this.world.writtenAt.get(versionKey(team, fromVersion + 1))!;
			const healedAt = this.#healedAt.get(`${region} ${since}`) ?? Number.POSITIVE_INFINITY;
			if (startedAt - since > IN_FORCE_MS + LATE_MS && acceptedAt < healedAt) {
				this.problems.push(`${change} was accepted at ${acceptedAt} while ${region} was cut off since ${since}`);
			}
		}
	}

	/** Versions only rise on a node, and accepted versions are in force on undisturbed nodes after 5 s. */
	#checkNodes(): void {
		const now = this.world.clock.now();
		for (const node of this.world.nodes.values()) {
			if (node.table.faults.isDown || node.table.faults.slow > 0) {
				this.#disturbedAt.set(node.id, now);
			}

			const seen = this.#seen.get(node) ?? new Map<string, number>();
			this.#seen.set(node, seen);
			for (const team of teams) {
				this.#checkSubtree(node, team, seen);
			}
		}
	}

	#checkSubtree(node: WorldNode, team: string, seen: Map<string, number>): void {
		const now = this.world.clock.now();
		const version = node.sync.subtrees.get(team)?.head.version ?? 0;
		if (version < (seen.get(team) ?? 0)) {
			this.problems.push(`${node.id} went back to version ${version} of ${team}`);
		}

		seen.set(team, version);
		const undisturbedSince = Math.max(node.startedAt, this.#disturbedAt.get(node.id) ?? 0);
		const due = [...this.world.writtenAt].filter(([key, at]) => key.startsWith(versionPrefix(team))
			&& Math.max(at, undisturbedSince) + IN_FORCE_MS + QUIET_STORE_MS < now).length;
		if (version < due) {
			this.problems.push(`${node.id} has version ${version} of ${team} in force; ${due} was accepted over 5 s ago`);
		}
	}

	/** Each version has one winner, and what operators were told agrees with the history. */
	async #checkHistory(): Promise<void> {
		for (const team of teams) {
			const node = [...this.world.nodes.values()][0]!;
			const log = await this.world.advanceUntilSettled(node.tree.log(team, 1000));
			const records = log.unwrapOr([]);
			const changes = new Map<string, number>();
			for (const record of records) {
				const read = await this.world.advanceUntilSettled(node.tree.body(record));
				const body = read.unwrapOr(undefined) ?? '{}';
				changes.set((JSON.parse(body) as {operators: {writer: {description: string}}}).operators.writer.description, record.version);
			}

			const versions = records.map(record => record.version);
			if (versions.some((version, index) => version !== versions.length - index)) {
				this.problems.push(`the versions of ${team} are not contiguous: ${versions.join(' ')}`);
			}

			this.#checkOutcomes(team, changes);
		}
	}

	#checkOutcomes(team: string, changes: ReadonlyMap<string, number>): void {
		const winners = new Set<number>();
		for (const {change, version, kind} of this.outcomes.filter(outcome => outcome.team === team)) {
			if (version !== undefined) {
				if (winners.has(version)) {
					this.problems.push(`version ${version} of ${team} has two winners`);
				}

				winners.add(version);
			}

			if (kind !== 'outcome-unknown' && changes.get(change) !== version) {
				this.problems.push(`${change} of ${team} was answered ${version ?? kind}; the history has it as ${changes.get(change)}`);
			}
		}
	}
}

export type RunResult = {
	readonly problems: readonly string[];
	readonly accepted: number;
	readonly outcomes: readonly Outcome[];
};

export async function randomRun(seed: number, breaks: Breaks = {}): Promise<RunResult> {
	const world = new SimulatedCluster(seed, breaks);
	const run = new RandomRun(world);
	await run.run();
	const {violated} = world.invariants.counts.get('P8')!;
	const problems = [...run.problems, ...world.failures, ...(violated > 0 ? [`P8 was violated ${violated} times`] : [])];
	return {problems, outcomes: run.outcomes, accepted: run.outcomes.filter(outcome => outcome.version !== undefined).length};
}
