/**
 * Settings of an entry VM's process.
 */
import {z} from 'zod';
import {LogLevel} from '../base/log.js';
import {type SettingDefinitions, type SettingValues} from '../base/settings.js';

const namePattern = /^[a-z\d][a-z\d\-]{0,62}$/v;
const maxPort = 65_535;

const portSchema = z.string().default('0')
	.refine(text => /^\d{1,5}$/v.test(text) && Number(text) <= maxPort, `expected a port from 0 to ${maxPort}`)
	.transform(Number);

const nameSchema = z.string('expected a name').regex(namePattern, 'expected lower-case letters, digits and hyphens');

/** Settings that `serve` and `dev` share. */
export const commonSettings = {
	host: {
		description: 'IP number to listen on', schema: z.ipv4('expected an IPv4 number').default('127.0.0.1'), valueHint: 'IP',
	},
	port: {
		description: 'Port for callers; 0 lets the operating system choose', schema: portSchema, valueHint: 'PORT',
	},
	'log-level': {
		description: 'Least severe log level that is written',
		schema: z.enum([...Object.values(LogLevel), 'silent'], `expected one of ${Object.values(LogLevel).join(', ')}, silent`).default('info'),
		valueHint: 'LEVEL',
	},
} as const satisfies SettingDefinitions;

/** Settings of `serve`. */
export const nodeSettings = {
	...commonSettings,
	region: {description: 'Region of this VM', schema: nameSchema, valueHint: 'NAME'},
	'data-centre': {description: 'Data centre of this VM', schema: nameSchema, valueHint: 'NAME'},
} as const satisfies SettingDefinitions;

export type NodeSettings = SettingValues<typeof nodeSettings>;
