/**
 * The active subtrees of one node.
 */
import {type Invariants} from '../base/invariant.js';
import {AppliedVersions} from './applied-versions.js';
import {checkBody, digestBody, type Problem} from './check-subtree.js';
import {type CurrentSettings} from './current-settings.js';
import {Deployment} from './deployment.js';
import {type Head} from './rows.js';
import {type Subtree} from './schema.js';

/** A version that is not applied because its body is corrupt or invalid. */
export type RejectedVersion = {
	readonly head: Head;
	readonly problem: Problem;
	/** Whether fetching the body again cannot change the result. */
	readonly isFinal: boolean;
};

/** Result of trying to apply a body. */
export type ApplyResult = 'applied' | 'not-newer' | 'rejected';

/** An active subtree with the body that is served to peers. */
export type AppliedSubtree = {
	readonly head: Head;
	readonly body: string;
	readonly subtree: Subtree;
};

/** Validates and applies versions, and holds the active subtrees. */
export class SubtreeStore {
	static create(applied: AppliedVersions, settings: CurrentSettings): SubtreeStore {
		return new SubtreeStore(applied, settings);
	}

	/** @returns A store with its own `AppliedVersions`. */
	static withInvariants(invariants: Invariants, settings: CurrentSettings): SubtreeStore {
		return new SubtreeStore(AppliedVersions.create(invariants), settings);
	}

	readonly #applied: AppliedVersions;
	readonly #settings: CurrentSettings;
	readonly #subtrees = new Map<string, AppliedSubtree>();
	readonly #rejected = new Map<string, RejectedVersion>();
	#isPublishing = false;

	private constructor(applied: AppliedVersions, settings: CurrentSettings) {
		this.#applied = applied;
		this.#settings = settings;
	}

	get heads(): readonly Head[] {
		return [...this.#subtrees.values()].map(subtree => subtree.head);
	}

	get rejected(): readonly RejectedVersion[] {
		return [...this.#rejected.values()];
	}

	get(team: string): AppliedSubtree | undefined {
		return this.#subtrees.get(team);
	}

	/** @returns The body of the active subtree if it has the given digest. */
	body(team: string, digest: string): string | undefined {
		const subtree = this.#subtrees.get(team);
		return subtree?.head.digest === digest ? subtree.body : undefined;
	}

	/** @returns Whether the body of this version should be fetched. An invalid body is not fetched again. */
	needsBody(head: Head): boolean {
		return this.#applied.isNewer(head.team, head.version) && !(this.#isRejected(head) && this.#rejected.get(head.team)!.isFinal);
	}

	/** @returns Whether a version is active or was rejected, so that a starting node need not wait for it. */
	isSettled(head: Head): boolean {
		return !this.#applied.isNewer(head.team, head.version) || this.#isRejected(head);
	}

	/** Records that no intact copy of a body was found. The version is fetched again later. */
	markUnreadable(head: Head): void {
		this.#rejected.set(head.team, {head, problem: {path: '', message: 'expected a body that matches its digest'}, isFinal: false});
	}

	/** Validates and activates a body. If it is corrupt or invalid, the previous settings stay active. */
	tryApply(head: Head, body: string): ApplyResult {
		if (!this.#applied.isNewer(head.team, head.version)) {
			return 'not-newer';
		}

		if (digestBody(body) !== head.digest) {
			this.markUnreadable(head);
			return 'rejected';
		}

		const validated = checkBody(body);
		if (validated.isErr) {
			this.#rejected.set(head.team, {head, problem: validated.error[0]!, isFinal: true});
			return 'rejected';
		}

		if (!this.#applied.apply(head.team, head.version)) {
			return 'not-newer';
		}

		this.#rejected.delete(head.team);
		this.#subtrees.set(head.team, {head, body, subtree: validated.value});
		this.#publish();
		return 'applied';
	}

	/**
	 * @returns A problem for each key digest that another team uses. Such a digest would capture the requests that are made
	 * with the other team's key.
	 */
	findDigestConflicts(team: string, subtree: Subtree): Problem[] {
		const digestsOfOthers = new Set([...this.#subtrees].filter(([name]) => name !== team).flatMap(([, other]) => listKeyDigests(other.subtree).map(entry => entry.digest)));
		return listKeyDigests(subtree)
			.filter(({digest}) => digestsOfOthers.has(digest))
			.map(({path}) => ({path, message: 'expected a digest that no other team uses'}));
	}

	/** Starts publishing settings to other components; called once all subtrees known at startup have been processed. */
	startPublishing(): void {
		if (!this.#isPublishing) {
			this.#isPublishing = true;
			this.#publish();
		}
	}

	get isPublishing(): boolean {
		return this.#isPublishing;
	}

	#isRejected(head: Head): boolean {
		return this.#rejected.get(head.team)?.head.version === head.version;
	}

	#publish(): void {
		// Without any subtree there is nothing to serve, so the node must not become ready.
		if (this.#isPublishing && this.#subtrees.size > 0) {
			const subtrees = [...this.#subtrees.entries()].sort(([a], [b]) => a < b ? -1 : 1);
			this.#settings.apply(Deployment.create(new Map(subtrees.map(([team, {subtree}]) => [team, subtree]))));
		}
	}
}

function listKeyDigests(subtree: Subtree): Array<{path: string; digest: string}> {
	return Object.entries({customers: subtree.customers, operators: subtree.operators}).flatMap(([group, holders]) =>
		Object.entries(holders).flatMap(([id, {keyDigests}]) => keyDigests.map((digest, index) => ({
			path: `${group}.${id}.keyDigests[${index}]`, digest,
		}))));
}
