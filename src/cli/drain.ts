/**
 * `redwingspool drain`: starts the graceful shutdown of a node.
 */
import {defineCommand} from 'citty';
import {z} from 'zod';
import {toArguments} from '../base/settings.js';
import {bootstrapSettings, callApi} from './config-client.js';
import {EXIT_STATUS_HELP, unwrapOrExit} from './config-exit.js';
import {readSettingsOrExit} from './read-settings-or-exit.js';

const drainSchema = z.object({id: z.string(), inFlight: z.number()});

/** The `drain` sub-command. */
export const drainCommand = defineCommand({
	meta: {name: 'drain', description: `Start a graceful shutdown of the node at --address; requests in flight are completed first. ${EXIT_STATUS_HELP}`},
	args: {...toArguments(bootstrapSettings), json: {type: 'boolean', description: 'Print JSON', default: false}},
	async run({args}) {
		const options = readSettingsOrExit(bootstrapSettings, args);
		const response = unwrapOrExit(await callApi({address: options.address, key: options['bootstrap-key']}, {method: 'POST', path: '/v1/drain'}, drainSchema), args.json);
		console.log(args.json ? JSON.stringify(response) : `node ${response.id} stops; ${response.inFlight} requests are in flight`);
	},
});
