/**
 * The subtrees in force on one node.
 */
import {type Invariants} from '../base/invariant.js';
import {AppliedVersions} from './applied-versions.js';
import {checkBody, digestBody, type Problem} from './check-subtree.js';
import {type CurrentSettings} from './current-settings.js';
import {Deployment} from './deployment.js';
import {type Head} from './rows.js';
import {type Subtree} from './schema.js';

/** A version whose body is corrupt or no longer valid, and is therefore not applied. */
export type RejectedVersion = {
	readonly head: Head;
	readonly problem: Problem;
	/** Reading the body again cannot help. */
	readonly isFinal: boolean;
};

/** What became of a body. */
export type ApplyResult = 'applied' | 'not-newer' | 'rejected';

/** A subtree in force, with its body as peers receive it. */
export type AppliedSubtree = {
	readonly head: Head;
	readonly body: string;
	readonly subtree: Subtree;
};

/** Applies checked versions and keeps what is in force. */
export class SubtreeStore {
	static create(applied: AppliedVersions, settings: CurrentSettings): SubtreeStore {
		return new SubtreeStore(applied, settings);
	}

	/** @returns A store with its own version register. */
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

	/** @returns The body of a subtree in force, where it has this digest. */
	body(team: string, digest: string): string | undefined {
		const subtree = this.#subtrees.get(team);
		return subtree?.head.digest === digest ? subtree.body : undefined;
	}

	/** @returns Whether the body of this version should be fetched; not again once it was found invalid. */
	wants(head: Head): boolean {
		return this.#applied.isNewer(head.team, head.version) && !(this.#isRejected(head) && this.#rejected.get(head.team)!.isFinal);
	}

	/** @returns Whether a version is in force or cannot be brought into force, so that a booting node does not wait for it. */
	isSettled(head: Head): boolean {
		return !this.#applied.isNewer(head.team, head.version) || this.#isRejected(head);
	}

	/** Notes that no intact copy of a body was found; the version stays wanted. */
	noteUnreadable(head: Head): void {
		this.#rejected.set(head.team, {head, problem: {path: '', message: 'expected a body that matches its digest'}, isFinal: false});
	}

	/** Checks a body and puts it in force; good settings stay when it is corrupt or invalid. */
	tryApply(head: Head, body: string): ApplyResult {
		if (!this.#applied.isNewer(head.team, head.version)) {
			return 'not-newer';
		}

		if (digestBody(body) !== head.digest) {
			this.noteUnreadable(head);
			return 'rejected';
		}

		const checked = checkBody(body);
		if (checked.isErr) {
			this.#rejected.set(head.team, {head, problem: checked.error[0]!, isFinal: true});
			return 'rejected';
		}

		if (!this.#applied.apply(head.team, head.version)) {
			return 'not-newer';
		}

		this.#rejected.delete(head.team);
		this.#subtrees.set(head.team, {head, body, subtree: checked.value});
		this.#publish();
		return 'applied';
	}

	/** @returns The paths of key digests that other teams use: they would take the requests of those teams' keys. */
	foreignDigests(team: string, subtree: Subtree): Problem[] {
		const foreign = new Set([...this.#subtrees].filter(([name]) => name !== team).flatMap(([, other]) => digestsOf(other.subtree).map(entry => entry.digest)));
		return digestsOf(subtree)
			.filter(({digest}) => foreign.has(digest))
			.map(({path}) => ({path, message: 'expected a digest that no other team uses'}));
	}

	/** Starts to hand settings to the other parts, once all subtrees that are known at boot were offered. */
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
		// Without any subtree there is nothing to serve, and the node stays not ready.
		if (this.#isPublishing && this.#subtrees.size > 0) {
			const subtrees = [...this.#subtrees.entries()].sort(([a], [b]) => a < b ? -1 : 1);
			this.#settings.apply(Deployment.create(new Map(subtrees.map(([team, {subtree}]) => [team, subtree]))));
		}
	}
}

function digestsOf(subtree: Subtree): Array<{path: string; digest: string}> {
	return Object.entries({customers: subtree.customers, operators: subtree.operators}).flatMap(([group, holders]) =>
		Object.entries(holders).flatMap(([id, {keyDigests}]) => keyDigests.map((digest, index) => ({
			path: `${group}.${id}.keyDigests[${index}]`, digest,
		}))));
}
