/**
 * Runs a stand-in for each upstream of a settings file, on the port of the upstream's URL:
 * `node --import tsx standins/upstreams-main.ts examples/skimmers/settings.yaml`.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parse} from 'yaml';
import {checkSubtree} from '../src/config/check-subtree.js';
import {BookingStandIn} from './booking.js';
import {EngineStandIn} from './engine.js';

const TOKEN_INTERVAL_MS = 20;
const DEFAULT_TOKENS = 24;

const checked = checkSubtree(parse(readFileSync(process.argv[2]!, 'utf8')));
if (checked.isErr) {
	console.error(checked.error);
	process.exit(1);
}

const {services, upstreams} = checked.value;
const starts = Object.values(upstreams).map(async ({service, url}) => {
	const port = Number(new URL(url).port);
	return services[service]!.kind === 'model'
		? EngineStandIn.start({tokenIntervalMs: TOKEN_INTERVAL_MS, defaultTokens: DEFAULT_TOKENS, port})
		: BookingStandIn.start(port);
});
await Promise.all(starts);
console.log(`${starts.length} upstreams are running`);
