/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: rows with versions, transactions with conditions, a change
 * feed, and the header `Store-Era`. It keeps one counter of versions and loses nothing.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout, clearTimeout} from 'node:timers';

const BASE = 'http://store';

/** A store on a loopback port. */
export class Store {
	static async start() {
		const store = new Store();
		await new Promise(resolve => {
			store.server.listen(0, '127.0.0.1', resolve);
		});
		return store;
	}

	rows = new Map();
	version = 0;
	era = 1;
	waiters = new Set();
	/** Called with each call, before it is handled; a returned value `false` leaves the call without an answer. */
	onCall;

	constructor() {
		this.server = createServer((req, res) => {
			this.handle(req, res);
		});
	}

	get address() {
		return `127.0.0.1:${this.server.address().port}`;
	}

	/** Writes a row as an operator or a server does. */
	put(table, key, value) {
		this.write([{
			table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'),
		}], []);
	}

	remove(table, key) {
		this.write([], [{table, part: '', key}]);
	}

	get(table, key) {
		const row = this.rows.get(rowId({table, part: '', key}));
		return row === undefined || row.tombstone ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
	}

	close() {
		this.server.closeAllConnections();
		this.server.close();
	}

	async handle(req, res) {
		let body = '';
		for await (const chunk of req) {
			body += String(chunk);
		}

		const url = new URL(req.url, BASE);
		if (this.onCall?.(req, url, body) === false) {
			return;
		}

		const query = url.searchParams;
		switch (url.pathname) {
			case '/api/rows-get': {
				this.list(query, res);
				break;
			}

			case '/api/rows-feed': {
				this.feed(query, res);
				break;
			}

			case '/api/rows-tx': {
				this.transact(JSON.parse(body), res);
				break;
			}

			default: {
				this.send(res, 404, {});
			}
		}
	}

	send(res, status, body) {
		res.writeHead(status, {'content-type': 'application/json', 'store-era': String(this.era)});
		res.end(JSON.stringify({...body, nowMs: Math.round(performance.now())}));
	}

	list(query, res) {
		const table = query.get('table');
		const part = query.get('part') ?? '';
		const from = query.get('from') ?? '';
		const to = query.get('to') ?? undefined;
		const rows = [...this.rows.values()]
			.filter(row => row.table === table && row.part === part && !row.tombstone && row.key >= from && (to === undefined || row.key < to))
			.sort((a, b) => a.key < b.key ? -1 : 1);
		this.send(res, 200, {rows, hasMore: false, ver: this.version});
	}

	feed(query, res) {
		const after = Number(query.get('after'));
		if (after > this.version) {
			this.send(res, 410, {});
			return;
		}

		const table = query.get('table');
		const check = () => {
			const rows = [...this.rows.values()].filter(row => row.table === table && row.ver > after).sort((a, b) => a.ver - b.ver);
			if (rows.length > 0) {
				this.send(res, 200, {rows, ver: this.version});
			}

			return rows.length > 0;
		};

		if (check()) {
			return;
		}

		const waiter = {check};
		this.waiters.add(waiter);
		const timer = setTimeout(() => {
			if (this.waiters.delete(waiter)) {
				this.send(res, 200, {rows: [], ver: this.version});
			}
		}, Number(query.get('waitMs')));
		res.once('close', () => {
			clearTimeout(timer);
			this.waiters.delete(waiter);
		});
	}

	transact({expectedRev, put, delete: deletions}, res) {
		const holds = expectedRev.every(row => {
			const present = this.rows.get(rowId(row));
			return (present === undefined || present.tombstone ? 0 : present.ver) === row.ver;
		});
		if (holds) {
			this.write(put, deletions);
		}

		this.send(res, holds ? 200 : 412, {ver: this.version});
	}

	write(puts, deletions) {
		this.version += 1;
		for (const row of puts) {
			this.rows.set(rowId(row), {...row, ver: this.version});
		}

		for (const row of deletions) {
			this.rows.set(rowId(row), {...row, ver: this.version, tombstone: true});
		}

		for (const waiter of this.waiters) {
			if (waiter.check()) {
				this.waiters.delete(waiter);
			}
		}
	}
}

function rowId({table, part, key}) {
	return JSON.stringify([table, part, key]);
}
