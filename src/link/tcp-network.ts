/**
 * The network between VMs over TCP.
 */
import {createServer, type Server, type Socket} from 'node:net';
import Result, {ok} from 'true-myth/result';
import {splitAddress} from '../base/address.js';
import {type Clock} from '../base/clock.js';
import {openConnection} from '../base/connecting.js';
import {listen} from '../base/listening.js';
import {type Log} from '../base/log.js';
import {LineChannel} from './line-channel.js';
import {
	type Channel, type ChannelEvents, ConnectFailure, LinkConnection, LinkNetwork,
} from './link-network.js';
import {type MessageDecoder} from './message-schemas.js';

/** Connect timeout, in ms; covers a round trip between regions, a lost packet and a busy CPU. */
const CONNECT_TIMEOUT_MS = 700;

/** Opens, accepts and tracks the sockets of one VM. */
export class TcpNetwork extends LinkNetwork {
	static create(clock: Clock, log: Log): TcpNetwork {
		return new TcpNetwork(clock, log);
	}

	readonly #clock: Clock;
	readonly #log: Log;
	readonly #sockets = new Set<Socket>();
	readonly #stopped = new AbortController();
	#server: Server | undefined;

	private constructor(clock: Clock, log: Log) {
		super();
		this.#clock = clock;
		this.#log = log;
	}

	async listen(address: string, onConnection: (connection: LinkConnection) => void): Promise<void> {
		const {host, port} = splitAddress(address);
		const server = createServer(socket => {
			this.#track(socket);
			onConnection(new TcpConnection(socket));
		});
		this.#server = server;
		await listen(server, {host, port}, {clock: this.#clock, log: this.#log, signal: this.#stopped.signal});
	}

	async connect(address: string): Promise<Result<LinkConnection, ConnectFailure>> {
		return new Promise(resolve => {
			let failure: ConnectFailure = ConnectFailure.Silent;
			const socket = openConnection(splitAddress(address));
			this.#track(socket);
			const timer = this.#clock.setTimer(CONNECT_TIMEOUT_MS, () => {
				socket.destroy();
			});
			const onError = (err: NodeJS.ErrnoException) => {
				if (err.code === 'ECONNREFUSED') {
					failure = ConnectFailure.Refused;
				}
			};

			const onClose = () => {
				timer.cancel();
				resolve(Result.err(failure));
			};

			socket.once('connect', () => {
				if (!socket.destroyed) {
					timer.cancel();
					socket.off('error', onError);
					socket.off('close', onClose);
					resolve(ok(new TcpConnection(socket)));
				}
			});
			socket.once('error', onError);
			socket.once('close', onClose);
		});
	}

	stop(): void {
		this.#stopped.abort();
		this.#server?.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#track(socket: Socket): void {
		this.#sockets.add(socket);
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
	}
}

class TcpConnection extends LinkConnection {
	readonly #socket: Socket;

	constructor(socket: Socket) {
		super();
		this.#socket = socket;
	}

	open<Sent, Received>(events: ChannelEvents<Received>, decode: MessageDecoder<Received>): Channel<Sent> {
		return LineChannel.create<Sent, Received>(this.#socket, events, decode);
	}
}
