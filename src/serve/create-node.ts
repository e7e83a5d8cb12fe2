/**
 * Creates a node from its process settings.
 */
import {readFileSync} from 'node:fs';
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

/**
 * @param onSuperseded - Called when a newer process uses this VM's identity.
 * @returns The node, or an error message if a file named in the settings is missing or invalid.
 */
export function createNode(settings: NodeSettings, log: Log, onSuperseded: () => void): Result<CreatedNode, string> {
	try {
		return ok(buildNode(settings, log, onSuperseded));
	} catch (error) {
		return Result.err((error as Error).message);
	}
}

function buildNode(settings: NodeSettings, log: Log, onSuperseded: () => void): CreatedNode {
	const clock = SystemClock.create();
	const store = readStoreOptions(settings);
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
			host: settings.host, port: settings['peer-port'], key: readPeerKey(settings['peer-key-file']), tls: readPeerTls(settings), seeds: settings.peers,
		},
		bootstrapDigest: settings['bootstrap-digest'],
		onSuperseded,
		throwOnViolation: false,
		leaveMs: settings['leave-ms'],
		maxDrainMs: settings['drain-ms'],
		tls: readCallerTls(settings),
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

function readStoreOptions(settings: NodeSettings) {
	const secretFile = settings['store-secret-file'];
	return {
		region: settings['store-region'],
		accessKeyId: settings['store-access-key'],
		secretAccessKey: secretFile === undefined ? 'none' : readFileSync(secretFile, 'utf8').trim(),
		connectTimeoutMs: STORE_CONNECT_TIMEOUT_MS,
		requestTimeoutMs: STORE_REQUEST_TIMEOUT_MS,
		maxConnections: MAX_STORE_CONNECTIONS,
	};
}

function readPeerKey(file: string): Uint8Array {
	const key = readFileSync(file);
	if (key.byteLength < MIN_PEER_KEY_BYTES) {
		throw new Error(`--peer-key-file: expected at least ${MIN_PEER_KEY_BYTES} bytes in ${file}; got ${key.byteLength}`);
	}

	return key;
}

function readPeerTls(settings: NodeSettings): PeerTls | undefined {
	const files = [settings['peer-tls-key-file'], settings['peer-tls-cert-file'], settings['peer-tls-ca-file']];
	const configuredFiles = files.filter(file => file !== undefined);
	if (configuredFiles.length === 0) {
		return undefined;
	}

	if (configuredFiles.length < files.length) {
		throw new Error('--peer-tls-key-file, --peer-tls-cert-file, --peer-tls-ca-file: expected all three or none');
	}

	const [key, cert, ca] = configuredFiles.map(file => readFileSync(file, 'utf8')) as [string, string, string];
	return {key, cert, ca};
}

function readCallerTls(settings: NodeSettings): TlsFiles | undefined {
	const keyFile = settings['tls-key-file'];
	const certFile = settings['tls-cert-file'];
	if ((keyFile === undefined) !== (certFile === undefined)) {
		throw new Error('--tls-key-file, --tls-cert-file: expected both or none');
	}

	return keyFile === undefined || certFile === undefined ? undefined : {keyFile, certFile};
}
