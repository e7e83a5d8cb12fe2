/**
 * Exchange of settings versions and bodies with the other nodes: versions ride on gossip, bodies are fetched.
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
/** Nodes that are asked for a body before the next read of the store. */
const MAX_FETCHES = 3;

/** What the exchange works with. */
export type NetworkConfigPeersOptions = {
	readonly clock: Clock;
	readonly topics: Topics;
	readonly transport: PeerTransport;
	/** The members that this node knows now, without itself. */
	readonly members: () => readonly MemberView[];
	/** Sends urgent gossip without waiting for the next tick. */
	readonly pushUrgent: () => void;
};

/** The exchange of one node. */
export class NetworkConfigPeers extends ConfigPeers {
	static create(options: NetworkConfigPeersOptions): NetworkConfigPeers {
		return new NetworkConfigPeers(options);
	}

	readonly #options: NetworkConfigPeersOptions;
	#source: BodySource | undefined;

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
		return this.#options.topics.subscribe('config', news => {
			listener(toReport(news));
		});
	}

	reports(): readonly AppliedReport[] {
		return this.#options.topics.appliedVersions().map(news => toReport(news));
	}

	async fetchBody(head: Head): Promise<Result<string, SchedulerError>> {
		for (const address of this.#candidates(head)) {
			// eslint-disable-next-line no-await-in-loop -- the next node is asked only if this one has no body
			const answer = await this.#options.transport.call(address, 'fetchConfig', {team: head.team, digest: head.digest}, FETCH_TIMEOUT_MS);
			if (answer.isOk && answer.value.body !== undefined) {
				return ok(Buffer.from(answer.value.body).toString());
			}
		}

		return Result.err(SchedulerError.create(ErrorKind.NotFound, 'No peer that was asked has this version.'));
	}

	serveBodies(source: BodySource): void {
		this.#source = source;
	}

	/** To be served by this node's peer service. */
	get handlers(): Pick<PeerHandlers, 'fetchConfig'> {
		return {
			fetchConfig: ({team, digest}) => {
				const body = this.#source?.(team, digest);
				return body === undefined ? {} : {body: Buffer.from(body)};
			},
		};
	}

	/** Nodes that reported the version come first. */
	#candidates(head: Head): string[] {
		const reporters = new Set(this.#options.topics.appliedVersions()
			.filter(news => news.subtree === head.team && news.digest === head.digest)
			.map(news => news.nodeId));
		return this.#options.members()
			.filter(member => member.status === MemberStatus.Alive || member.status === MemberStatus.Leaving)
			.toSorted((a, b) => Number(reporters.has(b.id)) - Number(reporters.has(a.id)))
			.slice(0, MAX_FETCHES)
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
