/**
 * `redwingspool drain`: the planned stop of one node.
 */
import {defineCommand} from 'citty';
import {z} from 'zod';
import {toArguments} from '../base/settings.js';
import {bootstrapSettings, callPath} from './config-client.js';
import {EXIT_STATUS_HELP, unwrapOrExit} from './config-exit.js';
import {readSettingsOrExit} from './read-settings-or-exit.js';

const drainSchema = z.object({id: z.string(), inFlight: z.number()});

/** The `drain` sub-command. */
export const drainCommand = defineCommand({
	meta: {name: 'drain', description: `Start the planned stop of the node at --address; it ends its requests in flight first. ${EXIT_STATUS_HELP}`},
	args: {...toArguments(bootstrapSettings), json: {type: 'boolean', description: 'Print JSON', default: false}},
	async run({args}) {
		const options = readSettingsOrExit(bootstrapSettings, args);
		const answer = unwrapOrExit(await callPath({address: options.address, key: options['bootstrap-key']}, {method: 'POST', path: '/v1/drain'}, drainSchema), args.json);
		console.log(args.json ? JSON.stringify(answer) : `node ${answer.id} stops; ${answer.inFlight} requests are in flight`);
	},
});
