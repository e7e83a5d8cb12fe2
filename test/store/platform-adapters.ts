/**
 * Store adapters connected to a platform stand-in.
 */
import {type Result} from 'true-myth/result';
import {DynamoTable} from '../../src/store/dynamo-table.js';
import {HttpVmList} from '../../src/store/http-vm-list.js';
import {S3ObjectStore} from '../../src/store/s3-object-store.js';
import {type StoreError, type StoreFailure} from '../../src/store/table.js';
import {type PlatformStandIn} from '../../standins/platform.js';

/** @returns The three adapters, with timeouts that only injected delays can exceed. */
export function createAdapters(platform: PlatformStandIn, requestTimeoutMs = 2000) {
	const sdk = {
		endpoint: platform.url,
		region: 'test',
		accessKeyId: 'test',
		secretAccessKey: 'test',
		connectTimeoutMs: 1000,
		requestTimeoutMs,
		maxConnections: 16,
	};
	return {
		table: DynamoTable.create({...sdk, tableName: 'redwingspool'}),
		objects: S3ObjectStore.create({...sdk, bucket: 'redwingspool'}),
		vms: HttpVmList.create({url: `${platform.url}/vms`, connectTimeoutMs: 1000, requestTimeoutMs}),
	};
}

/** @returns The value of a store call, or its failure kind. */
export async function valueOrFailure<Value>(call: Promise<Result<Value, StoreError>>): Promise<Value | StoreFailure> {
	const result = await call;
	return result.isOk ? result.value : result.error.failure;
}
