/**
 * Server-sent events about the versions of one subtree.
 */
import {type ServerResponse} from 'node:http';
import {type Clock} from '../base/clock.js';
import {type ConfigSync} from '../config/config-sync.js';
import {type Head} from '../config/rows.js';

const KEEP_ALIVE_MS = 15_000;
/** A watch ends after this time; the client connects again. */
const MAX_DURATION_MS = 30 * 60_000;
/** Greatest number of watches on one node. */
export const MAX_WATCHES = 64;

/** The open watches of one node. */
export class SubtreeWatches {
	static create(clock: Clock, sync: ConfigSync): SubtreeWatches {
		return new SubtreeWatches(clock, sync);
	}

	readonly #clock: Clock;
	readonly #sync: ConfigSync;
	readonly #open = new Set<ServerResponse>();

	private constructor(clock: Clock, sync: ConfigSync) {
		this.#clock = clock;
		this.#sync = sync;
	}

	get isFull(): boolean {
		return this.#open.size >= MAX_WATCHES;
	}

	/** Sends the version in force and each later one as it comes into force on this node. */
	start(res: ServerResponse, team: string): void {
		this.#open.add(res);
		res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store', connection: 'close'});
		res.write(': connected\n\n');
		const current = this.#sync.subtrees.get(team)?.head;
		if (current !== undefined) {
			sendVersion(res, current);
		}

		const unsubscribe = this.#sync.onApplied(head => {
			if (head.team === team) {
				sendVersion(res, head);
			}
		});
		const end = this.#clock.setTimer(MAX_DURATION_MS, () => {
			res.end();
		});
		const closed = new AbortController();
		res.once('close', () => {
			this.#open.delete(res);
			closed.abort();
			unsubscribe();
			end.cancel();
		});
		void this.#keepAlive(res, closed.signal);
	}

	/** Ends all watches, so that the server can close. */
	endAll(): void {
		for (const res of this.#open) {
			res.end();
		}
	}

	async #keepAlive(res: ServerResponse, closed: AbortSignal): Promise<void> {
		while (!closed.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await this.#clock.sleep(KEEP_ALIVE_MS, closed);
			if (!closed.aborted) {
				res.write(': keep-alive\n\n');
			}
		}
	}
}

function sendVersion(res: ServerResponse, {
	team, version, digest, bytes,
}: Head): void {
	const data = JSON.stringify({
		team, version, digest, bytes,
	});
	res.write(`event: version\nid: ${version}\ndata: ${data}\n\n`);
}
