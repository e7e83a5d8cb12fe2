import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';
import {type ConfigSync} from '../../src/config/config-sync.js';
import {type Head} from '../../src/config/rows.js';
import {SubtreeWatches} from '../../src/entry/operator-watch.js';

const head: Head = {
	team: 'team', version: 1, digest: '', bytes: 0,
};

describe('watches of a subtree', () => {
	// Guards against a write after the end, whose error event would end the process.
	it('send nothing after their end before they are closed', async () => {
		const listeners = new Set<(head: Head) => void>();
		const sync = {
			subtrees: new Map(),
			onApplied(listener: (head: Head) => void) {
				listeners.add(listener);
				return () => listeners.delete(listener);
			},
		} as unknown as ConfigSync;
		const watches = SubtreeWatches.create(SystemClock.create(), sync);
		const server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
		client.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
		const [, res] = await once(server, 'request') as [unknown, ServerResponse];
		const errors: Error[] = [];
		res.on('error', err => errors.push(err));
		watches.start(res, 'team');
		watches.endAll();
		for (const listener of listeners) {
			listener(head);
		}

		await nextTurn();
		expect(errors).to.deep.equal([]);
		client.destroy();
		server.close();
		await once(server, 'close');
	});
});
