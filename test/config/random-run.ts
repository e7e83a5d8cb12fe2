/**
 * Randomised run: operators change two subtrees concurrently while nodes restart, the store fails and regions are isolated.
 */
/* eslint-disable no-await-in-loop -- The steps of a run follow each other in virtual time. */
import {versionKey, versionPrefix} from '../../src/config/rows.js';
import {type InjectedDefects, SimulatedCluster, type SimulatedNode} from './simulated-cluster.js';
import {MAX_WRITE_DELAY_MS} from './faulty-table.js';

const regions = ['azraq', 'jordan-valley', 'aqaba'];
const nodeIds = Array.from({length: 6}, (_, index) => ({id: `node-${index}`, region: regions[index % 3]!}));
const teams = ['skimmers', 'tea-rooms'];
const STEP_MS = 500;
const STEPS = 160;
const ACTIVATION_TIMEOUT_MS = 5000;
/** Allowance for the two store calls of a poll that starts after the poll interval of 4 s. */
const STORE_CALL_MARGIN_MS = 100;

type Outcome = {team: string; change: string; version: number | undefined; kind: string | undefined};

class RandomRun {
	readonly problems: string[] = [];
	readonly outcomes: Outcome[] = [];
	readonly #lastDisturbedAt = new Map<string, number>();
	readonly #storeOutageSince = new Map<string, number>();
	/** End of each store outage, by `<region> <start>`. */
	readonly #outageEndedAt = new Map<string, number>();
	readonly #lastVersions = new Map<SimulatedNode, Map<string, number>>();
	readonly #pendingPuts = new Set<Promise<void>>();
	#changes = 0;

	/** A low value makes outages end less often, so that some last over 10 s. */
	readonly #recoveryThreshold: number;

	constructor(readonly cluster: SimulatedCluster) {
		this.#recoveryThreshold = cluster.random.pick([11, 13, 17]);
	}

	async run(): Promise<void> {
		for (const {id, region} of nodeIds) {
			await this.cluster.boot(id, region);
		}

		await this.cluster.clock.advanceAsync(6000);
		for (let step = 0; step < STEPS; step++) {
			await this.#performRandomAction();
			await this.cluster.clock.advanceAsync(STEP_MS);
			this.#checkNodes();
		}

		this.#clearFaults();
		await this.cluster.clock.advanceAsync(20_000);
		await Promise.all(this.#pendingPuts);
		this.#checkNodes();
		await this.#checkHistory();
		for (const {id} of nodeIds) {
			await this.cluster.stopNode(id);
		}
	}

	async #performRandomAction(): Promise<void> {
		const {random} = this.cluster;
		const roll = random.integer(0, 19);
		if (roll < 7) {
			const team = random.pick(teams);
			for (let putsLeft = random.integer(1, 3); putsLeft > 0; putsLeft--) {
				this.#startPut(random.pick([...this.cluster.nodes.values()]), team);
			}
		} else if (roll < 9) {
			const {id, region} = random.pick(nodeIds);
			await this.cluster.boot(id, region, this.#storeOutageSince.has(region));
		} else if (roll < 11 || (roll < this.#recoveryThreshold && this.#storeOutageSince.size > 0)) {
			const regionsInOutage = [...this.#storeOutageSince.keys()];
			this.#toggleStore(regionsInOutage.length > 0 ? random.pick(regionsInOutage) : random.pick(regions));
		} else if (roll < 13) {
			const region = random.pick(regions);
			if (!this.cluster.network.cutRegions.delete(region)) {
				this.cluster.network.cutRegions.add(region);
			}
		} else if (roll < 17) {
			const {faults} = random.pick([...this.cluster.nodes.values()]).table;
			faults.lostResponse = random.pick([0, 0.3, 0.6]);
			faults.lateWrite = random.pick([0, 0.2]);
			faults.slow = random.pick([0, 0, 0.3]);
		}
	}

	#toggleStore(region: string): void {
		const now = this.cluster.clock.now();
		const since = this.#storeOutageSince.get(region);
		const isDown = since === undefined;
		if (isDown) {
			this.#storeOutageSince.set(region, now);
		} else {
			this.#storeOutageSince.delete(region);
			this.#outageEndedAt.set(`${region} ${since}`, now);
		}

		for (const node of this.cluster.nodes.values()) {
			if (node.region === region) {
				node.table.faults.isDown = isDown;
			}
		}
	}

	#clearFaults(): void {
		for (const region of this.#storeOutageSince.keys()) {
			this.#toggleStore(region);
		}

		this.cluster.network.cutRegions.clear();
		for (const {table: {faults}} of this.cluster.nodes.values()) {
			Object.assign(faults, {
				isDown: false, lostResponse: 0, lateWrite: 0, slow: 0,
			});
		}
	}

	#startPut(node: SimulatedNode, team: string): void {
		const put = this.#put(node, team);
		this.#pendingPuts.add(put);
	}

