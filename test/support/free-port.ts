import {createServer} from 'node:net';
import process from 'node:process';

/** The range is below the ephemeral ports that the operating system assigns to outgoing connections. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
let nextPort = FIRST_PORT + ((process.pid * 37) % (LAST_PORT - FIRST_PORT));

/** @returns A free port outside the ephemeral range, so that no outgoing connection takes it while its server restarts. */
export async function freePort(): Promise<number> {
	for (;;) {
		const port = nextPort;
		nextPort = port >= LAST_PORT ? FIRST_PORT : port + 1;
		if (await isFree(port)) { // eslint-disable-line no-await-in-loop -- one port at a time
			return port;
		}
	}
}

/** @returns Whether a process can listen on the port now. */
export async function isFree(port: number): Promise<boolean> {
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
