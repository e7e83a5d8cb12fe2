/**
 * Process settings of an entry VM.
 */
import {z} from 'zod';
import {LogLevel} from '../base/log.js';
import {type SettingDefinitions, type SettingValues} from '../base/settings.js';
import {operatorSettings} from '../entry/operator-settings.js';

const namePattern = /^[a-z\d][a-z\d\-]{0,62}$/v;
const addressPattern = /^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v;
const maxPort = 65_535;
const maxDurationMs = 3_600_000;

const portSchema = z.string().default('0')
	.refine(text => /^\d{1,5}$/v.test(text) && Number(text) <= maxPort, `expected a port from 0 to ${maxPort}`)
	.transform(Number);

const nameSchema = z.string('expected a name').regex(namePattern, 'expected lower-case letters, digits and hyphens');

const fileSchema = z.string().min(1, 'expected a path').optional();

const addressListSchema = z.string().default('')
	.transform(text => text.split(',').filter(part => part !== ''))
	.refine(list => list.every(address => addressPattern.test(address)), 'expected IP:PORT, separated by commas');

/** @returns A schema that parses a duration in ms from text. */
function durationSchema(defaultMs: number) {
	return z.string().default(String(defaultMs))
		.refine(text => /^\d{1,7}$/v.test(text) && Number(text) <= maxDurationMs, `expected ms from 0 to ${maxDurationMs}`)
		.transform(Number);
}

/** Settings shared by the `serve` and `dev` commands. */
export const commonSettings = {
	host: {
		description: 'IP address to listen on', schema: z.ipv4('expected an IPv4 number').default('127.0.0.1'), valueHint: 'IP',
	},
	port: {
		description: 'Port for callers; 0 selects a free port', schema: portSchema, valueHint: 'PORT',
	},
	'log-level': {
		description: 'Minimum level of log messages to write',
		schema: z.enum([...Object.values(LogLevel), 'silent'], `expected one of ${Object.values(LogLevel).join(', ')}, silent`).default('info'),
		valueHint: 'LEVEL',
	},
} as const satisfies SettingDefinitions;

/** Addresses and credentials of the platform's services. */
const platformSettings = {
	'table-url': {description: 'URL of the table service (DynamoDB protocol)', schema: z.url('expected a URL'), valueHint: 'URL'},
	'table-name': {description: 'Name of the table', schema: z.string().min(1).default('redwingspool'), valueHint: 'NAME'},
	'objects-url': {description: 'URL of the object store (S3 protocol)', schema: z.url('expected a URL'), valueHint: 'URL'},
	bucket: {description: 'Bucket of the object store', schema: z.string().min(1).default('redwingspool'), valueHint: 'NAME'},
	'vm-list-url': {description: 'URL of the VM list', schema: z.url('expected a URL'), valueHint: 'URL'},
	'store-region': {description: 'Region name to use in the store\'s protocols', schema: z.string().min(1).default('local'), valueHint: 'NAME'},
	'store-access-key': {description: 'Access key of the store', schema: z.string().min(1).default('redwingspool'), valueHint: 'KEY'},
	'store-secret-file': {description: 'File with the secret key of the store', schema: fileSchema, valueHint: 'FILE'},
} as const satisfies SettingDefinitions;

/** Settings for communication with other nodes. */
const peerSettings = {
	'peer-port': {description: 'Port for peers; 0 selects a free port', schema: portSchema, valueHint: 'PORT'},
	'peer-key-file': {
		description: 'File with the shared key of all nodes, at least 16 bytes', schema: z.string('expected a path').min(1, 'expected a path'), valueHint: 'FILE',
	},
	peers: {description: 'Initial peer addresses, in addition to the VM list', schema: addressListSchema, valueHint: 'IP:PORT,…'},
	'peer-tls-key-file': {description: 'Private key for mutual TLS between nodes', schema: fileSchema, valueHint: 'FILE'},
	'peer-tls-cert-file': {description: 'Certificate for mutual TLS between nodes', schema: fileSchema, valueHint: 'FILE'},
	'peer-tls-ca-file': {description: 'CA certificate that signs the certificates of all nodes', schema: fileSchema, valueHint: 'FILE'},
} as const satisfies SettingDefinitions;

/** Settings of the `serve` command. */
export const nodeSettings = {
	...commonSettings,
	'vm-id': {description: 'Unique identity of this VM, never reused for another VM', schema: nameSchema, valueHint: 'NAME'},
	region: {description: 'Region of this VM', schema: nameSchema, valueHint: 'NAME'},
	'data-centre': {description: 'Data centre of this VM', schema: nameSchema, valueHint: 'NAME'},
	...platformSettings,
	...peerSettings,
	'tls-key-file': {description: 'Private key for TLS towards callers', schema: fileSchema, valueHint: 'FILE'},
	'tls-cert-file': {description: 'Certificate for TLS towards callers', schema: fileSchema, valueHint: 'FILE'},
	'leave-ms': {
		description: 'How long a stopping node still accepts new work; twice the time that callers cache an address', schema: durationSchema(20_000), valueHint: 'MS',
	},
	'drain-ms': {description: 'Maximum time to wait for requests in flight during a planned stop', schema: durationSchema(300_000), valueHint: 'MS'},
	'trace-url': {description: 'URL for exporting traces (OTLP over HTTP); none if absent', schema: z.url('expected a URL').optional(), valueHint: 'URL'},
	'trace-ratio': {
		description: 'Fraction of requests to trace, from 0 to 1',
		schema: z.string().default('0.01').transform(Number).refine(ratio => ratio >= 0 && ratio <= 1, 'expected a number from 0 to 1'),
		valueHint: 'RATIO',
	},
	...operatorSettings,
} as const satisfies SettingDefinitions;

export type NodeSettings = SettingValues<typeof nodeSettings>;