	async #put(node: SimulatedNode, team: string): Promise<void> {
		this.#changes += 1;
		const change = `change ${this.#changes}`;
		const outages = new Map(this.#storeOutageSince);
		const startedAt = this.cluster.clock.now();
		const fromVersion = node.sync.subtrees.get(team)?.head.version ?? 0;
		// Every third body exceeds the inline limit.
		const filler = this.#changes % 3 === 0 ? Object.fromEntries(Array.from({length: 90}, (_, index) => [`o-${index}`, {keyDigests: [], description: 'x'.repeat(400)}])) : {};
		const answer = await node.service.put({
			team, fromVersion, author: 'operator', force: this.cluster.defects.alwaysForce ?? false, subtree: {
				operators: {writer: {keyDigests: [], description: change}, ...filler},
			},
		});
		this.outcomes.push({
			team, change, version: answer.isOk ? answer.value.version : undefined, kind: answer.isErr ? answer.error.err.kind : undefined,
		});
		for (const [region, since] of answer.isOk ? outages : []) {
			const writtenAt = this.cluster.writtenAt.get(versionKey(team, fromVersion + 1))!;
			const outageEndedAt = this.#outageEndedAt.get(`${region} ${since}`) ?? Number.POSITIVE_INFINITY;
			if (startedAt - since > ACTIVATION_TIMEOUT_MS + MAX_WRITE_DELAY_MS && writtenAt < outageEndedAt) {
				this.problems.push(`${change} was accepted at ${writtenAt} while ${region} was cut off since ${since}`);
			}
		}
	}

	/** Checks that versions only increase on a node, and that accepted versions are active on undisturbed nodes after 5 s. */
	#checkNodes(): void {
		const now = this.cluster.clock.now();
		for (const node of this.cluster.nodes.values()) {
			if (node.table.faults.isDown || node.table.faults.slow > 0) {
				this.#lastDisturbedAt.set(node.id, now);
			}

			const lastVersions = this.#lastVersions.get(node) ?? new Map<string, number>();
			this.#lastVersions.set(node, lastVersions);
			for (const team of teams) {
				this.#checkSubtree(node, team, lastVersions);
			}
		}
	}

	#checkSubtree(node: SimulatedNode, team: string, lastVersions: Map<string, number>): void {
		const now = this.cluster.clock.now();
		const version = node.sync.subtrees.get(team)?.head.version ?? 0;
		if (version < (lastVersions.get(team) ?? 0)) {
			this.problems.push(`${node.id} reverted to version ${version} of ${team}`);
		}

		lastVersions.set(team, version);
		const undisturbedSince = Math.max(node.startedAt, this.#lastDisturbedAt.get(node.id) ?? 0);
		const expectedVersion = [...this.cluster.writtenAt].filter(([key, at]) => key.startsWith(versionPrefix(team))
			&& Math.max(at, undisturbedSince) + ACTIVATION_TIMEOUT_MS + STORE_CALL_MARGIN_MS < now).length;
		if (version < expectedVersion) {
			this.problems.push(`${node.id} has version ${version} of ${team} in force; ${expectedVersion} was accepted over 5 s ago`);
		}
	}

	/** Checks that each version was accepted for one change only, and that the responses to operators match the history. */
	async #checkHistory(): Promise<void> {
		for (const team of teams) {
			const node = [...this.cluster.nodes.values()][0]!;
			const log = await this.cluster.advanceUntilSettled(node.tree.log(team, 1000));
			const records = log.unwrapOr([]);
			const changes = new Map<string, number>();
			for (const record of records) {
				const read = await this.cluster.advanceUntilSettled(node.tree.body(record));
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
		const acceptedVersions = new Set<number>();
		for (const {change, version, kind} of this.outcomes.filter(outcome => outcome.team === team)) {
			if (version !== undefined) {
				if (acceptedVersions.has(version)) {
					this.problems.push(`version ${version} of ${team} has two winners`);
				}

				acceptedVersions.add(version);
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

export async function randomRun(seed: number, defects: InjectedDefects = {}): Promise<RunResult> {
	const cluster = new SimulatedCluster(seed, defects);
	const run = new RandomRun(cluster);
	await run.run();
	const {violated} = cluster.invariants.counts.get('P8')!;
	const problems = [...run.problems, ...cluster.failures, ...(violated > 0 ? [`P8 was violated ${violated} times`] : [])];
	return {problems, outcomes: run.outcomes, accepted: run.outcomes.filter(outcome => outcome.version !== undefined).length};
}
