/**
 * Creates a node from its process settings.
 */
import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {createSecureContext, type SecureContextOptions} from 'node:tls';
import Result, {ok} from 'true-myth/result';
import {SystemClock} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {Tracing} from '../base/trace.js';
import {type TlsFiles} from '../entry/tls.js';
import {type PeerTls} from '../peer/connect-transport.js';
import {DynamoTable} from '../store/dynamo-table.js';
import {CircuitBreakerTable} from '../store/circuit-breaker-table.js';
import {HttpVmList} from '../store/http-vm-list.js';
import {S3ObjectStore} from '../store/s3-object-store.js';
import {type NodeSettings} from './node-settings.js';
import {Node} from './node.js';

const STORE_CONNECT_TIMEOUT_MS = 500;
const STORE_REQUEST_TIMEOUT_MS = 1500;
const MAX_STORE_CONNECTIONS = 32;
const MIN_PEER_KEY_BYTES = 16;

/** A node and the function that releases its external resources. */
export type CreatedNode = {
	readonly node: Node;
	/** Closes the connections to the platform and exports the remaining traces. Must be called after the node has stopped. */
	readonly close: () => Promise<void>;
};

/** Contents of the files named in the settings. */
type NodeFiles = {
	readonly storeSecret: string;
	readonly peerKey: Uint8Array;
	readonly peerTls: PeerTls | undefined;
	readonly callerTls: TlsFiles | undefined;
};

/**
 * @param onSuperseded - Called when a newer process uses this VM's identity.
 * @returns The node, or each problem with the files named in the settings.
 */
export function createNode(settings: NodeSettings, log: Log, onSuperseded: () => void): Result<CreatedNode, readonly string[]> {
	return readFiles(settings).map(files => buildNode(settings, files, log, onSuperseded));
}

function readFiles(settings: NodeSettings): Result<NodeFiles, readonly string[]> {
	const problems: string[] = [];
	const attempt = <Value>(read: () => Value): Value | undefined => {
		try {
			return read();
		} catch (error) {
			problems.push((error as Error).message);
			return undefined;
		}
	};

	const storeSecret = attempt(() => readStoreSecret(settings['store-secret-file']));
	const peerKey = attempt(() => readPeerKey(settings['peer-key-file']));
	const peerTls = attempt(() => readPeerTls(settings));
	const callerTls = attempt(() => readCallerTls(settings));
	return storeSecret === undefined || peerKey === undefined || problems.length > 0
		? Result.err(problems)
		: ok({
			storeSecret, peerKey, peerTls, callerTls,
		});
}

function buildNode(settings: NodeSettings, files: NodeFiles, log: Log, onSuperseded: () => void): CreatedNode {
	const clock = SystemClock.create();
	const store = readStoreOptions(settings, files.storeSecret);
	const table = DynamoTable.create({...store, endpoint: settings['table-url'], tableName: settings['table-name']});
	const objects = S3ObjectStore.create({...store, endpoint: settings['objects-url'], bucket: settings.bucket});
	const vmList = HttpVmList.create({
		url: settings['vm-list-url'], connectTimeoutMs: STORE_CONNECT_TIMEOUT_MS, requestTimeoutMs: STORE_REQUEST_TIMEOUT_MS,
	});
	const traceUrl = settings['trace-url'];
	const tracing = traceUrl === undefined ? undefined : Tracing.create({target: traceUrl, sampleRatio: settings['trace-ratio'], instanceId: settings['vm-id']});
	const node = Node.create({
		clock,
		log,
		platform: {table: CircuitBreakerTable.create(table, clock), objects, vmList},
		host: settings.host,
		port: settings.port,
		region: settings.region,
		dataCentre: settings['data-centre'],
		vmId: settings['vm-id'],
		peers: {
			host: settings.host, port: settings['peer-port'], key: files.peerKey, tls: files.peerTls, seeds: settings.peers,
		},
		bootstrapDigest: settings['bootstrap-digest'],
		onSuperseded,
		throwOnViolation: false,
		leaveMs: settings['leave-ms'],
		maxDrainMs: settings['drain-ms'],
		tls: files.callerTls,
		tracing,
	});
	return {
		node,
		async close() {
			table.destroy();
			objects.destroy();
			await vmList.destroy();
			await tracing?.stop();
		},
	};
}

function readStoreOptions(settings: NodeSettings, secretAccessKey: string) {
	return {
		region: settings['store-region'],
		accessKeyId: settings['store-access-key'],
		secretAccessKey,
		connectTimeoutMs: STORE_CONNECT_TIMEOUT_MS,
		requestTimeoutMs: STORE_REQUEST_TIMEOUT_MS,
		maxConnections: MAX_STORE_CONNECTIONS,
	};
}

function readFile(setting: string, file: string): Uint8Array {
	try {
		return readFileSync(file);
	} catch (error) {
		throw new Error(`--${setting}: ${(error as Error).message}`);
	}
}

function readText(setting: string, file: string): string {
	return Buffer.from(readFile(setting, file)).toString('utf8');
}

function readStoreSecret(file: string | undefined): string {
	if (file === undefined) {
		return 'none';
	}

	const secret = readText('store-secret-file', file).trim();
	if (secret === '') {
		throw new Error(`--store-secret-file: expected a secret in ${file}; got an empty file`);
	}

	return secret;
}

function readPeerKey(file: string): Uint8Array {
	const key = readFile('peer-key-file', file);
	if (key.byteLength < MIN_PEER_KEY_BYTES) {
		throw new Error(`--peer-key-file: expected at least ${MIN_PEER_KEY_BYTES} bytes in ${file}; got ${key.byteLength}`);
	}

	return key;
}

function readPeerTls(settings: NodeSettings): PeerTls | undefined {
	const names = ['peer-tls-key-file', 'peer-tls-cert-file', 'peer-tls-ca-file'] as const;
	const files = names.map(name => settings[name]).filter(file => file !== undefined);
	if (files.length === 0) {
		return undefined;
	}

	const flags = names.map(name => `--${name}`).join(', ');
	if (files.length < names.length) {
		throw new Error(`${flags}: expected all three or none`);
	}

	const [key, cert, ca] = names.map((name, index) => readText(name, files[index]!)) as [string, string, string];
	checkTls(flags, {key, cert, ca});
	return {key, cert, ca};
}

function readCallerTls(settings: NodeSettings): TlsFiles | undefined {
	const keyFile = settings['tls-key-file'];
	const certFile = settings['tls-cert-file'];
	if (keyFile === undefined && certFile === undefined) {
		return undefined;
	}

	const flags = '--tls-key-file, --tls-cert-file';
	if (keyFile === undefined || certFile === undefined) {
		throw new Error(`${flags}: expected both or none`);
	}

	checkTls(flags, {key: readText('tls-key-file', keyFile), cert: readText('tls-cert-file', certFile)});
	return {keyFile, certFile};
}

function checkTls(flags: string, options: SecureContextOptions): void {
	try {
		createSecureContext(options);
	} catch (error) {
		throw new Error(`${flags}: the files cannot be used: ${(error as Error).message}`);
	}
}
