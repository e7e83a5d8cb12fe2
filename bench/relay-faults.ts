/**
 * Prints the results of `measureUpstreamFaults` as a JSON object: `node --import tsx bench/relay-faults.ts`.
 */
import process from 'node:process';
import {measureUpstreamFaults} from './upstream-faults.js';

console.log(JSON.stringify(await measureUpstreamFaults(), undefined, 1));
process.exit(0);
