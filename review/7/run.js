/**
 * Case 7: a part of a prompt crashes each server that begins to write an answer on it, and the crashed server falls silent
 * in place of closing its channels.
 *
 * Without the disruption the part is harmless.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {bounds, Machines} from '../common-2/machines.js';
import {isTroubled, runCase} from '../common-2/outcome.js';
import {
	HOST, KEY, limits, Requester, TENANT,
} from '../common-2/requester.js';
import {Store} from '../common-2/store.js';

/** As in the site file: servers of the service, their slots, the time between two reports, aim, pause and time limit in ms. */
const SERVERS = 9;
const SLOTS = 4;
const HEARTBEAT_MS = 1200;
const AIM_MS = 600;
const PAUSE_MS = 300;
const LIMIT_MS = 8000;
/** After a gap of this length a requester abandons its stream: two seconds, four times the aim or eight times the pause. */
const PATIENCE_MS = Math.max(2000, 4 * AIM_MS, 8 * PAUSE_MS);
const FIRST_MS = 60;
const EVENTS = 20;
const EVENT_INTERVAL_MS = 20;
const BACK_MS = 5000;
const SECONDS = 32;
/** The sheet has 11.8. */
const STREAMS_PER_S = 11;
const MS_PER_SECOND = 1000;
/** As in the users' day: one of so many streams has the deadly part, from when on and for how long, in ms. */
const DEADLY_EVERY = 20;
const DEADLY_FROM_MS = 4000;
const DEADLY_FOR_MS = 22_000;
const COMMON_PART = '5c1e07a2';
const DEADLY_PART = 'dead0001';

class Server {
	static count = 0;

	static async start(log, store) {
		const server = new Server();
		Server.count += 1;
		server.id = `i-kettle-${Server.count}`;
		server.log = log;
		server.store = store;
		server.startedAt = performance.now();
		server.server = createServer((req, res) => {
			server.handle(req, res);
		});
		server.server.on('connection', socket => {
			server.sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => {
				server.sockets.delete(socket);
			});
		});
		server.server.listen(0, '127.0.0.1');
		await once(server.server, 'listening');
		store.put('servers', server.id, {
			service: 'kettle', address: `127.0.0.1:${server.server.address().port}`, zone: 'maracas-a', version: 'v1', slots: SLOTS, state: 'ready', coldLeftMs: 0, sequence: 1, born: Date.now(),
		});
		return server;
	}

	id;
	log;
	store;
	startedAt;
	server;
	sockets = new Set();
	isDark = false;

	end() {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	/** Says nothing more on its channels, and takes no new ones. Its entry expires, and another server takes its place. */
	crash() {
		this.isDark = true;
		this.server.close();
		const now = performance.now();
		this.log.crashes.push(now);
		const sinceReportMs = (now - this.startedAt) % HEARTBEAT_MS;
		setTimeout(() => {
			this.store.remove('servers', this.id);
		}, (3 * HEARTBEAT_MS) - sinceReportMs);
		setTimeout(async () => {
			this.log.servers.push(await Server.start(this.log, this.store));
		}, BACK_MS);
	}

	handle(req, res) {
		req.resume();
		req.once('end', async () => {
			const requestId = req.headers['x-request-id'];
			if (this.isDark) {
				return;
			}

			if (req.headers['x-expect-instance'] !== this.id) {
				res.writeHead(421, {'x-request-id': requestId, 'x-not-run': '1', 'content-length': '0'}).end();
				return;
			}

			const isDeadly = req.headers['x-prompt-prefix'].includes(DEADLY_PART);
			this.log.arrivals.push({
				requestId, server: this.id, at: performance.now(), isDeadly,
			});
			await sleep(FIRST_MS);
			if (this.isDark) {
				return;
			}

			res.writeHead(200, {'x-request-id': requestId, 'x-server-seal': `${this.id}.${requestId}`, 'content-type': 'text/event-stream'});
			for (let event = 1; event <= EVENTS && !this.isDark; event += 1) {
				res.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
				if (isDeadly && isTroubled) {
					this.crash();
					return;
				}

				await sleep(EVENT_INTERVAL_MS); // eslint-disable-line no-await-in-loop -- one event after the other
			}

			if (!this.isDark) {
				res.end();
			}
		});
	}
}

