/**
 * `redwingspool status`: prints the status of a node, as tables or JSON.
 */
import {defineCommand} from 'citty';
import Table from 'cli-table3';
import {z} from 'zod';
import {toArguments} from '../base/settings.js';
import {callApi, clientSettings} from './config-client.js';
import {EXIT_STATUS_HELP, unwrapOrExit} from './config-exit.js';
import {readSettingsOrExit} from './read-settings-or-exit.js';

const {address, 'operator-key': operatorKey} = clientSettings;
const statusSettings = {address, 'operator-key': operatorKey} as const;

const statusSchema = z.object({
	team: z.string(),
	node: z.object({
		id: z.string(), region: z.string(), dataCentre: z.string(), isReady: z.boolean(), isDraining: z.boolean(),
	}),
	members: z.array(z.object({
		id: z.string(), region: z.string(), dataCentre: z.string(), state: z.string(), incarnation: z.number(), load: z.number(),
	})),
	upstreams: z.array(z.object({
		id: z.string(), service: z.string(), region: z.string(), state: z.string(), slots: z.number(), inFlight: z.number(),
	})),
	tiers: z.array(z.object({
		service: z.string(), tier: z.number(), waiting: z.number(), inTime: z.number(), late: z.number(), failed: z.number(), refused: z.number(),
	})),
	settings: z.object({
		source: z.string(),
		mayBeOld: z.boolean(),
		version: z.number(),
		regions: z.array(z.object({
			region: z.string(), inForce: z.boolean(), nodes: z.number(), nodesInForce: z.number(),
		})),
	}),
	store: z.object({isAnswering: z.boolean(), readAgeMs: z.number().optional()}),
	promises: z.array(z.object({promise: z.string(), evaluated: z.number(), violated: z.number()})),
});

type Status = z.infer<typeof statusSchema>;

/** @returns The status as text with tables. */
export function describeStatus(status: Status): string {
	const {node, settings, store} = status;
	const state = node.isDraining ? 'draining' : (node.isReady ? 'ready' : 'not ready');
	const age = store.readAgeMs === undefined ? 'never read' : `settings read ${(store.readAgeMs / 1000).toFixed(1)} s ago`;
	return [
		`node ${node.id} in ${node.region} (${node.dataCentre}): ${state}`,
		`store: ${store.isAnswering ? 'answers' : 'does not answer'}, ${age}`,
		`settings of ${status.team}: version ${settings.version}${settings.mayBeOld ? ', may be old' : ''}`,
		formatTable(['member', 'region', 'state', 'incarnation', 'load %'], status.members.map(member => [member.id, member.region, member.state, member.incarnation, member.load])),
		formatTable(['upstream', 'service', 'region', 'state', 'slots', 'in flight'], status.upstreams.map(upstream =>
			[upstream.id, upstream.service, upstream.region, upstream.state, upstream.slots, upstream.inFlight])),
		formatTable(['service', 'tier', 'waiting', 'in time', 'late', 'failed', 'refused'], status.tiers.map(tier =>
			[tier.service, tier.tier, tier.waiting, tier.inTime, tier.late, tier.failed, tier.refused])),
		formatTable(['region', 'settings in force', 'nodes'], settings.regions.map(region =>
			[region.region, region.inForce ? 'yes' : 'not on every node', `${region.nodesInForce} of ${region.nodes}`])),
		formatTable(['promise', 'evaluated', 'violated'], status.promises.map(({promise, evaluated, violated}) => [promise, evaluated, violated])),
	].filter(Boolean).join('\n');
}

function formatTable(head: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	if (rows.length === 0) {
		return '';
	}

	const cells = new Table({head: [...head], style: {head: [], border: [], compact: true}});
	cells.push(...rows.map(row => [...row]));
	return cells.toString();
}

/** The `status` sub-command. */
export const statusCommand = defineCommand({
	meta: {name: 'status', description: `Show members, upstreams, queues, settings and promises as one node sees them. ${EXIT_STATUS_HELP}`},
	args: {...toArguments(statusSettings), json: {type: 'boolean', description: 'Print JSON', default: false}},
	async run({args}) {
		const options = readSettingsOrExit(statusSettings, args);
		const status = unwrapOrExit(await callApi({address: options.address, key: options['operator-key']}, {method: 'GET', path: '/v1/status'}, statusSchema), args.json);
		console.log(args.json ? JSON.stringify(status) : describeStatus(status));
	},
});
