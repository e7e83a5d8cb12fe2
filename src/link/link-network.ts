/**
 * Connections between VMs, as the coordination needs them: it runs alike over TCP and in a model without sockets.
 */
import {type Result} from 'true-myth/result';

/** What happens on a channel. */
export type ChannelEvents<Message> = {
	onMessage(message: Message): void;
	/** Called once, also when the channel is closed from this side. */
	onClose(): void;
};

/** One connection; messages arrive whole and in the order in which they were sent. */
export abstract class Channel<Sent> {
	abstract send(message: Sent): void;

	/** @param line - A message that was encoded once for several channels. */
	abstract sendLine(line: string): void;

	/** Sends what was given to it before, then closes. */
	abstract close(): void;
}

/** A connection whose messages nobody takes yet. */
export abstract class LinkConnection {
	/** Called once, in the turn in which the connection was given out. */
	abstract open<Sent, Received>(events: ChannelEvents<Received>): Channel<Sent>;
}

/** Why a connection did not come about. */
export const ConnectFailure = {
	/** Nothing listens there: the process is gone. */
	Refused: 'refused',
	/** No answer in time: the VM may be gone, cut off or busy. */
	Silent: 'silent',
} as const;

export type ConnectFailure = (typeof ConnectFailure)[keyof typeof ConnectFailure];

/** The network of one VM. */
export abstract class LinkNetwork {
	/**
	 * @param address - `IP:PORT` to listen at.
	 * @param onConnection - Called for each connection of another VM.
	 */
	abstract listen(address: string, onConnection: (connection: LinkConnection) => void): Promise<void>;

	/** @param address - `IP:PORT` of another VM. */
	abstract connect(address: string): Promise<Result<LinkConnection, ConnectFailure>>;

	/** Listens no more and breaks all connections off. */
	abstract stop(): void;
}

/** @returns A message as it is sent. */
export function encodeLine(message: unknown): string {
	return `${JSON.stringify(message)}\n`;
}