async function play() {
	const store = await Store.start();
	const log = {servers: [], arrivals: [], crashes: []};
	for (let index = 0; index < SERVERS; index += 1) {
		log.servers.push(await Server.start(log, store)); // eslint-disable-line no-await-in-loop -- one after the other
	}

	store.put('op', 'config', {
		version: 1,
		routes: [{
			name: 'letter', host: HOST, prefix: '/letter/', kind: 'streaming', timeoutMs: LIMIT_MS, targetLatencyMs: AIM_MS, gapTargetMs: PAUSE_MS, priority: 0,
			service: 'kettle', maxAttempts: 1, public: false, sticky: true, resumable: false,
		}],
		services: [{
			name: 'kettle', healthPath: '/health', maxConns: 370, protocol: 'h1', tls: false, engine: {
				slots: SLOTS, kvCapacity: 618_340, stride: 5,
			},
		}],
		limits,
		tenants: [{name: TENANT, apiKeys: [KEY], priority: 1}],
	});
	const machines = await Machines.create(3, () => store.address);
	const requester = new Requester('r');
	try {
		await machines.start();
		await sleep(2000);
		const startedAt = performance.now();
		const answers = [];
		const sending = [];
		for (let count = 0; count < SECONDS * STREAMS_PER_S; count += 1) {
			const {front} = machines.all[count % machines.all.length].listen;
			const sentAt = performance.now();
			const sinceStartMs = sentAt - startedAt;
			const isDeadly = count % DEADLY_EVERY === DEADLY_EVERY - 1 && sinceStartMs >= DEADLY_FROM_MS && sinceStartMs < DEADLY_FROM_MS + DEADLY_FOR_MS;
			sending.push((async () => {
				answers.push({
					sentAt, isDeadly, ...await requester.send(front, {
						method: 'POST', path: `/letter/${count}`, body: `letter ${count}`, limitMs: LIMIT_MS, patienceMs: PATIENCE_MS, headers: {
							'x-model': 'm', 'x-token-count': '1500,100', 'x-prompt-prefix': `${COMMON_PART}:60,${isDeadly ? `${DEADLY_PART}:410,` : ''}${(0x10_00_00_00 + count).toString(16)}:900`,
						},
					}),
				});
			})());
			await sleep(Math.max(0, startedAt + ((count + 1) * MS_PER_SECOND / STREAMS_PER_S) - performance.now())); // eslint-disable-line no-await-in-loop -- paces the requests
		}

		await Promise.all(sending);
		return judge(answers, log, startedAt);
	} finally {
		requester.close();
		await machines.end();
		await sleep(BACK_MS + MS_PER_SECOND);
		store.close();
		for (const server of log.servers) {
			server.end();
		}
	}
}

function judge(answers, {arrivals, crashes}, startedAt) {
	const seconds = at => ((at - startedAt) / MS_PER_SECOND).toFixed(2);
	const servers = new Map(arrivals.map(({requestId, server}) => [requestId, server]));
	const record = [
		...answers.map(({id, sentAt, isDeadly, status, isWhole}) =>
			`${seconds(sentAt)} s ${id}${isDeadly ? ' with the part' : ''}: ${status}, ${isWhole ? 'whole' : 'not whole'}, ${servers.has(id) ? `at ${servers.get(id)}` : 'at no server'}`),
		`crashes at ${crashes.map(at => seconds(at)).join(', ')} s`,
	];
	const fifth = crashes[4];
	const late = fifth === undefined ? [] : arrivals.filter(({isDeadly, at}) => isDeadly && at > fifth + bounds.contactMs);
	const sound = answers.filter(({isDeadly}) => !isDeadly);
	const cut = sound.filter(({status, isWhole}) => status !== 200 || !isWhole).length;
	const summary = `requests with the part at servers later than ${bounds.contactMs} ms after the fifth crash: ${late.length}; crashes: ${crashes.length}; sound streams broken off or not served: ${cut} of ${sound.length}`;
	record.push(summary);
	return {record, broken: late.length > 3 ? [`BUDGET: ${summary}`] : []};
}

await runCase(path.join(import.meta.dirname, 'record.txt'), play);
