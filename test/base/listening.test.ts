import {createServer} from 'node:net';
import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';
import {listen} from '../../src/base/listening.js';
import {Log} from '../../src/base/log.js';

describe('a listening server', () => {
	// Guards against a process that ends because a connection could not be accepted, as when descriptors are short (report FAULT).
	it('goes on listening when a connection cannot be accepted', async () => {
		const server = createServer();
		await listen(server, {host: '127.0.0.1', port: 0}, {clock: SystemClock.create(), log: Log.create('silent')});
		server.emit('error', Object.assign(new Error('accept EMFILE'), {code: 'EMFILE', syscall: 'accept'}));
		expect(server.listening).to.equal(true);
		server.close();
	});
});
