/**
 * Outgoing TCP connections. The system chooses their local ports, which may be those on which another process of the machine
 * listens when it runs.
 */
import {
	createConnection, isIPv6, type Socket, type TcpNetConnectOpts,
} from 'node:net';

/** Any address of this machine, so that the route decides on the source address. */
const ANY_IPV4 = '0.0.0.0';
const ANY_IPV6 = '::';
/** How long connections are not bound after the system found no port to bind, in ms. */
const UNBOUND_PERIOD_MS = 60_000;

let unboundUntil = Number.NEGATIVE_INFINITY;

/**
 * Opens a connection.
 *
 * A connection to a port on which nothing listens may be given that port as its local one, and is then connected to itself.
 * It ends with ECONNREFUSED, like any other to such a port; a `connect` listener finds it destroyed.
 */
export function openConnection(options: TcpNetConnectOpts): Socket {
	const socket = createConnection(options);
	socket.prependOnceListener('connect', () => {
		if (socket.localPort === socket.remotePort && socket.localAddress === socket.remoteAddress) {
			socket.destroy(Object.assign(new Error(`connected to itself at port ${options.port}`), {code: 'ECONNREFUSED'}));
		}
	});
	return socket;
}

/**
 * Opens one of a few connections that last long, whose local port others can listen on while it is open or in TIME_WAIT.
 *
 * Its port is bound before connecting, which Node.js does with SO_REUSEADDR. A bound port serves one destination only and no
 * unbound connection, so that many short connections would use up the ports of the machine.
 */
export function openLastingConnection(options: TcpNetConnectOpts): Socket {
	if (performance.now() < unboundUntil) {
		return openConnection(options);
	}

	const socket = openConnection({localAddress: isIPv6(options.host ?? '') ? ANY_IPV6 : ANY_IPV4, ...options});
	socket.once('error', err => {
		const {code} = err as NodeJS.ErrnoException;
		if (code === 'EADDRINUSE' || code === 'EADDRNOTAVAIL') {
			unboundUntil = performance.now() + UNBOUND_PERIOD_MS;
		}
	});
	return socket;
}
