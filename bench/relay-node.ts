/**
 * Relay benchmark: a node of this program as a process. Arguments: URLs of its engines.
 */
import process from 'node:process';
import {SystemClock} from '../src/base/clock.js';
import {Log} from '../src/base/log.js';
import {Deployment, digestKey} from '../src/config/deployment.js';
import {subtreeSchema} from '../src/config/schema.js';
import {Node} from '../src/serve/node.js';
import {MemoryTable} from '../src/store/memory-table.js';
import {announceServer} from './relay-child.js';

const location = {region: 'local', dataCentre: 'local-1'};
const tiers = [{name: 'advice', deadlineMs: 60_000}];

async function main(): Promise<void> {
	const node = Node.create({
		clock: SystemClock.create(),
		log: Log.create('error'),
		platform: {table: MemoryTable.create()},
		host: '127.0.0.1',
		port: 0,
		...location,
		throwOnViolation: false,
	});
	const upstreams: Array<[string, unknown]> = process.argv.slice(2).map((url, index) => [`engine-${index}`, {
		service: 'advice', url, canResume: true, maxConcurrency: 10_000, ...location,
	}]);
	node.settings.apply(Deployment.create(new Map([['team', subtreeSchema.parse({
		services: {
			advice: {
				kind: 'model', models: ['crew-advice'], tiers, defaultTier: 'advice',
			},
		},
		customers: {guest: {keyDigests: [digestKey('bench-key')]}},
		upstreams: Object.fromEntries(upstreams),
	})]])));
	await node.start();
	announceServer(`http://${node.address}`);
}

// eslint-disable-next-line unicorn/prefer-top-level-await -- the bundle is CommonJS
void main();
