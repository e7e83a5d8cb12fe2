/**
 * What a VM believes of the deployment: configuration in force, upstreams, other VMs. Each change is told to the parts
 * that decide by it, and is logged with its version.
 */
import {type Log} from '../base/log.js';
import {type Member} from '../link/messages.js';
import {type Configuration, RoutingTable} from './routing-table.js';
import {type Upstream, type UpstreamChanges, UpstreamList} from './upstream-list.js';

/** Parts that follow the state. */
export type StateListener = {
	onTable?(table: RoutingTable): void;
	onUpstreams?(changes: UpstreamChanges): void;
	onMembers?(members: readonly Member[]): void;
};

/** The state. */
export class DeploymentState {
	static create(log: Log): DeploymentState {
		return new DeploymentState(log);
	}

	readonly upstreams = UpstreamList.create();
	readonly #log: Log;
	readonly #listeners: StateListener[] = [];
	#table: RoutingTable | undefined;
	#members: readonly Member[] = [];

	private constructor(log: Log) {
		this.#log = log;
	}

	/** The configuration in force; `undefined` until one was received. */
	get table(): RoutingTable | undefined {
		return this.#table;
	}

	/** Live VMs, as the allocator knows them. */
	get members(): readonly Member[] {
		return this.#members;
	}

	listen(listener: StateListener): void {
		this.#listeners.push(listener);
	}

	/** Puts a configuration in force, unless a later one is: a process never goes back. */
	applyConfiguration(configuration: Configuration): void {
		if (this.#table !== undefined && this.#table.version >= configuration.version) {
			return;
		}

		this.#table = RoutingTable.create(configuration);
		this.#log.info('Configuration in force.', {version: configuration.version, routes: configuration.routes.length, customers: configuration.customers.length});
		for (const listener of this.#listeners) {
			listener.onTable?.(this.#table);
		}
	}

	/** Takes the whole list of upstreams. */
	replaceUpstreams(upstreams: readonly Upstream[]): void {
		this.applyUpstreams(this.upstreams.changesTo(upstreams));
	}

	applyUpstreams(changes: UpstreamChanges): void {
		const removed = changes.removed.filter(id => this.upstreams.get(id) !== undefined);
		if (changes.changed.length === 0 && removed.length === 0) {
			return;
		}

		this.upstreams.apply(changes);
		for (const {id, pool, isLeaving, address} of changes.changed) {
			this.#log.info('Upstream listed.', {
				upstream: id, pool, address, isLeaving,
			});
		}

		for (const id of removed) {
			this.#log.info('Upstream gone.', {upstream: id});
		}

		for (const listener of this.#listeners) {
			listener.onUpstreams?.(changes);
		}
	}

	/** Takes VMs that joined or changed, and names of VMs that left. */
	applyMembers(changed: readonly Member[], removed: readonly string[]): void {
		const names = new Set([...removed, ...changed.map(member => member.name)]);
		this.setMembers([...this.#members.filter(member => !names.has(member.name)), ...changed]);
	}

	setMembers(members: readonly Member[]): void {
		const before = new Set(this.#members.map(member => member.boot));
		const after = new Set(members.map(member => member.boot));
		for (const {name, boot} of members) {
			if (!before.has(boot)) {
				this.#log.info('VM joined.', {vm: name});
			}
		}

		for (const {name, boot} of this.#members) {
			if (!after.has(boot)) {
				this.#log.info('VM gone.', {vm: name});
			}
		}

		this.#members = members;
		for (const listener of this.#listeners) {
			listener.onMembers?.(members);
		}
	}
}
