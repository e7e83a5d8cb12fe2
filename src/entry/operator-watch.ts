/**
 * Streams the applied versions of a subtree as server-sent events.
 */
import {type ServerResponse} from 'node:http';
import {type Clock} from '../base/clock.js';
import {type ConfigSync} from '../config/config-sync.js';
import {type Head} from '../config/rows.js';

const KEEP_ALIVE_INTERVAL_MS = 15_000;
/** A watch is closed after this time; the client must reconnect. */
const MAX_WATCH_DURATION_MS = 30 * 60_000;
/** Maximum number of open watches on a node. */
export const MAX_WATCHES = 64;

/** Manages the open watches of a node. */
export class SubtreeWatches {
	static create(clock: Clock, sync: ConfigSync): SubtreeWatches {
		return new SubtreeWatches(clock, sync);
	}

	readonly #clock: Clock;
	readonly #sync: ConfigSync;
	readonly #openWatches = new Set<ServerResponse>();

	private constructor(clock: Clock, sync: ConfigSync) {
		this.#clock = clock;
		this.#sync = sync;
	}

	get isFull(): boolean {
		return this.#openWatches.size >= MAX_WATCHES;
	}

	/** Sends the currently applied version, and each later one when this node applies it. */
	start(res: ServerResponse, team: string): void {
		this.#openWatches.add(res);
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
		const endTimer = this.#clock.setTimer(MAX_WATCH_DURATION_MS, () => {
			res.end();
		});
		const closed = new AbortController();
		res.once('close', () => {
			this.#openWatches.delete(res);
			closed.abort();
			unsubscribe();
			endTimer.cancel();
		});
		void this.#keepAlive(res, closed.signal); // eslint-disable-line @typescript-eslint/no-floating-promises -- never rejects
	}

	/** Closes all watches, so that the server can close. */
	endAll(): void {
		for (const res of this.#openWatches) {
			res.end();
		}
	}

	async #keepAlive(res: ServerResponse, closed: AbortSignal): Promise<void> {
		while (!closed.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await this.#clock.sleep(KEEP_ALIVE_INTERVAL_MS, closed);
			if (!closed.aborted) {
				writeIfOpen(res, ': keep-alive\n\n');
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
	writeIfOpen(res, `event: version\nid: ${version}\ndata: ${data}\n\n`);
}

/** Writes unless the response has ended, which emits an error; it closes only once the client has read it. */
function writeIfOpen(res: ServerResponse, text: string): void {
	if (!res.writableEnded) {
		res.write(text);
	}
}
