import {createServer} from 'node:net';
import process from 'node:process';

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
let nextPort = FIRST_PORT + ((process.pid * 37) % (LAST_PORT - FIRST_PORT));

/** @returns A port that no outgoing connection is given, as a process listens there again after a restart. */
export async function freePort(): Promise<number> {
	for (;;) {
		const port = nextPort;
		nextPort = port >= LAST_PORT ? FIRST_PORT : port + 1;
		if (await isFree(port)) { // eslint-disable-line no-await-in-loop -- one port at a time
			return port;
		}
	}
}

async function isFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
