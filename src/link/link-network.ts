/**
 * Abstract network between VMs, so that the coordination code runs both over TCP and in a simulation without sockets.
 */
import {type Result} from 'true-myth/result';
import {type MessageDecoder} from './message-schemas.js';

/** Handlers of a channel's events. */
export type ChannelEvents<Message> = {
	onMessage(message: Message): void;
	/** Something that is not usable as a message arrived; the channel closes. */
	onUnusable?(reason: string): void;
	/** Called once, also when the channel is closed from this side. */
	onClose(): void;
};

/** A message stream over one connection; messages arrive whole and in the order in which they were sent. */
export abstract class Channel<Sent> {
	abstract send(message: Sent): void;

	/** @param line - An encoded message, so that a message for several channels is encoded only once. */
	abstract sendLine(line: string): void;

	/** Sends pending messages, then closes the connection. */
	abstract close(): void;
}

/** An established connection without message handlers. */
export abstract class LinkConnection {
	/**
	 * Must be called once, in the event-loop turn in which the connection was handed out.
	 *
	 * @param decode - Checks what arrives.
	 */
	abstract open<Sent, Received>(events: ChannelEvents<Received>, decode: MessageDecoder<Received>): Channel<Sent>;
}

/** Why a connection attempt failed. */
export const ConnectFailure = {
	/** Nothing listens at the address: the process is not running. */
	Refused: 'refused',
	/** No answer in time: the VM may be down, unreachable or overloaded. */
	Silent: 'silent',
} as const;

export type ConnectFailure = (typeof ConnectFailure)[keyof typeof ConnectFailure];

/** Opens and accepts the connections of one VM. */
export abstract class LinkNetwork {
	/**
	 * @param address - `IP:PORT` to listen at.
	 * @param onConnection - Called for each accepted connection.
	 */
	abstract listen(address: string, onConnection: (connection: LinkConnection) => void): Promise<void>;

	/** @param address - `IP:PORT` of another VM. */
	abstract connect(address: string): Promise<Result<LinkConnection, ConnectFailure>>;

	/** Stops listening and aborts all connections. */
	abstract stop(): void;
}

/** @returns The message as a line of JSON. */
export function encodeLine(message: unknown): string {
	return `${JSON.stringify(message)}\n`;
}
