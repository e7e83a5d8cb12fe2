/**
 * Stand-in for the platform's store: rows with versions, conditional transactions and a feed of changes, as the pages
 * describe them.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {listen} from './network.js';

/** Column that identifies a row. */
function rowId(table, part, key) {
	return JSON.stringify([table, part, key]);
}

/** A store on a loopback port. */
export class Store {
	static async start() {
		const store = new Store();
		store.address = await listen(store.server);
		return store;
	}

	constructor() {
		this.rows = new Map();
		this.version = 0;
		this.waiters = new Set();
		/** Called with the port of the connection and the path of each call; `false` leaves the call without an answer. */
		this.admit = () => true;
		this.server = createServer((req, res) => {
			this.handle(req, res);
		});
	}

	/** Writes a row, as the operator or a server does. */
	put(table, key, value) {
		this.write([{
			table, part: '', key, value: Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'),
		}], []);
	}

	/** Removes a row. */
	drop(table, key) {
		this.write([], [{table, part: '', key}]);
	}

	/** @returns The value of a row, decoded from JSON. */
	get(table, key) {
		const row = this.rows.get(rowId(table, '', key));
		return row === undefined || row.tombstone ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
	}

	write(puts, deletes) {
		this.version += 1;
		for (const put of puts) {
			this.rows.set(rowId(put.table, put.part, put.key), {...put, ver: this.version});
		}

		for (const dropped of deletes) {
			this.rows.set(rowId(dropped.table, dropped.part, dropped.key), {...dropped, ver: this.version, tombstone: true});
		}

		for (const check of this.waiters) {
			check();
		}
	}

	async handle(req, res) {
		let text = '';
		for await (const chunk of req) {
			text += String(chunk);
		}

		const {pathname, searchParams} = new URL(req.url, 'http://store');
		if (!this.admit(req.socket.remotePort, pathname)) {
			return;
		}

		switch (pathname) {
			case '/api/rows-get': {
				this.answerGet(searchParams, res);
				break;
			}

			case '/api/rows-feed': {
				this.answerFeed(searchParams, res);
				break;
			}

			case '/api/rows-tx': {
				this.answerTransaction(JSON.parse(text), res);
				break;
			}

			default: {
				this.send(res, 404, {});
			}
		}
	}

	answerGet(query, res) {
		const from = query.get('from') ?? '';
		const to = query.get('to') ?? undefined;
		const rows = [...this.rows.values()].filter(row => row.table === query.get('table') && !row.tombstone
			&& row.key >= from && (to === undefined || row.key < to));
		rows.sort((one, other) => one.key < other.key ? -1 : 1);
		this.send(res, 200, {rows, hasMore: false, ver: this.version});
	}

	answerFeed(query, res) {
		const after = Number(query.get('after'));
		const findChanges = () => [...this.rows.values()].filter(row => row.table === query.get('table') && row.ver > after);
		const check = isLast => {
			const rows = findChanges();
			if (rows.length > 0 || isLast === true) {
				this.waiters.delete(check);
				clearTimeout(timer);
				rows.sort((one, other) => one.ver - other.ver);
				this.send(res, 200, {rows, ver: this.version});
			}
		};

		const timer = setTimeout(check, Number(query.get('waitMs')), true);
		this.waiters.add(check);
		res.once('close', () => {
			clearTimeout(timer);
			this.waiters.delete(check);
		});
		check(false);
	}

	answerTransaction({expectedRev, put, delete: deletes}, res) {
		const isMet = expectedRev.every(({table, part, key, ver}) => {
			const row = this.rows.get(rowId(table, part, key));
			return (row === undefined || row.tombstone ? 0 : row.ver) === ver;
		});
		if (isMet) {
			this.write(put, deletes);
		}

		this.send(res, isMet ? 200 : 412, {ver: this.version});
	}

	send(res, status, body) {
		res.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
		res.end(JSON.stringify({...body, nowMs: Math.round(performance.now())}));
	}

	close() {
		this.server.closeAllConnections();
		this.server.close();
	}
}
