/**
 * `redwingspool serve`: runs the node process of an entry VM.
 */
import process from 'node:process';
import {defineCommand} from 'citty';
import {Log, LogPrefix} from '../base/log.js';
import {toArguments} from '../base/settings.js';
import {createNode} from '../serve/create-node.js';
import {nodeSettings} from '../serve/node-settings.js';
import {readSettingsOrExit, USAGE_EXIT_STATUS} from './read-settings-or-exit.js';
import {stopOnSignal} from './stop-on-signal.js';

/** The `serve` sub-command. */
export const serveCommand = defineCommand({
	meta: {name: 'serve', description: 'Run the node process of an entry VM; SIGTERM starts a graceful shutdown, which completes the requests in flight'},
	args: toArguments(nodeSettings),
	async run({args}) {
		const settings = readSettingsOrExit(nodeSettings, args);
		const log = Log.create(settings['log-level']);
		const created = createNode(settings, log, () => {
			process.kill(process.pid, 'SIGTERM');
		});
		if (created.isErr) {
			for (const problem of created.error) {
				console.error(problem);
			}

			process.exit(USAGE_EXIT_STATUS);
		}

		const {node, close} = created.value;
		stopOnSignal(async () => {
			await node.stop();
			await close();
		}, node.drainRequested);
		try {
			if (!await node.start()) {
				return;
			}
		} catch (error) {
			log.part(LogPrefix.Cli).error('The node cannot start.', {err: (error as Error).message});
			process.exit(1);
		}

		console.log(`listening on http${settings['tls-key-file'] === undefined ? '' : 's'}://${node.address}, peers on ${node.peerAddress}`);
	},
});
