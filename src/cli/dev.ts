/**
 * `redwingspool dev`: runs a node with in-memory stores and stand-in upstreams in one process, for evaluation.
 */
import process from 'node:process';
import {defineCommand} from 'citty';
import {BookingStandIn} from '../../standins/booking.js';
import {EngineStandIn} from '../../standins/engine.js';
import {SystemClock} from '../base/clock.js';
import {Log, LogPrefix} from '../base/log.js';
import {toArguments} from '../base/settings.js';
import {digestKey} from '../config/deployment.js';
import {SettingsTree} from '../config/settings-tree.js';
import {Node} from '../serve/node.js';
import {commonSettings} from '../serve/node-settings.js';
import {waitUntil} from '../serve/wait-until.js';
import {MemoryObjectStore, MemoryTable} from '../store/memory-table.js';
import {readSettingsOrExit} from './read-settings-or-exit.js';
import {stopOnSignal} from './stop-on-signal.js';

/** API key of the customer `guest`. */
export const DEV_API_KEY = 'dev-key';

/** Operator key of the team `dev`. */
const DEV_OPERATOR_KEY = 'dev-operator-key';
/** Bootstrap key, which `drain` requires. */
const DEV_BOOTSTRAP_KEY = 'dev-bootstrap-key';
const DEV_TEAM = 'dev';

const READY_TIMEOUT_MS = 5000;
const TOKEN_INTERVAL_MS = 20;
const DEFAULT_TOKENS = 24;

/** @returns The settings of the team `dev`. */
function createDevSubtree(engines: readonly EngineStandIn[], booking: BookingStandIn): Record<string, unknown> {
	const tiers = [{name: 'advice', deadlineMs: 5000}, {name: 'summary', deadlineMs: 60_000}];
	const location = {region: 'local', dataCentre: 'local-1'};
	return {
		services: {
			advice: {
				kind: 'model', models: ['crew-advice'], tiers, defaultTier: 'advice',
			},
			booking: {
				kind: 'plain', tiers, defaultTier: 'advice', operations: [{method: 'POST', path: '/holds', idempotent: false}],
			},
		},
		customers: {guest: {keyDigests: [digestKey(DEV_API_KEY)]}},
		operators: {dev: {keyDigests: [digestKey(DEV_OPERATOR_KEY)]}},
		upstreams: {
			...Object.fromEntries(engines.map((engine, index) => [`engine-${index + 1}`, {
				service: 'advice', url: engine.url, canResume: true, checksFencing: true, ...location,
			}])),
			'booking-1': {service: 'booking', url: booking.url, ...location},
		},
	};
}

/** The `dev` sub-command. */
export const devCommand = defineCommand({
	meta: {name: 'dev', description: 'Run a node with embedded stand-in upstreams, for evaluation'},
	args: toArguments(commonSettings),
	async run({args}) {
		const settings = readSettingsOrExit(commonSettings, args);
		const log = Log.create(settings['log-level']);
		const engineOptions = {tokenIntervalMs: TOKEN_INTERVAL_MS, defaultTokens: DEFAULT_TOKENS};
		const engines = [await EngineStandIn.start(engineOptions), await EngineStandIn.start(engineOptions)];
		const booking = await BookingStandIn.start();
		const clock = SystemClock.create();
		const platform = {table: MemoryTable.create(), objects: MemoryObjectStore.create()};
		await SettingsTree.create({...platform, clock}).commit({
			team: DEV_TEAM, fromVersion: 0, author: 'dev', body: JSON.stringify(createDevSubtree(engines, booking)),
		});
		const node = Node.create({
			clock,
			log,
			platform,
			host: settings.host,
			port: settings.port,
			region: 'local',
			dataCentre: 'local-1',
			bootstrapDigest: digestKey(DEV_BOOTSTRAP_KEY),
			throwOnViolation: false,
		});
		await node.start();
		// Waits for the settings, so that callers that connect immediately are not rejected as not ready.
		await waitUntil(clock, () => node.settings.isLoaded, READY_TIMEOUT_MS);
		console.log(`listening on http://${node.address}`);
		console.log(`try: curl -N http://${node.address}/v1/chat/completions -H 'Authorization: Bearer ${DEV_API_KEY}' -H 'Content-Type: application/json' -d '{"model":"crew-advice","stream":true,"messages":[{"role":"user","content":"Is the north pond safe today?"}]}'`);
		const environment = [
			`REDWINGSPOOL_ADDRESS=${node.address}`,
			`REDWINGSPOOL_TEAM=${DEV_TEAM}`,
			`REDWINGSPOOL_OPERATOR_KEY=${DEV_OPERATOR_KEY}`,
			`REDWINGSPOOL_BOOTSTRAP_KEY=${DEV_BOOTSTRAP_KEY}`,
		];
		console.log(`operators: export ${environment.join(' ')}; redwingspool status`);
		stopOnSignal(async () => {
			await node.stop();
			await Promise.all([...engines, booking].map(async standIn => standIn.stop()));
		}, {
			log: log.part(LogPrefix.Cli),
			async exit(status) {
				process.exit(status);
			},
			stopRequest: node.drainRequested,
		});
	},
});
