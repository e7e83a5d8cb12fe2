/**
 * Case 3: a part of a prompt crashes each server that begins to write an answer on it, after the first event.
 */
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '../common/caller.js';
import {bounds, Deployment} from '../common/deployment.js';
import {runCase} from '../common/load.js';
import {keyHeaders, manifest} from '../common/manifest.js';
import {Record} from '../common/record.js';
import {answerHeaders, Server} from '../common/server.js';
import {Store} from '../common/store.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Events that a server writes before it crashes. */
const EVENTS_BEFORE_CRASH = Number(process.env.EVENTS ?? 1);
const MACHINE_COUNT = 2;
const SERVER_COUNT = 6;
const LOAD_MS = 40_000;
const SOUND_INTERVAL_MS = 150;
const DEADLY_INTERVAL_MS = 500;
const EVENT_COUNT = 10;
const EVENT_INTERVAL_MS = 40;
const DEADLINE_MS = 6000;
const DEADLY_PART = 'dead:400';
/** A crashed server's entry is gone, and the server is back, after so long, in ms. */
const ENTRY_LAPSES_MS = 1500;
const BACK_AFTER_MS = 2500;
const CRASHES_TO_KNOW = 5;
const ALLOWED_ARRIVALS = 3;

const record = new Record('review/3/record.txt');
const crashes = [];
const deadlyArrivals = [];
let serverCount = 0;
let isOver = false;

async function startServer(store) {
	serverCount += 1;
	const server = await Server.start(store, record, {
		id: `engine-${serverCount}`, service: 'engine', slots: 5, respond,
	});
	return server;
}

function crash(server) {
	if (server.hasCrashed) {
		return;
	}

	server.hasCrashed = true;
	crashes.push(performance.now());
	record.note('crash', {server: server.id});
	server.close();
	setTimeout(() => {
		server.store.drop('servers', server.id);
	}, ENTRY_LAPSES_MS);
	setTimeout(() => {
		if (!isOver) {
			startServer(server.store);
		}
	}, BACK_AFTER_MS);
}

async function respond(req, res, _body, server) {
	const isDeadly = req.headers['x-prompt-prefix'].split(',').includes(DEADLY_PART);
	if (isDeadly) {
		deadlyArrivals.push(performance.now());
	}

	await sleep(EVENT_INTERVAL_MS);
	res.writeHead(200, {...answerHeaders(req), 'Content-Type': 'text/event-stream'});
	const from = Number(req.headers['last-event-id'] ?? 0);
	for (let id = from + 1; id <= EVENT_COUNT; id += 1) {
		if (isDeadly && HAS_TROUBLE && id > from + EVENTS_BEFORE_CRASH) {
			crash(server);
			return;
		}

		res.write(`id: ${id}\ndata: word\n\n`);
		await sleep(EVENT_INTERVAL_MS); // eslint-disable-line no-await-in-loop -- events follow each other
	}

	res.end();
}

/** Sends streams with a part at an even rate. */
async function sendPrompts({machines}, {endsAt, intervalMs, part, onAnswer}) {
	const streams = [];
	for (let count = 0; performance.now() < endsAt; count += 1) {
		streams.push((async () => {
			const answer = await call(machines[count % machines.length].front, {
				method: 'POST',
				target: '/stream-once/1',
				headers: {...keyHeaders(DEADLINE_MS), 'X-Token-Count': '560,30', 'X-Prompt-Prefix': `aa:60,${part},${randomBytes(4).toString('hex')}:100`},
				body: randomBytes(8).toString('hex'),
				timeoutMs: DEADLINE_MS + 1000,
			});
			record.note('stream', {
				part, request: answer.id, status: answer.status, whole: answer.isWhole,
			});
			onAnswer(answer);
		})());
		await sleep(intervalMs); // eslint-disable-line no-await-in-loop
	}

	await Promise.all(streams);
}

await runCase(record, async () => {
	const store = await Store.start();
	store.put('op', 'config', manifest(1));
	for (let count = 0; count < SERVER_COUNT; count += 1) {
		await startServer(store); // eslint-disable-line no-await-in-loop -- few
	}

	await Server.start(store, record, {id: 'desk-1', service: 'desk', slots: 6});
	const deployment = await Deployment.start(store, record, MACHINE_COUNT);
	const endsAt = performance.now() + LOAD_MS;
	let soundCount = 0;
	let cutCount = 0;
	await Promise.all([
		sendPrompts(deployment, {
			endsAt, intervalMs: SOUND_INTERVAL_MS, part: 'bb:400', onAnswer({status, isWhole}) {
				soundCount += 1;
				cutCount += status === 502 || (status === 200 && !isWhole) ? 1 : 0;
			},
		}),
		sendPrompts(deployment, {
			endsAt, intervalMs: DEADLY_INTERVAL_MS, part: DEADLY_PART, onAnswer: () => undefined,
		}),
	]);
	isOver = true;
	await deployment.stop();
	const knownFrom = (crashes[CRASHES_TO_KNOW - 1] ?? Number.POSITIVE_INFINITY) + bounds.contactMs;
	const late = deadlyArrivals.filter(at => at > knownFrom);
	const isBroken = late.length > ALLOWED_ARRIVALS;
	record.finish(`BUDGET ${isBroken ? 'broken' : 'held'}: ${late.length} requests with the part reached servers later than contactMs after the fifth of ${crashes.length} crashes; `
		+ `${cutCount} of ${soundCount} sound streams were broken off or lost`);
	return isBroken;
});
