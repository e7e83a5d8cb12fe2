/**
 * What the settings tree needs from the messages between nodes.
 */
import {type Result} from 'true-myth/result';
import {type SchedulerError} from '../base/errors.js';
import {type Head} from './rows.js';

/** A version that is in force on a node. */
export type AppliedReport = {
	readonly nodeId: string;
	readonly region: string;
	readonly head: Head;
};

/** Called when a peer is first known to have a version in force. */
export type AppliedListener = (report: AppliedReport) => void;

/** Answers peers that ask for a body; `undefined` where this node has another version. */
export type BodySource = (team: string, digest: string) => string | undefined;

/** Exchange of applied versions and bodies with the other nodes. */
export abstract class ConfigPeers {
	/**
	 * Publishes that a version is in force on this node: pushed at once, and carried by the regular exchange until a
	 * higher version of the subtree replaces it.
	 */
	abstract publish(head: Head): void;

	/**
	 * @param listener - Called for each report that is new to this node, whether pushed or exchanged.
	 * @returns Removes the listener.
	 */
	abstract subscribe(listener: AppliedListener): () => void;

	/** @returns The newest report of each live node and team as known now, without this node's own. */
	abstract reports(): readonly AppliedReport[];

	/**
	 * Fetches a body from a peer that has it, bounded in time. The caller checks the digest.
	 *
	 * @param head - The version whose body is wanted.
	 */
	abstract fetchBody(head: Head): Promise<Result<string, SchedulerError>>;

	/** Sets what answers the peers' requests for bodies. */
	abstract serveBodies(source: BodySource): void;
}
