/**
 * Simulated network between VMs in virtual time. Messages on a connection arrive in order and with a delay. A direction
 * between two VMs can be blocked, and VMs can be paused or end.
 */
import Result, {ok} from 'true-myth/result';
import {type Random} from '../src/base/random.js';
import {type VirtualClock} from '../src/base/virtual-clock.js';
import {
	Channel, type ChannelEvents, ConnectFailure, encodeLine, LinkConnection, LinkNetwork,
} from '../src/link/link-network.js';
import {type MessageDecoder} from '../src/link/message-schemas.js';
import {type ProcessClock} from './process-clock.js';

/** Time after which an unanswered connection attempt fails, in ms, as with TCP. */
const CONNECT_TIMEOUT_MS = 700;
/** One-way latency between two VMs, in ms. */
const LATENCY_MS = {min: 1, max: 12} as const;

/** One running process of a VM, as the network sees it. */
type Host = {
	readonly name: string;
	readonly clock: ProcessClock;
	readonly onConnection: (connection: LinkConnection) => void;
	readonly connectionEnds: Set<ConnectionEnd>;
};

/** Modifies messages in transit, for injected defects; `undefined` drops the line. */
export type MessageFilter = (line: string, from: string, to: string) => string | undefined;

/** The network of all VMs. */
export class SimulatedNetwork {
	static create(clock: VirtualClock, random: Random, filter?: MessageFilter): SimulatedNetwork {
		return new SimulatedNetwork(clock, random, filter);
	}

	/** Number of delivered messages. */
	deliveredCount = 0;
	readonly #clock: VirtualClock;
	readonly #random: Random;
	readonly #filter: MessageFilter | undefined;
	readonly #hosts = new Map<string, Host>();
	readonly #blockedDirections = new Set<string>();

	private constructor(clock: VirtualClock, random: Random, filter?: MessageFilter) {
		this.#clock = clock;
		this.#random = random;
		this.#filter = filter;
	}

	/** @returns The network interface of one process. */
	createHostNetwork(name: string, clock: ProcessClock): LinkNetwork {
		return new HostNetwork(this, name, clock);
	}

	/** Blocks one direction between two VMs; messages sent meanwhile arrive once it is unblocked. */
	block(from: string, to: string): void {
		this.#blockedDirections.add(`${from}>${to}`);
	}

	unblock(from: string, to: string): void {
		this.#blockedDirections.delete(`${from}>${to}`);
		this.deliverPending();
	}

	/** Delivers messages that were held back by a blocked direction or a paused VM. */
	deliverPending(): void {
		for (const {connectionEnds} of this.#hosts.values()) {
			for (const end of connectionEnds) {
				end.deliver();
			}
		}
	}

	isBlocked(from: string, to: string): boolean {
		return this.#blockedDirections.has(`${from}>${to}`);
	}

	add(address: string, host: Host): void {
		this.#hosts.set(address, host);
	}

	/** Removes a process that has ended and closes its connections. */
	remove(address: string, host: Host): void {
		if (this.#hosts.get(address) === host) {
			this.#hosts.delete(address);
		}

		for (const end of host.connectionEnds) {
			end.abort();
		}
	}

