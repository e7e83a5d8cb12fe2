/**
 * In-memory implementation of the subset of the DynamoDB protocol (JSON 1.0) that the product's adapter uses.
 */

type AttributeValue = {readonly S?: string; readonly N?: string};

type Item = Record<string, AttributeValue>;

/** Union of the request members of all operations. */
export type TableRequest = {
	readonly Key: Item;
	readonly ConditionExpression?: string;
	readonly UpdateExpression?: string;
	readonly KeyConditionExpression?: string;
	readonly ExpressionAttributeNames?: Record<string, string>;
	readonly ExpressionAttributeValues?: Item;
	readonly Limit?: number;
	readonly ExclusiveStartKey?: Item;
	readonly TransactItems?: ReadonlyArray<{readonly Update?: TableRequest; readonly Delete?: TableRequest}>;
};

/** A response of the protocol. */
export type TableResponse = {
	readonly status: number;
	readonly body: Record<string, unknown>;
};

const BAD_REQUEST = 400;
const ERROR_NAMESPACE = 'com.amazonaws.dynamodb.v20120810#';

/** A table. */
export class PlatformTable {
	/** Maximum number of rows of a page; tests lower it to make the adapter read several pages. */
	pageRows = 1000;
	readonly #items = new Map<string, Item>();

	get size(): number {
		return this.#items.size;
	}

	/** Handles a request; changes are applied synchronously. */
	handle(operation: string, req: TableRequest): TableResponse {
		switch (operation) {
			case 'GetItem': {
				const item = this.#items.get(sortKey(req.Key));
				return {status: 200, body: item ? {Item: item} : {}};
			}

			case 'Query': {
				return this.#query(req);
			}

			case 'UpdateItem':
			case 'DeleteItem': {
				if (!this.#meetsCondition(req)) {
					return failure('ConditionalCheckFailedException');
				}

				this.#apply(req);
				return {status: 200, body: {}};
			}

			case 'TransactWriteItems': {
				return this.#transact(req);
			}

			default: {
				return failure('UnknownOperationException');
			}
		}
	}

	#query(req: TableRequest): TableResponse {
		const partition = req.ExpressionAttributeValues![':pk']!.S!;
		const prefix = req.ExpressionAttributeValues![':prefix']!.S!;
		const after = req.ExclusiveStartKey?.sk!.S ?? '';
		const found = [...this.#items.values()]
			.filter(item => item.pk!.S === partition && item.sk!.S!.startsWith(prefix) && item.sk!.S! > after)
			.sort((a, b) => a.sk!.S! < b.sk!.S! ? -1 : 1);
		const page = found.slice(0, Math.min(req.Limit ?? this.pageRows, this.pageRows));
		const last = page.at(-1);
		const next = last !== undefined && page.length < found.length ? {LastEvaluatedKey: {pk: last.pk, sk: last.sk}} : {};
		return {status: 200, body: {Items: page, Count: page.length, ...next}};
	}

	#transact(req: TableRequest): TableResponse {
		const writes = req.TransactItems!.map(item => (item.Update ?? item.Delete)!);
		const keys = new Set(writes.map(write => sortKey(write.Key)));
		if (keys.size < writes.length) {
			return failure('ValidationException');
		}

		const codes = writes.map(write => this.#meetsCondition(write) ? 'None' : 'ConditionalCheckFailed');
		if (codes.includes('ConditionalCheckFailed')) {
			return failure('TransactionCanceledException', {CancellationReasons: codes.map(code => ({Code: code}))});
		}

		for (const write of writes) {
			this.#apply(write);
		}

		return {status: 200, body: {}};
	}

	#meetsCondition(req: TableRequest): boolean {
		const item = this.#items.get(sortKey(req.Key));
		const condition = req.ConditionExpression;
		if (condition === undefined) {
			return true;
		}

		if (condition.startsWith('attribute_not_exists(')) {
			return item === undefined;
		}

		const [name, value] = condition.split(' = ') as [string, string];
		const expected = req.ExpressionAttributeValues![value]!;
		const actual = item?.[req.ExpressionAttributeNames![name]!];
		return actual !== undefined && actual.S === expected.S && actual.N === expected.N;
	}

	#apply(req: TableRequest): void {
		const key = sortKey(req.Key);
		if (req.UpdateExpression === undefined) {
			this.#items.delete(key);
			return;
		}

		const item: Item = {...req.Key, ...this.#items.get(key)};
		for (const assignment of req.UpdateExpression.slice('SET '.length).split(/, (?=#)/v)) {
			const [name, operand] = assignment.split(' = ') as [string, string];
			const attribute = req.ExpressionAttributeNames![name]!;
			const value = req.ExpressionAttributeValues![operand];
			item[attribute] = value ?? {N: String(Number(item[attribute]?.N ?? 0) + 1)};
		}

		this.#items.set(key, item);
	}
}

function sortKey(key: Item): string {
	return key.sk!.S!;
}

function failure(type: string, extra: Record<string, unknown> = {}): TableResponse {
	return {status: BAD_REQUEST, body: {__type: ERROR_NAMESPACE + type, message: type, ...extra}};
}
