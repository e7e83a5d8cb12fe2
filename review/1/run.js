/**
 * Case 1: a server whose answer never ends, in chunks of one byte, makes the process of a machine run out of memory.
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
const LOAD_MS = 60_000;
const TROUBLE_AFTER_MS = 2000;
const STREAM_INTERVAL_MS = 300;
const LOOK_MS = 300;
const LOOK_DEADLINE_MS = 5000;
/** LOST allows that many kept channels closed without an answer. */
const ALLOWED_LOSSES = 3;

const record = new Record('review/1/record.txt');

await runCase(record, async () => {
	const store = await Store.start();
	store.put('op', 'config', manifest(1, {look: {timeoutMs: LOOK_DEADLINE_MS, targetLatencyMs: 1000}}));
	const faulty = await Server.start(store, record, {id: 'engine-1', service: 'engine', slots: 5});
	await Server.start(store, record, {id: 'engine-2', service: 'engine', slots: 5});
	for (const id of ['desk-1', 'desk-2']) {
		// eslint-disable-next-line no-await-in-loop -- few
		await Server.start(store, record, {
			id, service: 'desk', slots: 6, respond: answerAfter(LOOK_MS),
		});
	}

	const deployment = await Deployment.start(store, record, MACHINE_COUNT);
	const endsAt = performance.now() + LOAD_MS;
	let lossCount = 0;
	/** Lookups go to sound servers only. */
	const onAnswer = ({id, status, isSilent}) => {
		if (status === 0 && !isSilent && record.lines.some(line => line.includes(' runs ') && line.includes(id))) {
			lossCount += 1;
		}
	};

	const load = [
		sendStreams({
			record, deployment, endsAt, intervalMs: STREAM_INTERVAL_MS,
		}),
		...deployment.machines.flatMap(machine => Array.from({length: KEPT_CHANNELS_PER_MACHINE}, async () => lookOnKeptChannel({
			record, machine, endsAt, deadlineMs: LOOK_DEADLINE_MS, onAnswer,
		}))),
	];
	await sleep(TROUBLE_AFTER_MS);
	if (HAS_TROUBLE) {
		record.note('trouble-begins', {server: faulty.id});
		faulty.respond = answerWithoutEnd('500 Internal Server Error');
	}

	await Promise.all(load);
	const endCount = deployment.machines.reduce((sum, machine) => sum + machine.endCount, 0);
	await deployment.stop();
	const isBroken = lossCount > ALLOWED_LOSSES;
	record.finish(`LOST ${isBroken ? 'broken' : 'held'}: ${lossCount} lookups on kept channels were passed on to a sound server, and the channel closed without an answer; `
		+ `processes ended by themselves ${endCount} times`);
	return isBroken;
});