	latency(): number {
		return LATENCY_MS.min + (this.#random.next() * (LATENCY_MS.max - LATENCY_MS.min));
	}

	/** Connects as TCP does: the kernel accepts connections even while the process is paused. */
	async connect(from: Host, address: string): Promise<Result<LinkConnection, ConnectFailure>> {
		const host = this.#hosts.get(address);
		const isUnresponsive = host !== undefined && (this.isBlocked(from.name, host.name) || this.isBlocked(host.name, from.name));
		await from.clock.sleep(isUnresponsive ? CONNECT_TIMEOUT_MS : 2 * this.latency());
		if (isUnresponsive) {
			return Result.err(ConnectFailure.Silent);
		}

		const target = this.#hosts.get(address);
		if (target === undefined || target !== host) {
			return Result.err(ConnectFailure.Refused);
		}

		const localEnd = new ConnectionEnd(this, this.#clock, from, target);
		const remoteEnd = new ConnectionEnd(this, this.#clock, target, from);
		localEnd.remote = remoteEnd;
		remoteEnd.remote = localEnd;
		from.connectionEnds.add(localEnd);
		target.connectionEnds.add(remoteEnd);
		target.clock.setTimer(0, () => {
			target.onConnection(new SimulatedConnection(remoteEnd));
		});
		return ok(new SimulatedConnection(localEnd));
	}

	applyFilter(line: string, from: string, to: string): string | undefined {
		this.deliveredCount += 1;
		return this.#filter === undefined ? line : this.#filter(line, from, to);
	}
}

/** One end of a connection, with the messages in transit to it. */
class ConnectionEnd {
	remote: ConnectionEnd | undefined;
	events: ChannelEvents<unknown> | undefined;
	decode: MessageDecoder<unknown> | undefined;
	readonly #network: SimulatedNetwork;
	readonly #clock: VirtualClock;
	readonly #host: Host;
	readonly #peer: Host;
	/** Messages as lines, in order; `undefined` marks the end of the connection. */
	readonly #inTransit: Array<{readonly line: string | undefined; readonly at: number}> = [];
	#isClosed = false;

	constructor(network: SimulatedNetwork, clock: VirtualClock, host: Host, peer: Host) {
		this.#network = network;
		this.#clock = clock;
		this.#host = host;
		this.#peer = peer;
	}

	/** Sends a line to the remote end; `undefined` closes the connection. */
	send(line: string | undefined): void {
		if (!this.#isClosed) {
			this.remote!.enqueue(line);
		}
	}

	close(): void {
		if (!this.#isClosed) {
			this.send(undefined);
			this.#finish();
		}
	}

	/** Closes the connection without events at this end, whose process has ended. */
	abort(): void {
		this.send(undefined);
		this.#isClosed = true;
	}

	enqueue(line: string | undefined): void {
		const at = Math.max(this.#inTransit.at(-1)?.at ?? 0, this.#clock.now() + this.#network.latency());
		this.#inTransit.push({line, at});
		this.#clock.setTimer(at - this.#clock.now(), () => {
			this.deliver();
		});
	}

	deliver(): void {
		while (!this.#isClosed && this.events !== undefined && !this.#host.clock.isPaused && !this.#network.isBlocked(this.#peer.name, this.#host.name)) {
			const next = this.#inTransit[0];
			if (next === undefined || next.at > this.#clock.now()) {
				return;
			}

			this.#inTransit.shift();
			if (next.line === undefined) {
				this.#finish();
				return;
			}

			const line = this.#network.applyFilter(next.line, this.#peer.name, this.#host.name);
			if (line !== undefined) {
				const message = this.decode!(JSON.parse(line));
				if (message.isErr) {
					throw new Error(`${this.#peer.name} sent a message that ${this.#host.name} cannot use: ${message.error}: ${line}`);
				}

				if (message.value !== undefined) {
					this.events.onMessage(message.value);
				}
			}
		}
	}

	#finish(): void {
		this.#isClosed = true;
		this.#host.connectionEnds.delete(this);
		this.events?.onClose();
	}
}

class SimulatedConnection extends LinkConnection {
	readonly #end: ConnectionEnd;

	constructor(end: ConnectionEnd) {
		super();
		this.#end = end;
	}

	open<Sent, Received>(events: ChannelEvents<Received>, decode: MessageDecoder<Received>): Channel<Sent> {
		this.#end.events = events;
		this.#end.decode = decode;
		return new SimulatedChannel<Sent>(this.#end);
	}
}

class SimulatedChannel<Sent> extends Channel<Sent> {
	readonly #end: ConnectionEnd;

	constructor(end: ConnectionEnd) {
		super();
		this.#end = end;
	}

	send(message: Sent): void {
		this.sendLine(encodeLine(message));
	}

	sendLine(line: string): void {
		this.#end.send(line);
	}

	close(): void {
		this.#end.close();
	}
}

class HostNetwork extends LinkNetwork {
	readonly #network: SimulatedNetwork;
	readonly #name: string;
	readonly #clock: ProcessClock;
	#address = '';
	#host: Host | undefined;

	constructor(network: SimulatedNetwork, name: string, clock: ProcessClock) {
		super();
		this.#network = network;
		this.#name = name;
		this.#clock = clock;
	}

	async listen(address: string, onConnection: (connection: LinkConnection) => void): Promise<void> {
		this.#address = address;
		this.#host = {
			name: this.#name, clock: this.#clock, onConnection, connectionEnds: new Set(),
		};
		this.#network.add(address, this.#host);
	}

	async connect(address: string): Promise<Result<LinkConnection, ConnectFailure>> {
		return this.#network.connect(this.#host!, address);
	}

	stop(): void {
		if (this.#host !== undefined) {
			this.#network.remove(this.#address, this.#host);
		}
	}
}
