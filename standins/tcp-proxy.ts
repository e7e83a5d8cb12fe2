/**
 * Loopback proxy that delays, silences, cuts or resets connections.
 */
import {
	type AddressInfo, createConnection, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout} from 'node:timers';
import {splitAddress} from '../src/base/address.js';

/** What happens to bytes and connections. */
export const ProxyMood = {
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

export type ProxyMood = (typeof ProxyMood)[keyof typeof ProxyMood];

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
	#mood: ProxyMood = ProxyMood.Pass;

	private constructor(target: string) {
		this.#target = target;
		this.#server = createServer({allowHalfOpen: true}, socket => {
			this.#accept(socket);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	setMood(mood: ProxyMood): void {
		this.#mood = mood;
		if (mood === ProxyMood.Reset) {
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
		if (this.#mood === ProxyMood.Reset) {
			caller.on('error', ignore);
			caller.resetAndDestroy();
			return;
		}

		const target = createConnection({...splitAddress(this.#target), allowHalfOpen: true});
		this.#join(caller, target, [ProxyMood.Silent]);
		this.#join(target, caller, [ProxyMood.Silent, ProxyMood.OneWay]);
	}

	#join(from: Socket, to: Socket, silentMoods: readonly ProxyMood[]): void {
		this.#sockets.add(from);
		// Bytes that a silence has swallowed are missing for good; the connection then delivers nothing further.
		let isBroken = false;
		const later = (action: () => void) => {
			isBroken ||= silentMoods.includes(this.#mood);
			if (isBroken) {
				return;
			}

			if (this.#mood === ProxyMood.Delay) {
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
