/**
 * Table adapter for the DynamoDB protocol.
 *
 * Uses one table with partition key `pk` (the row key up to its first slash) and sort key `sk` (the full row key), both
 * strings. Attributes: `val` (value), `ver` (version) and `tok` (token of the last write).
 */
import {
	type AttributeValue, ConditionalCheckFailedException, DeleteItemCommand, DynamoDBClient, GetItemCommand, QueryCommand,
	TransactionCanceledException, TransactWriteItemsCommand, type TransactWriteItem, UpdateItemCommand,
} from '@aws-sdk/client-dynamodb';
import Result, {ok} from 'true-myth/result';
import {
	type Condition, type Row, type StoreError, Table, type Write, WriteOutcome,
} from './table.js';
import {
	createSdkClientConfig, type SdkOptions, toReadFailure, toWriteFailure,
} from './sdk-failure.js';

/** Connection options and name of the table. */
export type DynamoTableOptions = SdkOptions & {
	readonly tableName: string;
};

type Item = Record<string, AttributeValue>;

/** Fields for the target and condition of a write that update, delete and transaction requests have in common. */
type WriteStatement = {
	readonly TableName: string;
	readonly Key: Item;
	readonly ConditionExpression?: string;
	readonly ExpressionAttributeNames?: Record<string, string>;
	readonly ExpressionAttributeValues?: Item;
};

type UpdateStatement = WriteStatement & {readonly UpdateExpression: string};

const CONDITION_FAILED_CODE = 'ConditionalCheckFailed';

/** Stores each row as an item of one DynamoDB table. */
export class DynamoTable extends Table {
	static create(options: DynamoTableOptions): DynamoTable {
		return new DynamoTable(options);
	}

	readonly #client: DynamoDBClient;
	readonly #tableName: string;
	readonly #requestTimeoutMs: number;

	private constructor(options: DynamoTableOptions) {
		super();
		this.#client = new DynamoDBClient(createSdkClientConfig(options));
		this.#tableName = options.tableName;
		this.#requestTimeoutMs = options.requestTimeoutMs;
	}

	/** Closes all connections. */
	destroy(): void {
		this.#client.destroy();
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		const command = new GetItemCommand({TableName: this.#tableName, Key: toPrimaryKey(key), ConsistentRead: true});
		try {
			const {Item: item} = await this.#client.send(command, this.#requestOptions());
			return ok(item && toRow(item));
		} catch (err) {
			return Result.err(toReadFailure(err));
		}
	}

	async list(prefix: string, limit: number, after = ''): Promise<Result<readonly Row[], StoreError>> {
		const rows: Row[] = [];
		let exclusiveStartKey: Item | undefined = after === '' ? undefined : toPrimaryKey(after);
		try {
			do {
				// DynamoDB ends a page at 1 MB of data, even if it has read fewer rows than the limit.
				// eslint-disable-next-line no-await-in-loop
				const page = await this.#client.send(this.#createQuery(prefix, limit - rows.length, exclusiveStartKey), this.#requestOptions());
				rows.push(...(page.Items ?? []).map(item => toRow(item)));
				exclusiveStartKey = page.LastEvaluatedKey;
			} while (exclusiveStartKey !== undefined && rows.length < limit);

			return ok(rows);
		} catch (err) {
			return Result.err(toReadFailure(err));
		}
	}

	override async write(write: Write): Promise<Result<WriteOutcome, StoreError>> {
		return this.#toWriteOutcome(write.value === undefined
			? this.#client.send(new DeleteItemCommand(this.#toStatement(write)), this.#requestOptions())
			: this.#client.send(new UpdateItemCommand(this.#toUpdateStatement(write, write.value)), this.#requestOptions()));
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		const items = writes.map((write): TransactWriteItem => write.value === undefined
			? {Delete: this.#toStatement(write)}
			: {Update: this.#toUpdateStatement(write, write.value)});
		return this.#toWriteOutcome(this.#client.send(new TransactWriteItemsCommand({TransactItems: items}), this.#requestOptions()));
	}

	async #toWriteOutcome(request: Promise<unknown>): Promise<Result<WriteOutcome, StoreError>> {
		try {
			await request;
			return ok(WriteOutcome.Written);
		} catch (err) {
			return isConditionFailure(err) ? ok(WriteOutcome.ConditionFailed) : Result.err(toWriteFailure(err));
		}
	}

	#requestOptions() {
		return {abortSignal: AbortSignal.timeout(this.#requestTimeoutMs)};
	}

	#createQuery(prefix: string, limit: number, exclusiveStartKey: Item | undefined): QueryCommand {
		return new QueryCommand({
			TableName: this.#tableName,
			ConsistentRead: true,
			KeyConditionExpression: 'pk = :pk AND begins_with(sk, :prefix)',
			ExpressionAttributeValues: {':pk': {S: toPartitionKey(prefix)}, ':prefix': {S: prefix}},
			Limit: limit,
			ExclusiveStartKey: exclusiveStartKey,
		});
	}

	#toStatement(write: Write): WriteStatement {
		return {TableName: this.#tableName, Key: toPrimaryKey(write.key), ...toConditionExpression(write.condition)};
	}

	#toUpdateStatement(write: Write, value: string): UpdateStatement {
		const statement = this.#toStatement(write);
		return {
			...statement,
			UpdateExpression: 'SET #val = :val, #tok = :tok, #ver = if_not_exists(#ver, :zero) + :one',
			ExpressionAttributeNames: {
				...statement.ExpressionAttributeNames, '#val': 'val', '#tok': 'tok', '#ver': 'ver',
			},
			ExpressionAttributeValues: {
				...statement.ExpressionAttributeValues, ':val': {S: value}, ':tok': {S: write.token}, ':zero': {N: '0'}, ':one': {N: '1'},
			},
		};
	}
}

function toConditionExpression(condition: Condition): Partial<WriteStatement> {
	switch (condition.kind) {
		case 'any': {
			return {};
		}

		case 'absent': {
			return {ConditionExpression: 'attribute_not_exists(#pk)', ExpressionAttributeNames: {'#pk': 'pk'}};
		}

		case 'version': {
			return {
				ConditionExpression: '#ver = :expected',
				ExpressionAttributeNames: {'#ver': 'ver'},
				ExpressionAttributeValues: {':expected': {N: String(condition.version)}},
			};
		}

		case 'token': {
			return {
				ConditionExpression: '#tok = :expected',
				ExpressionAttributeNames: {'#tok': 'tok'},
				ExpressionAttributeValues: {':expected': {S: condition.token}},
			};
		}
	}
}

function isConditionFailure(err: unknown): boolean {
	if (err instanceof TransactionCanceledException) {
		return err.CancellationReasons?.some(reason => reason.Code === CONDITION_FAILED_CODE) ?? false;
	}

	return err instanceof ConditionalCheckFailedException;
}

function toPartitionKey(key: string): string {
	const separatorIndex = key.indexOf('/');
	if (separatorIndex < 1) {
		throw new TypeError(`Row key or prefix '${key}' does not start with a partition key and a slash.`);
	}

	return key.slice(0, separatorIndex);
}

function toPrimaryKey(key: string): Item {
	return {pk: {S: toPartitionKey(key)}, sk: {S: key}};
}

function toRow(item: Item): Row {
	return {
		key: item.sk?.S ?? '', value: item.val?.S ?? '', version: Number(item.ver?.N ?? 0), token: item.tok?.S ?? '',
	};
}
