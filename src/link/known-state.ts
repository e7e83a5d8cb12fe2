/**
 * What a VM tells others that may know less: the leader that it has linked to, or a VM that found no leader.
 */
import {type Allocator} from '../allocation/allocator.js';
import {type Clock} from '../base/clock.js';
import {type DeploymentState} from '../gateway/deployment-state.js';
import {type Rollouts} from '../rollout/rollouts.js';
import {MAX_SUSPICIONS} from './leader-host.js';
import {type Channel} from './link-network.js';
import {type FromLeader, type FromPeer, type ToLeader} from './messages.js';

/** Tells a leader what the registry and its predecessor do not tell: upstreams that leave or left, limits and suspicions. */
export function tellLeader(send: (message: ToLeader) => void, clock: Clock, state: DeploymentState, {quarantine}: Allocator, rollouts?: Rollouts): void {
	const {leaving, departed} = state.upstreams;
	if (leaving.length > 0) {
		send({kind: 'leaving', boots: leaving});
	}

	if (departed.all.length > 0) {
		send({kind: 'departed', departures: departed.all});
	}

	const limits = state.limits.list(clock.now());
	if (limits.length > 0) {
		send({kind: 'limits', limits});
	}

	const suspicions = quarantine.export(clock.now()).filter(({isCleared}) => !isCleared);
	if (suspicions.length > 0) {
		send({kind: 'suspicions', suspicions: suspicions.slice(0, MAX_SUSPICIONS)});
	}

	if (rollouts !== undefined) {
		send({kind: 'rollouts', rollouts: rollouts.message.rollouts});
	}
}

/**
 * Sends a VM that found no leader a later configuration than its own; to a VM that has none, as it has just started and gets
 * nothing from the store, also upstreams and their limits.
 *
 * @param configurationVersion - Version in force at the receiver; 0 if it has none.
 */
export function tellVm(channel: Channel<FromLeader | FromPeer>, clock: Clock, {table, upstreams, limits}: DeploymentState, configurationVersion: number, rollouts?: Rollouts): void {
	if (rollouts !== undefined) {
		channel.send(rollouts.message);
	}

	if (table === undefined || table.version <= configurationVersion) {
		return;
	}

	if (configurationVersion === 0) {
		channel.send({
			kind: 'upstreams', isWhole: true, changed: upstreams.all, removed: [],
		});
		channel.send({kind: 'departed', departures: upstreams.departed.all});
		channel.send({kind: 'limits', limits: limits.list(clock.now())});
	}

	channel.send({kind: 'configuration', configuration: table.configuration});
}
