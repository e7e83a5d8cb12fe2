/**
 * Exchanges settings with other nodes: applied versions are published by gossip, bodies are fetched by RPC.
 */
import {Buffer} from 'node:buffer';
import Result, {ok} from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {
	type AppliedListener, type AppliedReport, type BodySource, ConfigPeers,
} from '../config/peers.js';
import {type Head} from '../config/rows.js';
import {MemberStatus, type MemberView} from '../members/member.js';
import {type AppliedVersionUpdate, type Topics} from '../members/topics.js';
import {type PeerHandlers, type PeerTransport} from './peer-transport.js';

const FETCH_TIMEOUT_MS = 2000;
/** Maximum number of nodes asked for a body before the store is read again. */
const MAX_FETCH_ATTEMPTS = 3;

/** Dependencies of `NetworkConfigPeers`. */
export type NetworkConfigPeersOptions = {
	readonly clock: Clock;
	readonly topics: Topics;
	readonly transport: PeerTransport;
	/** Returns the currently known members except this node. */
	readonly members: () => readonly MemberView[];
	/** Sends urgent gossip without waiting for the next tick. */
	readonly pushUrgent: () => void;
};

/** Settings exchange of one node over gossip and the peer service. */
export class NetworkConfigPeers extends ConfigPeers {
	static create(options: NetworkConfigPeersOptions): NetworkConfigPeers {
		return new NetworkConfigPeers(options);
	}

	readonly #options: NetworkConfigPeersOptions;
	#bodySource: BodySource | undefined;

	private constructor(options: NetworkConfigPeersOptions) {
		super();
		this.#options = options;
	}

	publish({team, version, digest, bytes}: Head): void {
		const {topics, clock, pushUrgent} = this.#options;
		topics.publishApplied({
			subtree: team, version, digest, bytes,
		}, clock.now());
		pushUrgent();
	}

	subscribe(listener: AppliedListener): () => void {
		return this.#options.topics.subscribe('config', update => {
			listener(toReport(update));
		});
	}

	reports(): readonly AppliedReport[] {
		return this.#options.topics.appliedVersions().map(update => toReport(update));
	}

	async fetchBody(head: Head): Promise<Result<string, SchedulerError>> {
		for (const address of this.#candidates(head)) {
			// eslint-disable-next-line no-await-in-loop -- the next node is asked only if this one does not return the body
			const response = await this.#options.transport.call(address, 'fetchConfig', {team: head.team, digest: head.digest}, FETCH_TIMEOUT_MS);
			if (response.isOk && response.value.body !== undefined) {
				return ok(Buffer.from(response.value.body).toString());
			}
		}

		return Result.err(SchedulerError.create(ErrorKind.NotFound, 'No peer that was asked has this version.'));
	}

	serveBodies(source: BodySource): void {
		this.#bodySource = source;
	}

	/** Handlers to register with this node's peer service. */
	get handlers(): Pick<PeerHandlers, 'fetchConfig'> {
		return {
			fetchConfig: ({team, digest}) => {
				const body = this.#bodySource?.(team, digest);
				return body === undefined ? {} : {body: Buffer.from(body)};
			},
		};
	}

	/** Returns the addresses to fetch a body from; nodes that reported the version come first. */
	#candidates(head: Head): string[] {
		const reporters = new Set(this.#options.topics.appliedVersions()
			.filter(update => update.subtree === head.team && update.digest === head.digest)
			.map(update => update.nodeId));
		return this.#options.members()
			.filter(member => member.status === MemberStatus.Alive || member.status === MemberStatus.Leaving)
			.toSorted((a, b) => Number(reporters.has(b.id)) - Number(reporters.has(a.id)))
			.slice(0, MAX_FETCH_ATTEMPTS)
			.map(member => member.address);
	}
}

function toReport({nodeId, region, subtree, version, digest, bytes}: AppliedVersionUpdate): AppliedReport {
	return {
		nodeId, region, head: {
			team: subtree, version, digest, bytes,
		},
	};
}
