/**
 * Case 5: a server whose stream never ends, in chunks of one byte, stops the event loop of a machine for seconds.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Deployment} from '../common/deployment.js';
import {
	answerAfter, answerWithoutEnd, lookOnKeptChannel, runCase, sendStreams,
} from '../common/load.js';
import {manifest} from '../common/manifest.js';
import {Record} from '../common/record.js';
import {Server} from '../common/server.js';
import {Store} from '../common/store.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const MACHINE_COUNT = 2;
const KEPT_CHANNELS_PER_MACHINE = 5;
const LOAD_MS = 45_000;
const TROUBLE_AFTER_MS = 2000;
const STREAM_INTERVAL_MS = 150;
const LOOK_MS = 300;
/** Time limit of requesters, above the route's `timeoutMs`. */
const LOOK_DEADLINE_MS = 5000;
const ROUTE_TIMEOUT_MS = 1200;
/** How long after `timeoutMs` the rule allows an answer. */
const ANSWER_MARGIN_MS = 500;
/** CONFIG counts from that many requests on. */
const MIN_UNANSWERED = 8;

const record = new Record('review/5/record.txt');

await runCase(record, async () => {
	const store = await Store.start();
	store.put('op', 'config', manifest(1, {look: {timeoutMs: ROUTE_TIMEOUT_MS}}));
	const faulty = [];
	for (const id of ['engine-1', 'engine-2']) {
		faulty.push(await Server.start(store, record, {id, service: 'engine', slots: 5})); // eslint-disable-line no-await-in-loop -- few
	}

	await Server.start(store, record, {id: 'engine-3', service: 'engine', slots: 5});
	for (const id of ['desk-1', 'desk-2']) {
		// eslint-disable-next-line no-await-in-loop -- few
		await Server.start(store, record, {
			id, service: 'desk', slots: 6, respond: answerAfter(LOOK_MS),
		});
	}

	const deployment = await Deployment.start(store, record, MACHINE_COUNT);
	const endsAt = performance.now() + LOAD_MS;
	const durationsMs = [];
	const load = [
		sendStreams({
			record, deployment, endsAt, intervalMs: STREAM_INTERVAL_MS,
		}),
		...deployment.machines.flatMap(machine => Array.from({length: KEPT_CHANNELS_PER_MACHINE}, async () => lookOnKeptChannel({
			record, machine, endsAt, deadlineMs: LOOK_DEADLINE_MS, onAnswer({ms}) {
				durationsMs.push(ms);
			},
		}))),
	];
	await sleep(TROUBLE_AFTER_MS);
	if (HAS_TROUBLE) {
		for (const server of faulty) {
			record.note('trouble-begins', {server: server.id});
			server.respond = answerWithoutEnd('200 OK');
		}
	}

	await Promise.all(load);
	await deployment.stop();
	const unanswered = durationsMs.filter(ms => ms > ROUTE_TIMEOUT_MS);
	const late = unanswered.filter(ms => ms > ROUTE_TIMEOUT_MS + ANSWER_MARGIN_MS);
	const isBroken = late.length >= MIN_UNANSWERED && late.length > unanswered.length / 2;
	record.finish(`CONFIG ${isBroken ? 'broken' : 'held'}: of ${durationsMs.length} lookups, ${unanswered.length} were unanswered at the route's timeoutMs, `
		+ `${late.length} of them also half a second later; the longest took ${Math.round(Math.max(...durationsMs))} ms`);
	return isBroken;
});
