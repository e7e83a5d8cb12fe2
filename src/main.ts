/**
 * Entry point of the `redwingspool` executable.
 */
import process from 'node:process';
import {defineCommand} from 'citty';
import packageInfo from '../package.json' with {type: 'json'};
import {runProgram} from './cli/run-program.js';

// Commands are imported on demand, so that operators' commands do not load the HTTP server.
const mainCommand = defineCommand({
	meta: {name: 'redwingspool', version: packageInfo.version, description: packageInfo.description},
	subCommands: {
		async serve() {
			const {serveCommand} = await import('./cli/serve.js');
			return serveCommand;
		},
		async dev() {
			const {devCommand} = await import('./cli/dev.js');
			return devCommand;
		},
		async config() {
			const {configCommand} = await import('./cli/config.js');
			return configCommand;
		},
		async keys() {
			const {keysCommand} = await import('./cli/keys.js');
			return keysCommand;
		},
		async load() {
			const {loadCommand} = await import('./cli/load.js');
			return loadCommand;
		},
		async status() {
			const {statusCommand} = await import('./cli/status.js');
			return statusCommand;
		},
		async explain() {
			const {explainCommand} = await import('./cli/explain.js');
			return explainCommand;
		},
		async drain() {
			const {drainCommand} = await import('./cli/drain.js');
			return drainCommand;
		},
	},
});

// The single-executable bundle is CommonJS, which does not support top-level await.
void runProgram(mainCommand, process.argv.slice(2)); // eslint-disable-line @typescript-eslint/no-floating-promises -- commands report their errors
