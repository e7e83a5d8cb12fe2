/**
 * Outgoing TCP connections. The system chooses their local ports, which must not keep a process on the same machine from
 * listening.
 */
import {
	createConnection, isIPv6, type Socket, type TcpNetConnectOpts,
} from 'node:net';

/** Any address of this machine, so that the route decides on the source address. */
const ANY_IPV4 = '0.0.0.0';
const ANY_IPV6 = '::';

/**
 * Opens a connection.
 *
 * Its local port is bound before connecting, which Node.js does with SO_REUSEADDR: a process can then listen on that port
 * even while the connection is open or in TIME_WAIT.
 *
 * A connection to a port on which nothing listens may be given that port as its local one, and is then connected to itself.
 * It ends with ECONNREFUSED, like any other to such a port; a `connect` listener finds it destroyed.
 */
export function openConnection(options: TcpNetConnectOpts): Socket {
	const socket = createConnection({localAddress: isIPv6(options.host ?? '') ? ANY_IPV6 : ANY_IPV4, ...options});
	socket.prependOnceListener('connect', () => {
		if (socket.localPort === socket.remotePort && socket.localAddress === socket.remoteAddress) {
			socket.destroy(Object.assign(new Error(`connected to itself at port ${options.port}`), {code: 'ECONNREFUSED'}));
		}
	});
	return socket;
}
