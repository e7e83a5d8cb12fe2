/**
 * A requester: sends requests on channels that it keeps, and waits for the whole answer.
 */
import {Agent, request} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';

/** Host of all routes. */
export const HOST = 'ficu95.example';
/** The only key of the only tenant. */
export const KEY = 'i9n73hh2b9wu3fexd9dn';
/** The only tenant. */
export const TENANT = 'hule930';

/** Limits of the manifest, as on the users' pages. */
export const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** Sends requests and remembers nothing of them. */
export class Requester {
	agent = new Agent({keepAlive: true, maxSockets: Number.POSITIVE_INFINITY});
	count = 0;
	prefix;

	/** @param prefix - Beginning of the ids of all requests. */
	constructor(prefix) {
		this.prefix = prefix;
	}

	/**
	 * @param request - With `patienceMs`, the requester leaves after a gap of that length.
	 * @returns The answer; status 0 if the channel ended, or the time limit passed, without one.
	 */
	async send(address, {method, path, body, limitMs, patienceMs, headers = {}}) {
		this.count += 1;
		const id = `${this.prefix}-${this.count}`;
		const [host, port] = address.split(':');
		return new Promise(resolve => {
			const answer = {
				id, status: 0, seal: undefined, body: '', isWhole: false,
			};
			let gapTimer;
			const finish = () => {
				clearTimeout(timer);
				clearTimeout(gapTimer);
				resolve(answer);
			};

			const restartGap = () => {
				clearTimeout(gapTimer);
				if (patienceMs !== undefined) {
					gapTimer = setTimeout(() => {
						req.destroy();
						finish();
					}, patienceMs);
				}
			};

			const req = request({
				host, port, method, path, agent: this.agent, headers: {
					host: HOST,
					'x-request-id': id,
					'x-deadline-ms': String(limitMs),
					authorization: `Bearer ${KEY}`,
					...headers,
					...(body === undefined ? {} : {'content-length': String(body.length)}),
				},
			}, res => {
				answer.status = res.statusCode;
				answer.seal = res.headers['x-server-seal'];
				res.setEncoding('utf8');
				res.on('data', text => {
					answer.body += text;
					restartGap();
				});
				res.once('end', () => {
					answer.isWhole = res.complete;
					finish();
				});
				res.once('error', finish);
				res.once('close', finish);
			});
			// The requester waits a little longer than it says, so that an answer that is just in time is seen.
			const timer = setTimeout(() => {
				req.destroy();
				finish();
			}, limitMs + 1000);
			req.once('error', finish);
			restartGap();
			req.end(body);
		});
	}

	close() {
		this.agent.destroy();
	}
}
