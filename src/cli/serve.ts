/**
 * `redwingspool serve`: runs the node process of an entry VM.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {defineCommand} from 'citty';
import {BoundedOutput} from '../base/bounded-output.js';
import {Log, LogPrefix} from '../base/log.js';
import {toArguments} from '../base/settings.js';
import {errorFields} from '../base/error-fields.js';
import {logUnhandledErrors} from '../base/unhandled-errors.js';
import {createNode} from '../serve/create-node.js';
import {nodeSettings} from '../serve/node-settings.js';
import {readSettingsOrExit, USAGE_EXIT_STATUS} from './read-settings-or-exit.js';
import {stopOnSignal} from './stop-on-signal.js';

/** File descriptor of standard error. */
const STANDARD_ERROR = 2;
/** Maximum time to wait for the last log lines to be written, in ms. */
const MAX_EXIT_DELAY_MS = 1000;

/** The `serve` sub-command. */
export const serveCommand = defineCommand({
	meta: {name: 'serve', description: 'Run the node process of an entry VM; SIGTERM starts a graceful shutdown, which completes the requests in flight'},
	args: toArguments(nodeSettings),
	async run({args}) {
		const settings = readSettingsOrExit(nodeSettings, args);
		// Standard error itself ends the process once its reader is gone, and blocks it while the reader does not read.
		const output = BoundedOutput.create(STANDARD_ERROR);
		const log = Log.create(settings['log-level'], output);
		const cliLog = log.part(LogPrefix.Cli);
		const exit = async (status: number) => {
			await Promise.race([output.drain(), sleep(MAX_EXIT_DELAY_MS)]);
			process.exit(status);
		};

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
		logUnhandledErrors(log, () => {
			node.metrics.countUnhandledError();
		});
		stopOnSignal(async () => {
			await node.stop();
			await close();
		}, {log: cliLog, exit, stopRequest: node.drainRequested});
		try {
			if (!await node.start()) {
				return;
			}
		} catch (error) {
			cliLog.error('The node cannot start.', errorFields(error));
			await exit(1);
			return;
		}

		console.log(`listening on http${settings['tls-key-file'] === undefined ? '' : 's'}://${node.address}, peers on ${node.peerAddress}`);
	},
});
