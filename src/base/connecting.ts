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
/** How long the system keeps the port of a connection that was closed, in ms. */
const PORT_HOLD_MS = 60_000;
/**
 * Number of connections that are bound in `PORT_HOLD_MS`. A bound port serves one destination only and no unbound connection,
 * so that more of them could use up the ports of the machine, which has about 28,000.
 */
const MAX_BOUND_CONNECTIONS = 1000;

/** Decides which connections are bound. */
export class PortBindings {
	static create(): PortBindings {
		return new PortBindings();
	}

	#count = 0;
	#countedSince = Number.NEGATIVE_INFINITY;

	private constructor() {
		// Instances come from `create`.
	}

	/** @returns Whether to bind the next connection, which is counted. */
	take(): boolean {
		if (performance.now() - this.#countedSince >= PORT_HOLD_MS) {
			this.clear();
		}

		this.#count += 1;
		return this.#count <= MAX_BOUND_CONNECTIONS;
	}

	/** The system found no port: binds no more connections until ports may be free again. */
	noteExhausted(): void {
		this.#countedSince = performance.now();
		this.#count = MAX_BOUND_CONNECTIONS;
	}

	/** Forgets the connections so far. */
	clear(): void {
		this.#countedSince = performance.now();
		this.#count = 0;
	}
}

/** The bindings of this process. */
export const processBindings = PortBindings.create();

/**
 * Opens a connection.
 *
 * Its local port is bound before connecting, which Node.js does with SO_REUSEADDR: another process can then listen on that
 * port even while the connection is open or in TIME_WAIT. Where connections are too frequent for that, or the system finds no
 * port to bind, they are not bound.
 *
 * A connection to a port on which nothing listens may be given that port as its local one, and is then connected to itself.
 * It ends with ECONNREFUSED, like any other to such a port; a `connect` listener finds it destroyed.
 */
export function openConnection(options: TcpNetConnectOpts, bindings = processBindings): Socket {
	const localAddress = isIPv6(options.host ?? '') ? ANY_IPV6 : ANY_IPV4;
	const socket = createConnection(bindings.take() ? {localAddress, ...options} : options);
	socket.prependOnceListener('connect', () => {
		if (socket.localPort === socket.remotePort && socket.localAddress === socket.remoteAddress) {
			socket.destroy(Object.assign(new Error(`connected to itself at port ${options.port}`), {code: 'ECONNREFUSED'}));
		}
	});
	socket.once('error', err => {
		const {code} = err as NodeJS.ErrnoException;
		if (code === 'EADDRINUSE' || code === 'EADDRNOTAVAIL') {
			bindings.noteExhausted();
		}
	});
	return socket;
}
