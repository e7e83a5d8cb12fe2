/**
 * Entry of the binary.
 */
import process from 'node:process';
import {defineCommand} from 'citty';
import packageInfo from '../package.json' with {type: 'json'};
import {runProgram} from './cli/run-program.js';

// Each command loads only what it needs: an operator's command needs no HTTP server.
const mainCommand = defineCommand({
	meta: {name: 'redwingspool', version: packageInfo.version, description: packageInfo.description},
	subCommands: {
		serve: async () => import('./cli/serve.js').then(module => module.serveCommand),
		dev: async () => import('./cli/dev.js').then(module => module.devCommand),
		config: async () => import('./cli/config.js').then(module => module.configCommand),
		keys: async () => import('./cli/keys.js').then(module => module.keysCommand),
		load: async () => import('./cli/load.js').then(module => module.loadCommand),
		status: async () => import('./cli/status.js').then(module => module.statusCommand),
		drain: async () => import('./cli/drain.js').then(module => module.drainCommand),
	},
});

// The one-binary bundle is CommonJS, which has no top-level await.
void runProgram(mainCommand, process.argv.slice(2));
