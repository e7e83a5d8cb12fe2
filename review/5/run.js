/**
 * Case 5: an entry of another writer, with fields missing, brings work to a server that has left.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '../common/caller.js';
import {bounds, Deployment} from '../common/deployment.js';
import {answerAfter, runCase} from '../common/load.js';
import {keyHeaders, manifest} from '../common/manifest.js';
import {Record} from '../common/record.js';
import {Server} from '../common/server.js';
import {Store} from '../common/store.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const MACHINE_COUNT = 2;
const CALLERS_PER_MACHINE = 5;
const LOAD_MS = 22_000;
const HOLD_MS = 200;
const DEADLINE_MS = 1200;
/** When the server leaves; its entry is removed, as of servers that never report `draining`. */
const LEAVES_AFTER_MS = 3000;
/** Time from then until another writer writes an entry under the same key. */
const FOREIGN_ENTRY_AFTER_MS = 5000;
/** Time from then until the server's process ends. */
const EXITS_AFTER_MS = 10_000;

const record = new Record('review/5');

await runCase(record, async () => {
	const store = await Store.start();
	store.put('op', 'config', manifest(1));
	await Server.start(store, record, {id: 'engine-1', service: 'engine', slots: 5});
	const respond = answerAfter(HOLD_MS);
	const leaving = await Server.start(store, record, {
		id: 'desk-1', service: 'desk', slots: 6, respond,
	});
	await Server.start(store, record, {
		id: 'desk-2', service: 'desk', slots: 6, respond,
	});
	const deployment = await Deployment.start(store, record, MACHINE_COUNT);
	const endsAt = performance.now() + LOAD_MS;
	let lostCount = 0;
	const callers = deployment.machines.flatMap(machine => Array.from({length: CALLERS_PER_MACHINE}, async () => {
		while (performance.now() < endsAt) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			const {id, status, ms} = await call(machine.front, {
				method: 'POST', target: '/hold/1', headers: keyHeaders(DEADLINE_MS), body: 'hold', timeoutMs: DEADLINE_MS + 1000,
			});
			record.note('hold', {
				machine: machine.name, request: id, status, ms: Math.round(ms),
			});
			lostCount += status === 502 ? 1 : 0;
		}
	}));

	await sleep(LEAVES_AFTER_MS);
	store.drop('servers', leaving.id);
	const leftAt = performance.now();
	record.note('entry-removed', {server: leaving.id});
	const arrivals = [];
	leaving.respond = async (req, res) => {
		arrivals.push(performance.now() - leftAt);
		await respond(req, res);
	};

	await sleep(FOREIGN_ENTRY_AFTER_MS);
	if (HAS_TROUBLE) {
		store.put('servers', leaving.id, {
			service: leaving.service, address: leaving.address, zone: 'zone-a', slots: leaving.slots, state: 'ready',
		});
		record.note('entry-of-another-writer', {key: leaving.id, missing: 'version,coldLeftMs,sequence,born'});
	}

	await sleep(EXITS_AFTER_MS - FOREIGN_ENTRY_AFTER_MS);
	leaving.close();
	record.note('server-exits', {server: leaving.id});
	await Promise.all(callers);
	await deployment.stop();
	const late = arrivals.filter(ms => ms > bounds.drainMs);
	record.finish(`DRAIN ${late.length > 0 ? 'broken' : 'held'}: ${late.length} requests reached ${leaving.id} later than drainMs after its entry was removed; ${lostCount} holds got 502`);
	return late.length > 0;
});
