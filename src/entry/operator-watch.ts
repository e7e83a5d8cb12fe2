/**
 * Server-sent events about the versions of one subtree.
 */
import {type ServerResponse} from 'node:http';
import {type Head} from '../config/rows.js';
import {type OperatorContext} from './operator-context.js';

const KEEP_ALIVE_MS = 15_000;
/** A watch ends after this time; the client connects again. */
const MAX_DURATION_MS = 30 * 60_000;
/** Greatest number of watches on one node. */
export const MAX_WATCHES = 64;

let watchCount = 0;

/** @returns Whether another watch may start on this node. */
export function canWatch(): boolean {
	return watchCount < MAX_WATCHES;
}

/** Sends the version in force and each later one as it comes into force on this node. */
export function watchSubtree(res: ServerResponse, team: string, {clock, sync}: OperatorContext): void {
	watchCount += 1;
	const send = ({version, digest, bytes}: Head) => {
		res.write(`event: version\nid: ${version}\ndata: ${JSON.stringify({
			team, version, digest, bytes,
		})}\n\n`);
	};

	res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
	res.write(': connected\n\n');
	const current = sync.subtrees.get(team)?.head;
	if (current !== undefined) {
		send(current);
	}

	const unsubscribe = sync.onApplied(head => {
		if (head.team === team) {
			send(head);
		}
	});
	const end = clock.setTimer(MAX_DURATION_MS, () => {
		res.end();
	});
	const closed = new AbortController();
	res.once('close', () => {
		watchCount -= 1;
		closed.abort();
		unsubscribe();
		end.cancel();
	});
	void keepAlive();

	async function keepAlive(): Promise<void> {
		while (!closed.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await clock.sleep(KEEP_ALIVE_MS, closed.signal);
			if (!closed.signal.aborted) {
				res.write(': keep-alive\n\n');
			}
		}
	}
}
