/**
 * The subset of the DynamoDB protocol (JSON 1.0) that the product's adapter uses, kept in memory.
 */

type AttributeValue = {readonly S?: string; readonly N?: string};

type Item = Record<string, AttributeValue>;

/** Members of a request, for all operations together. */
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

/** An answer of the protocol. */
export type TableAnswer = {
	readonly status: number;
	readonly body: Record<string, unknown>;
};

const BAD_REQUEST = 400;
const ERROR_NAMESPACE = 'com.amazonaws.dynamodb.v20120810#';

/** Items of one table. */
export class PlatformTable {
	/** Rows of a page, to make the adapter read several. */
	pageRows = 1000;
	readonly #items = new Map<string, Item>();

	get size(): number {
		return this.#items.size;
	}

	/** Answers one request; a change takes effect within this call. */
	handle(operation: string, req: TableRequest): TableAnswer {
		switch (operation) {
			case 'GetItem': {
				const item = this.#items.get(keyOf(req.Key));
				return {status: 200, body: item ? {Item: item} : {}};
			}

			case 'Query': {
				return this.#query(req);
			}

			case 'UpdateItem':
			case 'DeleteItem': {
				if (!this.#holds(req)) {
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

	#query(req: TableRequest): TableAnswer {
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

	#transact(req: TableRequest): TableAnswer {
		const writes = req.TransactItems!.map(item => (item.Update ?? item.Delete)!);
		const keys = new Set(writes.map(write => keyOf(write.Key)));
		if (keys.size < writes.length) {
			return failure('ValidationException');
		}

		const codes = writes.map(write => this.#holds(write) ? 'None' : 'ConditionalCheckFailed');
		if (codes.includes('ConditionalCheckFailed')) {
			return failure('TransactionCanceledException', {CancellationReasons: codes.map(code => ({Code: code}))});
		}

		for (const write of writes) {
			this.#apply(write);
		}

		return {status: 200, body: {}};
	}

	#holds(req: TableRequest): boolean {
		const item = this.#items.get(keyOf(req.Key));
		const text = req.ConditionExpression;
		if (text === undefined) {
			return true;
		}

		if (text.startsWith('attribute_not_exists(')) {
			return item === undefined;
		}

		const [name, value] = text.split(' = ') as [string, string];
		const wanted = req.ExpressionAttributeValues![value]!;
		const actual = item?.[req.ExpressionAttributeNames![name]!];
		return actual !== undefined && actual.S === wanted.S && actual.N === wanted.N;
	}

	#apply(req: TableRequest): void {
		const key = keyOf(req.Key);
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

function keyOf(key: Item): string {
	return key.sk!.S!;
}

function failure(type: string, extra: Record<string, unknown> = {}): TableAnswer {
	return {status: BAD_REQUEST, body: {__type: ERROR_NAMESPACE + type, message: type, ...extra}};
}
