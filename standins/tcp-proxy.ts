/**
 * Loopback proxy that delays, drops or resets the traffic of TCP connections.
 */
import {
	type AddressInfo, createConnection, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout} from 'node:timers';
import {splitAddress} from '../src/base/address.js';

/** How the proxy handles data and connections. */
export const ProxyMode = {
	Pass: 'pass',
	/** Delays both directions. */
	Delay: 'delay',
	/** Connections stay open but drop the data of both directions. */
	Silent: 'silent',
	/** Drops responses, delivers requests. */
	OneWay: 'one-way',
	/** Resets open connections, and new ones as soon as they are accepted. */
	Reset: 'reset',
} as const;

export type ProxyMode = (typeof ProxyMode)[keyof typeof ProxyMode];

const DELAY_MS = 120;
/** Local address of connections whose ports VMs can listen on all the same: a port that is bound first has SO_REUSEADDR. */
export const ANY_ADDRESS = '0.0.0.0';

/** A proxy for one target address. */
export class TcpProxy {
	/** @param target - `IP:PORT`. */
	static async start(target: string): Promise<TcpProxy> {
		const proxy = new TcpProxy(target);
		await new Promise<void>(resolve => {
			proxy.#server.listen(0, '127.0.0.1', resolve);
		});
		return proxy;
	}

	readonly #target: string;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	#mode: ProxyMode = ProxyMode.Pass;

	private constructor(target: string) {
		this.#target = target;
		this.#server = createServer({allowHalfOpen: true}, socket => {
			this.#accept(socket);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	setMode(mode: ProxyMode): void {
		this.#mode = mode;
		if (mode === ProxyMode.Reset) {
			for (const socket of this.#sockets) {
				socket.resetAndDestroy();
			}
		}
	}

	close(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
	}

	#accept(caller: Socket): void {
		if (this.#mode === ProxyMode.Reset) {
			caller.on('error', ignore);
			caller.resetAndDestroy();
			return;
		}

		const target = createConnection({...splitAddress(this.#target), allowHalfOpen: true, localAddress: ANY_ADDRESS});
		this.#forward(caller, target, [ProxyMode.Silent]);
		this.#forward(target, caller, [ProxyMode.Silent, ProxyMode.OneWay]);
	}

	#forward(from: Socket, to: Socket, silentModes: readonly ProxyMode[]): void {
		this.#sockets.add(from);
		// Dropped bytes are never sent again, so this direction stays silent to avoid delivering a stream with a gap.
		let isSilenced = false;
		const schedule = (action: () => void) => {
			isSilenced ||= silentModes.includes(this.#mode);
			if (isSilenced) {
				return;
			}

			if (this.#mode === ProxyMode.Delay) {
				setTimeout(action, DELAY_MS);
			} else {
				action();
			}
		};

		from.on('data', chunk => {
			schedule(() => to.write(chunk));
		});
		from.on('end', () => {
			schedule(() => to.end());
		});
		from.on('error', ignore);
		from.once('close', hadError => {
			this.#sockets.delete(from);
			if (hadError) {
				to.resetAndDestroy();
			} else {
				schedule(() => {
					to.destroySoon();
				});
			}
		});
	}
}

function ignore(): void {
	// The close event, which follows each error, is handled instead.
}
