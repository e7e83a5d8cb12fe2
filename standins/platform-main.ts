/**
 * Runs the platform stand-in as a process and prints its URL: `node --import tsx standins/platform-main.ts --port N`.
 */
import {parseArgs} from 'node:util';
import {PlatformStandIn} from './platform.js';

const {values} = parseArgs({options: {port: {type: 'string', default: '0'}}});
const platform = await PlatformStandIn.start(Number(values.port));
console.log(platform.url);
