/**
 * The table service over the DynamoDB protocol.
 *
 * One table with partition key `pk` (the part of the row key before its first slash) and sort key `sk` (the whole row
 * key), both strings. Attributes: `val` value, `ver` version, `tok` token of the last write.
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
	readFailure, type SdkOptions, sdkClientConfig, writeFailure,
} from './sdk-failure.js';

/** How to reach the table. */
export type DynamoTableOptions = SdkOptions & {
	readonly tableName: string;
};

type Item = Record<string, AttributeValue>;

/** Target and condition of one write, as update, delete and transaction requests share them. */
type Statement = {
	readonly TableName: string;
	readonly Key: Item;
	readonly ConditionExpression?: string;
	readonly ExpressionAttributeNames?: Record<string, string>;
	readonly ExpressionAttributeValues?: Item;
};

type UpdateStatement = Statement & {readonly UpdateExpression: string};

const CONDITION_FAILED_CODE = 'ConditionalCheckFailed';

/** Table rows as items of one DynamoDB table. */
export class DynamoTable extends Table {
	static create(options: DynamoTableOptions): DynamoTable {
		return new DynamoTable(options);
	}

	readonly #client: DynamoDBClient;
	readonly #tableName: string;
	readonly #requestTimeoutMs: number;

	private constructor(options: DynamoTableOptions) {
		super();
		this.#client = new DynamoDBClient(sdkClientConfig(options));
		this.#tableName = options.tableName;
		this.#requestTimeoutMs = options.requestTimeoutMs;
	}

	/** Closes all connections. */
	destroy(): void {
		this.#client.destroy();
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		const command = new GetItemCommand({TableName: this.#tableName, Key: keyOf(key), ConsistentRead: true});
		try {
			const {Item: item} = await this.#client.send(command, this.#limits());
			return ok(item && rowOf(item));
		} catch (err) {
			return Result.err(readFailure(err));
		}
	}

	async list(prefix: string, limit: number, after = ''): Promise<Result<readonly Row[], StoreError>> {
		const rows: Row[] = [];
		let last: Item | undefined = after === '' ? undefined : keyOf(after);
		try {
			do {
				// A page ends at 1 MB even where fewer rows than the limit were read.
				// eslint-disable-next-line no-await-in-loop
				const page = await this.#client.send(this.#query(prefix, limit - rows.length, last), this.#limits());
				rows.push(...(page.Items ?? []).map(item => rowOf(item)));
				last = page.LastEvaluatedKey;
			} while (last !== undefined && rows.length < limit);

			return ok(rows);
		} catch (err) {
			return Result.err(readFailure(err));
		}
	}

	override async write(write: Write): Promise<Result<WriteOutcome, StoreError>> {
		return this.#settle(write.value === undefined
			? this.#client.send(new DeleteItemCommand(this.#statement(write)), this.#limits())
			: this.#client.send(new UpdateItemCommand(this.#update(write, write.value)), this.#limits()));
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		const items = writes.map((write): TransactWriteItem => write.value === undefined
			? {Delete: this.#statement(write)}
			: {Update: this.#update(write, write.value)});
		return this.#settle(this.#client.send(new TransactWriteItemsCommand({TransactItems: items}), this.#limits()));
	}

	async #settle(sent: Promise<unknown>): Promise<Result<WriteOutcome, StoreError>> {
		try {
			await sent;
			return ok(WriteOutcome.Written);
		} catch (err) {
			return isConditionFailure(err) ? ok(WriteOutcome.ConditionFailed) : Result.err(writeFailure(err));
		}
	}

	#limits() {
		return {abortSignal: AbortSignal.timeout(this.#requestTimeoutMs)};
	}

	#query(prefix: string, limit: number, last: Item | undefined): QueryCommand {
		return new QueryCommand({
			TableName: this.#tableName,
			ConsistentRead: true,
			KeyConditionExpression: 'pk = :pk AND begins_with(sk, :prefix)',
			ExpressionAttributeValues: {':pk': {S: partitionOf(prefix)}, ':prefix': {S: prefix}},
			Limit: limit,
			ExclusiveStartKey: last,
		});
	}

	#statement(write: Write): Statement {
		return {TableName: this.#tableName, Key: keyOf(write.key), ...conditionOf(write.condition)};
	}

	#update(write: Write, value: string): UpdateStatement {
		const statement = this.#statement(write);
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

function conditionOf(condition: Condition): Partial<Statement> {
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

function partitionOf(key: string): string {
	const slash = key.indexOf('/');
	if (slash < 1) {
		throw new TypeError(`Row keys and prefixes start with a partition and a slash, unlike '${key}'.`);
	}

	return key.slice(0, slash);
}

function keyOf(key: string): Item {
	return {pk: {S: partitionOf(key)}, sk: {S: key}};
}

function rowOf(item: Item): Row {
	return {
		key: item.sk?.S ?? '', value: item.val?.S ?? '', version: Number(item.ver?.N ?? 0), token: item.tok?.S ?? '',
	};
}
