/**
 * A VM's view of the deployment: active configuration, upstreams and other VMs. Changes are reported to the components
 * that depend on them; configuration changes are logged with their version.
 */
import {isDeepStrictEqual} from 'node:util';
import {type Log, type LogFields} from '../base/log.js';
import {type Member} from '../link/messages.js';
import {type Configuration, RoutingTable} from './routing-table.js';
import {type AgedLimit, type UpstreamLimit, UpstreamLimits} from './upstream-limits.js';
import {type Departure} from './departed-upstreams.js';
import {type UpstreamBoot} from './upstream-boot.js';
import {type Upstream, type UpstreamChanges, UpstreamList} from './upstream-list.js';

/** Maximum number of names in one log line, which keeps the line below 1 KB. */
const MAX_LOGGED_NAMES = 20;

/** Callbacks of a component that follows the deployment state. */
export type StateListener = {
	onTable?(table: RoutingTable): void;
	onUpstreams?(changes: UpstreamChanges): void;
	/** Upstreams told this VM, or a VM that it allocates for, that they are shutting down. */
	onLeaving?(boots: readonly UpstreamBoot[]): void;
	/** Upstreams that left were listed again, and are removed. */
	onDeparted?(departures: readonly Departure[]): void;
	/** Limits that upstreams stated in responses to this VM changed. */
	onStatedLimits?(limits: readonly AgedLimit[]): void;
	onMembers?(members: readonly Member[]): void;
};

/** Holds the current deployment state and notifies listeners of changes. */
export class DeploymentState {
	static create(log: Log): DeploymentState {
		return new DeploymentState(log);
	}

	readonly upstreams = UpstreamList.create();
	readonly limits = UpstreamLimits.create();
	readonly #log: Log;
	readonly #listeners: StateListener[] = [];
	#table: RoutingTable | undefined;
	#members: readonly Member[] = [];

	private constructor(log: Log) {
		this.#log = log;
	}

	/** The active configuration; `undefined` until the first one is received. */
	get table(): RoutingTable | undefined {
		return this.#table;
	}

	/** Live VMs known to the allocator. */
	get members(): readonly Member[] {
		return this.#members;
	}

	listen(listener: StateListener): void {
		this.#listeners.push(listener);
	}

	/**
	 * Activates a configuration unless the active one is as new or newer: a process never reverts to an earlier version. Of
	 * two with the same version, the leader's prevails, so that all VMs act by the same one.
	 */
	applyConfiguration(configuration: Configuration, isFromLeader = false): void {
		if (this.#table !== undefined && !this.#isReplacedBy(configuration, this.#table, isFromLeader)) {
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

	/** Replaces the complete upstream list. */
	replaceUpstreams(upstreams: readonly Upstream[]): void {
		this.applyUpstreams(this.upstreams.diff(upstreams));
	}

	applyUpstreams(changes: UpstreamChanges): void {
		this.#notifyUpstreams(this.upstreams.apply(changes));
	}

	/** Marks upstreams that announced their shutdown in a response, so that they get no new work. */
	noteLeaving(boots: readonly UpstreamBoot[]): void {
		const changes = this.upstreams.markLeaving(boots);
		if (changes.changed.length === 0) {
			return;
		}

		this.#log.info('Upstreams said that they leave.', {upstreams: changes.changed.map(({id}) => id).join(',')});
		this.#notifyUpstreams(changes);
		for (const listener of this.#listeners) {
			listener.onLeaving?.(boots);
		}
	}

	/** Takes departures that another VM knows of, and removes upstreams that a store which went back has listed again. */
	noteDeparted(departures: readonly Departure[]): void {
		const effective = this.upstreams.markDeparted(departures);
		if (effective.length === 0) {
			return;
		}

		for (const listener of this.#listeners) {
			listener.onDeparted?.(effective);
		}

		this.#notifyUpstreams({changed: [], removed: effective.map(({id}) => id)});
	}

	/**
	 * Records the limit that an upstream stated in a response, or that it stated none.
	 *
	 * @param sentAt - When the request was sent that the upstream responded to.
	 */
	noteLimit(limit: UpstreamLimit, sentAt: number, now: number): void {
		if (this.limits.note(limit, sentAt, now)) {
			this.#logLimits([limit], 'upstream');
			for (const listener of this.#listeners) {
				listener.onStatedLimits?.([{...limit, ageMs: 0}]);
			}
		}
	}

	/** Applies limits that another VM learnt of, unless this VM knows newer ones. */
	mergeLimits(limits: readonly AgedLimit[], now: number): void {
		this.#logLimits(this.limits.merge(limits, now), 'vm');
	}

	/** Applies limits as the leader knows them. */
	replaceLimits(limits: readonly AgedLimit[], now: number): void {
		this.#logLimits(this.limits.replace(limits, now), 'allocator');
	}

	/** Applies VMs that joined or changed, and the names of VMs that left. */
	applyMembers(changed: readonly Member[], removed: readonly string[]): void {
		const names = new Set([...removed, ...changed.map(member => member.name)]);
		this.setMembers([...this.#members.filter(member => !names.has(member.name)), ...changed]);
	}

	setMembers(members: readonly Member[]): void {
		const before = new Set(this.#members.map(member => member.boot));
		const after = new Set(members.map(member => member.boot));
		const joined = members.filter(({boot}) => !before.has(boot));
		const left = this.#members.filter(({boot}) => !after.has(boot));
		// One log line per change: a starting VM learns of hundreds of others at once.
		if (joined.length > 0) {
			this.#log.info('VMs joined.', vmLogFields(joined));
		}

		if (left.length > 0) {
			this.#log.info('VMs gone.', vmLogFields(left));
		}

		this.#members = members;
		for (const listener of this.#listeners) {
			listener.onMembers?.(members);
		}
	}

	#isReplacedBy(configuration: Configuration, active: RoutingTable, isFromLeader: boolean): boolean {
		if (active.version !== configuration.version) {
			return configuration.version > active.version;
		}

		if (isSameConfiguration(active.configuration, configuration)) {
			return false;
		}

		this.#log.error('Two configurations have the same version.', {version: configuration.version, isReplaced: isFromLeader});
		return isFromLeader;
	}

	/** @param toldBy - Who told this VM. */
	#logLimits(limits: readonly UpstreamLimit[], toldBy: 'upstream' | 'vm' | 'allocator'): void {
		for (const {id, perSecond} of limits) {
			if (perSecond === undefined) {
				this.#log.info('Upstream limit ended.', {upstream: id, toldBy, limited: this.limits.size});
			} else {
				this.#log.info('Upstream limit in force.', {
					upstream: id, perSecond, toldBy, limited: this.limits.size,
				});
			}
		}
	}

	#notifyUpstreams(changes: UpstreamChanges): void {
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

function vmLogFields(vms: readonly Member[]): LogFields {
	return {count: vms.length, vms: vms.slice(0, MAX_LOGGED_NAMES).map(({name}) => name).join(',')};
}

/** Compares values only: one of the two may have come over a link, which keeps neither the order of fields nor undefined ones. */
function isSameConfiguration(a: Configuration, b: Configuration): boolean {
	const withoutUndefined = (configuration: Configuration): unknown => JSON.parse(JSON.stringify(configuration)); // eslint-disable-line unicorn/prefer-structured-clone -- drops undefined fields
	return isDeepStrictEqual(withoutUndefined(a), withoutUndefined(b));
}
