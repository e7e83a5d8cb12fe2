/**
 * Loopback proxy that delays, silences, cuts or resets connections.
 */
import {
	type AddressInfo, createConnection, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout} from 'node:timers';
import {splitAddress} from '../src/base/address.js';

/** What happens to bytes and connections. */
export const ProxyMode = {
	Pass: 'pass',
	/** Both ways are late. */
	Delay: 'delay',
	/** Connections stay open and deliver nothing, both ways. */
	Silent: 'silent',
	/** Answers are lost, requests arrive. */
	OneWay: 'one-way',
	/** Open connections are reset once; new ones are refused by a reset. */
	Reset: 'reset',
} as const;

export type ProxyMode = (typeof ProxyMode)[keyof typeof ProxyMode];

const DELAY_MS = 120;

/** The proxy of one address. */
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

		const target = createConnection({...splitAddress(this.#target), allowHalfOpen: true});
		this.#join(caller, target, [ProxyMode.Silent]);
		this.#join(target, caller, [ProxyMode.Silent, ProxyMode.OneWay]);
	}

	#join(from: Socket, to: Socket, silentModes: readonly ProxyMode[]): void {
		this.#sockets.add(from);
		// Bytes that a silence has swallowed are missing for good; the connection then delivers nothing further.
		let isBroken = false;
		const later = (action: () => void) => {
			isBroken ||= silentModes.includes(this.#mode);
			if (isBroken) {
				return;
			}

			if (this.#mode === ProxyMode.Delay) {
				setTimeout(action, DELAY_MS);
			} else {
				action();
			}
		};

		from.on('data', chunk => {
			later(() => to.write(chunk));
		});
		from.on('end', () => {
			later(() => to.end());
		});
		from.on('error', ignore);
		from.once('close', hadError => {
			this.#sockets.delete(from);
			if (hadError) {
				to.resetAndDestroy();
			} else {
				later(() => {
					to.destroySoon();
				});
			}
		});
	}
}

function ignore(): void {
	// The close event that follows is handled.
}
