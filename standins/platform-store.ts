/**
 * Stand-in for the users' store: versioned rows, conditional transactions, a change feed with long polling, faults, and a
 * return to an earlier state.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

type Row = {table: string; part: string; key: string; value: string; ver: number; tombstone?: boolean};
type Change = Omit<Row, 'ver' | 'tombstone'>;
type Condition = {table: string; part: string; key: string; ver: number};
type Transaction = {expectedRev: Condition[]; put: Change[]; delete: Array<Omit<Change, 'value'>>};
type FeedWaiter = {readonly check: () => boolean};

/** Header that all responses carry: the era of the store. */
const ERA_HEADER = 'store-era';

/** All rows and the version counter at one moment. */
export type StoreCopy = {
	readonly rows: ReadonlyMap<string, Readonly<Row>>;
	readonly version: number;
};

/** How the store handles calls. */
export const StoreMode = {
	Healthy: 'healthy',
	/** Responds with status 503. */
	Busy: 'busy',
	/** Never responds. */
	Silent: 'silent',
	/** Executes transactions but never responds to them. */
	LosesAnswers: 'loses-answers',
} as const;

export type StoreMode = (typeof StoreMode)[keyof typeof StoreMode];

/** A store on a loopback port. */
export class PlatformStore {
	static async start(): Promise<PlatformStore> {
		const store = new PlatformStore();
		await new Promise<void>(resolve => {
			store.#server.listen(0, '127.0.0.1', resolve);
		});
		return store;
	}

	mode: StoreMode = StoreMode.Healthy;
	/** Rises by one with each `restore`. */
	era = 1;
	/** Text of the header in place of the era; an empty text omits the header. */
	eraText: string | undefined;
	/** Delay before a call is handled, in ms. */
	delayMs: (() => number) | undefined;
	readonly #server: Server;
	readonly #rows = new Map<string, Row>();
	readonly #waiters = new Set<FeedWaiter>();
	#version = 0;
	#compactedVersion = 0;

	private constructor() {
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Writes a row, as an operator or a server would. */
	put(table: string, key: string, value: unknown): void {
		this.putText(table, key, JSON.stringify(value));
	}

	/** Writes a row whose value need not be JSON, as another writer may. */
	putText(table: string, key: string, text: string): void {
		this.#write([{
			table, part: '', key, value: Buffer.from(text).toString('base64'),
		}], []);
	}

	/** @returns The value of a row, as text. */
	getText(table: string, key: string): string | undefined {
		const row = this.#rows.get(rowId(table, '', key));
		return row === undefined || row.tombstone === true ? undefined : Buffer.from(row.value, 'base64').toString('utf8');
	}

	delete(table: string, key: string): void {
		this.#write([], [{table, part: '', key}]);
	}

	/** Compacts the change feed: polls from before the current version are answered with 410. */
	compact(): void {
		this.#compactedVersion = this.#version;
	}

	/** @returns The present state, for a later `restore`. */
	copy(): StoreCopy {
		return {rows: new Map(this.#rows), version: this.#version};
	}

	/**
	 * Goes back to an earlier state: what was written since is gone, and versions are given out again. Whoever wrote
	 * entries since must write them again. Calls that wait for changes keep waiting.
	 */
	restore({rows, version}: StoreCopy): void {
		this.#rows.clear();
		for (const [id, row] of rows) {
			this.#rows.set(id, row);
		}

		this.#version = version;
		this.#compactedVersion = Math.min(this.#compactedVersion, version);
		this.era += 1;
	}

	/** @returns The value of a row; `undefined` if there is none. */
	get(table: string, key: string): unknown {
		const row = this.#rows.get(rowId(table, '', key));
		return row === undefined || row.tombstone === true ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
	}

	close(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		let body = '';
		for await (const chunk of req) {
			body += String(chunk);
		}

		if (this.delayMs !== undefined) {
			await sleep(this.delayMs());
		}

		if (this.mode === StoreMode.Silent) {
			return;
		}

		if (this.mode === StoreMode.Busy) {
			this.#send(res, 503, {});
			return;
		}

		const url = new URL(req.url!, 'http://store');
		const query = url.searchParams;
		switch (url.pathname) {
			case '/api/rows-get': {
				const table = query.get('table')!;
				const from = query.get('from') ?? '';
				const to = query.get('to') ?? undefined;
				const rows = [...this.#rows.values()].filter(row => row.table === table && row.tombstone !== true && row.key >= from && (to === undefined || row.key < to));
				this.#send(res, 200, {rows: rows.sort((a, b) => a.key < b.key ? -1 : 1), hasMore: false, ver: this.#version});
				break;
			}

			case '/api/rows-feed': {
				this.#handleFeed(query, res);
				break;
			}

			case '/api/rows-tx': {
				this.#transact(JSON.parse(body) as Transaction, res);
				break;
			}

			default: {
				this.#send(res, 404, {});
			}
		}
	}

	#send(res: ServerResponse, status: number, body: unknown): void {
		const era = this.eraText ?? String(this.era);
		res.writeHead(status, {'content-type': 'application/json', ...(era === '' ? {} : {[ERA_HEADER]: era})});
		res.end(JSON.stringify(body));
	}

	#handleFeed(query: URLSearchParams, res: ServerResponse): void {
		const after = Number(query.get('after'));
		if (after < this.#compactedVersion || after > this.#version) {
			this.#send(res, 410, {});
			return;
		}

		const table = query.get('table');
		const waiter: FeedWaiter = {
			check: () => {
				const rows = [...this.#rows.values()].filter(row => row.table === table && row.ver > after).sort((a, b) => a.ver - b.ver);
				if (rows.length > 0) {
					// A deleted row has no value.
					this.#send(res, 200, {rows: rows.map(row => row.tombstone === true ? {...row, value: undefined} : row), ver: this.#version});
				}

				return rows.length > 0;
			},
		};
		if (waiter.check()) {
			return;
		}

		this.#waiters.add(waiter);
		const timer = setTimeout(() => {
			if (this.#waiters.delete(waiter)) {
				this.#send(res, 200, {rows: [], ver: this.#version});
			}
		}, Number(query.get('waitMs')));
		res.once('close', () => {
			clearTimeout(timer);
			this.#waiters.delete(waiter);
		});
	}

	#transact({expectedRev, put, delete: deletions}: Transaction, res: ServerResponse): void {
		const isConditionMet = expectedRev.every(({table, part, key, ver}) => {
			const row = this.#rows.get(rowId(table, part, key));
			return (row === undefined || row.tombstone === true ? 0 : row.ver) === ver;
		});
		if (isConditionMet) {
			this.#write(put, deletions);
		}

		if (this.mode !== StoreMode.LosesAnswers) {
			this.#send(res, isConditionMet ? 200 : 412, {ver: this.#version});
		}
	}

	#write(put: readonly Change[], deletions: ReadonlyArray<Omit<Change, 'value'>>): void {
		this.#version += 1;
		for (const change of put) {
			this.#rows.set(rowId(change.table, change.part, change.key), {...change, ver: this.#version});
		}

		for (const change of deletions) {
			this.#rows.set(rowId(change.table, change.part, change.key), {
				...change, value: '', ver: this.#version, tombstone: true,
			});
		}

		for (const waiter of this.#waiters) {
			if (waiter.check()) {
				this.#waiters.delete(waiter);
			}
		}
	}
}

function rowId(table: string, part: string, key: string): string {
	return JSON.stringify([table, part, key]);
}
