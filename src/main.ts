/**
 * Entry of the binary.
 */
import process from 'node:process';
import {defineCommand} from 'citty';
import packageInfo from '../package.json' with {type: 'json'};
import {configCommand} from './cli/config.js';
import {devCommand} from './cli/dev.js';
import {drainCommand} from './cli/drain.js';
import {keysCommand} from './cli/keys.js';
import {loadCommand} from './cli/load.js';
import {runProgram} from './cli/run-program.js';
import {serveCommand} from './cli/serve.js';
import {statusCommand} from './cli/status.js';

const mainCommand = defineCommand({
	meta: {name: 'redwingspool', version: packageInfo.version, description: packageInfo.description},
	subCommands: {
		serve: serveCommand,
		dev: devCommand,
		config: configCommand,
		keys: keysCommand,
		load: loadCommand,
		status: statusCommand,
		drain: drainCommand,
	},
});

// The one-binary bundle is CommonJS, which has no top-level await.
void runProgram(mainCommand, process.argv.slice(2));
