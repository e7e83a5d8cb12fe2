/**
 * Interface for exchanging settings versions and bodies between nodes.
 */
import {type Result} from 'true-myth/result';
import {type SchedulerError} from '../base/errors.js';
import {type Head} from './rows.js';

/** A version that is active on a node. */
export type AppliedReport = {
	readonly nodeId: string;
	readonly region: string;
	readonly head: Head;
};

/** Called when this node first learns that a version is active on a peer. */
export type AppliedListener = (report: AppliedReport) => void;

/** Returns the body that a peer requests, or `undefined` if this node has a different version. */
export type BodySource = (team: string, digest: string) => string | undefined;

/** Exchanges applied versions and bodies with other nodes. */
export abstract class ConfigPeers {
	/**
	 * Publishes that a version is active on this node. The report is pushed immediately and stays part of the periodic
	 * exchange until a newer version of the subtree replaces it.
	 */
	abstract publish(head: Head): void;

	/**
	 * @param listener - Called for each report that is new to this node, whether it was pushed or exchanged periodically.
	 * @returns A function that removes the listener.
	 */
	abstract subscribe(listener: AppliedListener): () => void;

	/** @returns The latest known report of each live node and team, excluding this node. */
	abstract reports(): readonly AppliedReport[];

	/**
	 * Fetches a body from a peer that has it, with a time limit. The caller must verify the digest.
	 *
	 * @param head - The version whose body to fetch.
	 */
	abstract fetchBody(head: Head): Promise<Result<string, SchedulerError>>;

	/** Sets the function that handles the peers' requests for bodies. */
	abstract serveBodies(source: BodySource): void;
}
