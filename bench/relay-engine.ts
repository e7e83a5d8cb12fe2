/**
 * Relay benchmark: a stand-in engine as a process. Arguments: ms between tokens, tokens per response, port (any by default).
 */
import process from 'node:process';
import {EngineStandIn} from '../standins/engine.js';
import {announceServer} from './relay-child.js';

async function main(): Promise<void> {
	const [tokenIntervalMs, defaultTokens, port] = process.argv.slice(2).map(Number) as [number, number, number?];
	const engine = await EngineStandIn.start({tokenIntervalMs, defaultTokens, port});
	announceServer(engine.url);
}

// eslint-disable-next-line unicorn/prefer-top-level-await -- the bundle is CommonJS
void main();
