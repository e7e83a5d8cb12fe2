/**
 * What a VM believes of the deployment: configuration in force, upstreams, other VMs. Each change is told to the parts
 * that decide by it, and is logged with its version.
 */
import {type Log, type LogFields} from '../base/log.js';
import {type Member} from '../link/messages.js';
import {type Configuration, RoutingTable} from './routing-table.js';
import {
	type Upstream, type UpstreamBoot, type UpstreamChanges, UpstreamList,
} from './upstream-list.js';

/** Names in one log line; a line stays under 1 KB. */
const MAX_LOGGED_NAMES = 20;

/** Parts that follow the state. */
export type StateListener = {
	onTable?(table: RoutingTable): void;
	onUpstreams?(changes: UpstreamChanges): void;
	/** Upstreams told this VM, or a VM that it allocates for, that they leave. */
	onLeaving?(boots: readonly UpstreamBoot[]): void;
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

		const quotas = new Map(this.#table?.configuration.customers.map(({name, quota}) => [name, quota]));
		this.#table = RoutingTable.create(configuration);
		this.#log.info('Configuration in force.', {version: configuration.version, routes: configuration.routes.length, customers: configuration.customers.length});
		for (const {name, quota} of configuration.customers) {
			const before = quotas.get(name);
			if (before?.perSecond !== quota?.perSecond || before?.burst !== quota?.burst) {
				this.#log.info('Quota in force.', {
					customer: name, perSecond: quota?.perSecond, burst: quota?.burst, inTokens: quota?.isInTokens,
				});
			}
		}

		for (const listener of this.#listeners) {
			listener.onTable?.(this.#table);
		}
	}

	/** Takes the whole list of upstreams. */
	replaceUpstreams(upstreams: readonly Upstream[]): void {
		this.applyUpstreams(this.upstreams.changesTo(upstreams));
	}

	applyUpstreams(changes: UpstreamChanges): void {
		this.#tellUpstreams(this.upstreams.apply(changes));
	}

	/** Takes upstreams that said in an answer that they leave: they get no new work from now on. */
	noteLeaving(boots: readonly UpstreamBoot[]): void {
		const changes = this.upstreams.markLeaving(boots);
		if (changes.changed.length === 0) {
			return;
		}

		this.#log.info('Upstreams said that they leave.', {upstreams: changes.changed.map(({id}) => id).join(',')});
		this.#tellUpstreams(changes);
		for (const listener of this.#listeners) {
			listener.onLeaving?.(boots);
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
		const joined = members.filter(({boot}) => !before.has(boot));
		const gone = this.#members.filter(({boot}) => !after.has(boot));
		// One line for all of a change: at a start, each VM learns of hundreds at once.
		if (joined.length > 0) {
			this.#log.info('VMs joined.', namesOf(joined));
		}

		if (gone.length > 0) {
			this.#log.info('VMs gone.', namesOf(gone));
		}

		this.#members = members;
		for (const listener of this.#listeners) {
			listener.onMembers?.(members);
		}
	}

	#tellUpstreams(changes: UpstreamChanges): void {
		const {changed, removed} = changes;
		if (changed.length === 0 && removed.length === 0) {
			return;
		}

		if (changed.length > MAX_LOGGED_NAMES) {
			this.#log.info('Upstreams listed.', {count: changed.length, pools: [...new Set(changed.map(({pool}) => pool))].join(',')});
		} else {
			for (const {id, pool, isLeaving, address} of changed) {
				this.#log.info('Upstream listed.', {
					upstream: id, pool, address, isLeaving,
				});
			}
		}

		for (const id of removed) {
			this.#log.info('Upstream gone.', {upstream: id});
		}

		for (const listener of this.#listeners) {
			listener.onUpstreams?.(changes);
		}
	}
}

function namesOf(vms: readonly Member[]): LogFields {
	return {count: vms.length, vms: vms.slice(0, MAX_LOGGED_NAMES).map(({name}) => name).join(',')};
}
