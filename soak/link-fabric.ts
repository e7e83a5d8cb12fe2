/**
 * The network between the VMs of a model, in virtual time: messages in order, with delays; directions that are cut; VMs
 * that are frozen or gone.
 */
import Result, {ok} from 'true-myth/result';
import {type Random} from '../src/base/random.js';
import {type VirtualClock} from '../src/base/virtual-clock.js';
import {
	Channel, type ChannelEvents, ConnectFailure, encodeLine, LinkConnection, LinkNetwork,
} from '../src/link/link-network.js';
import {type ProcessClock} from './process-clock.js';

/** A connection that is not answered fails after this time, in ms, as over TCP. */
const CONNECT_MS = 700;
/** One way between two VMs, in ms. */
const LATENCY_MS = {min: 1, max: 12} as const;

/** One running process of a VM. */
type Host = {
	readonly name: string;
	readonly clock: ProcessClock;
	readonly onConnection: (connection: LinkConnection) => void;
	readonly ends: Set<End>;
};

/** Changes what goes over the network, for deliberate breaks; `undefined` loses the line. */
export type Tamper = (line: string, from: string, to: string) => string | undefined;

/** All connections. */
export class LinkFabric {
	static create(clock: VirtualClock, random: Random, tamper?: Tamper): LinkFabric {
		return new LinkFabric(clock, random, tamper);
	}

	/** Messages that were delivered. */
	delivered = 0;
	readonly #clock: VirtualClock;
	readonly #random: Random;
	readonly #tamper: Tamper | undefined;
	readonly #hosts = new Map<string, Host>();
	readonly #cuts = new Set<string>();

	private constructor(clock: VirtualClock, random: Random, tamper?: Tamper) {
		this.#clock = clock;
		this.#random = random;
		this.#tamper = tamper;
	}

	/** @returns The network of one process. */
	networkOf(name: string, clock: ProcessClock): LinkNetwork {
		return new ModelNetwork(this, name, clock);
	}

	/** Nothing goes from one VM to another any more; what was sent arrives when the cut is over. */
	cut(from: string, to: string): void {
		this.#cuts.add(`${from}>${to}`);
	}

	heal(from: string, to: string): void {
		this.#cuts.delete(`${from}>${to}`);
		this.pump();
	}

	/** Delivers what waited for a cut or a frozen VM. */
	pump(): void {
		for (const {ends} of this.#hosts.values()) {
			for (const end of ends) {
				end.deliver();
			}
		}
	}

	isCut(from: string, to: string): boolean {
		return this.#cuts.has(`${from}>${to}`);
	}

	add(address: string, host: Host): void {
		this.#hosts.set(address, host);
	}

	/** A process ends: whatever it had open is closed. */
	remove(address: string, host: Host): void {
		if (this.#hosts.get(address) === host) {
			this.#hosts.delete(address);
		}

		for (const end of host.ends) {
			end.breakOff();
		}
	}

	latency(): number {
		return LATENCY_MS.min + (this.#random.next() * (LATENCY_MS.max - LATENCY_MS.min));
	}

	/** Connects as TCP does: the system of a frozen VM answers for it. */
	async connect(from: Host, address: string): Promise<Result<LinkConnection, ConnectFailure>> {
		const host = this.#hosts.get(address);
		const isSilent = host !== undefined && (this.isCut(from.name, host.name) || this.isCut(host.name, from.name));
		await from.clock.sleep(isSilent ? CONNECT_MS : 2 * this.latency());
		if (isSilent) {
			return Result.err(ConnectFailure.Silent);
		}

		const target = this.#hosts.get(address);
		if (target === undefined || target !== host) {
			return Result.err(ConnectFailure.Refused);
		}

		const near = new End(this, this.#clock, from, target);
		const far = new End(this, this.#clock, target, from);
		near.other = far;
		far.other = near;
		from.ends.add(near);
		target.ends.add(far);
		target.clock.setTimer(0, () => {
			target.onConnection(new ModelConnection(far));
		});
		return ok(new ModelConnection(near));
	}

	pass(line: string, from: string, to: string): string | undefined {
		this.delivered += 1;
		return this.#tamper === undefined ? line : this.#tamper(line, from, to);
	}
}

/** One end of a connection; holds what is on its way to it. */
class End {
	other: End | undefined;
	events: ChannelEvents<unknown> | undefined;
	readonly #fabric: LinkFabric;
	readonly #clock: VirtualClock;
	readonly #host: Host;
	readonly #peer: Host;
	/** Lines in order; `undefined` is the end of the connection. */
	readonly #arriving: Array<{readonly line: string | undefined; readonly at: number}> = [];
	#isClosed = false;

	constructor(fabric: LinkFabric, clock: VirtualClock, host: Host, peer: Host) {
		this.#fabric = fabric;
		this.#clock = clock;
		this.#host = host;
		this.#peer = peer;
	}

	/** Sends to the other end; `undefined` closes it. */
	send(line: string | undefined): void {
		if (!this.#isClosed) {
			this.other!.arrive(line);
		}
	}

	close(): void {
		if (!this.#isClosed) {
			this.send(undefined);
			this.#end();
		}
	}

	/** The process at this end is gone. */
	breakOff(): void {
		this.send(undefined);
		this.#isClosed = true;
	}

	arrive(line: string | undefined): void {
		const at = Math.max(this.#arriving.at(-1)?.at ?? 0, this.#clock.now() + this.#fabric.latency());
		this.#arriving.push({line, at});
		this.#clock.setTimer(at - this.#clock.now(), () => {
			this.deliver();
		});
	}

	deliver(): void {
		while (!this.#isClosed && this.events !== undefined && !this.#host.clock.isPaused && !this.#fabric.isCut(this.#peer.name, this.#host.name)) {
			const next = this.#arriving[0];
			if (next === undefined || next.at > this.#clock.now()) {
				return;
			}

			this.#arriving.shift();
			if (next.line === undefined) {
				this.#end();
				return;
			}

			const line = this.#fabric.pass(next.line, this.#peer.name, this.#host.name);
			if (line !== undefined) {
				this.events.onMessage(JSON.parse(line));
			}
		}
	}

	#end(): void {
		this.#isClosed = true;
		this.#host.ends.delete(this);
		this.events?.onClose();
	}
}

class ModelConnection extends LinkConnection {
	readonly #end: End;

	constructor(end: End) {
		super();
		this.#end = end;
	}

	open<Sent, Received>(events: ChannelEvents<Received>): Channel<Sent> {
		this.#end.events = events;
		return new ModelChannel<Sent>(this.#end);
	}
}

class ModelChannel<Sent> extends Channel<Sent> {
	readonly #end: End;

	constructor(end: End) {
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

class ModelNetwork extends LinkNetwork {
	readonly #fabric: LinkFabric;
	readonly #name: string;
	readonly #clock: ProcessClock;
	#address = '';
	#host: Host | undefined;

	constructor(fabric: LinkFabric, name: string, clock: ProcessClock) {
		super();
		this.#fabric = fabric;
		this.#name = name;
		this.#clock = clock;
	}

	async listen(address: string, onConnection: (connection: LinkConnection) => void): Promise<void> {
		this.#address = address;
		this.#host = {
			name: this.#name, clock: this.#clock, onConnection, ends: new Set(),
		};
		this.#fabric.add(address, this.#host);
	}

	async connect(address: string): Promise<Result<LinkConnection, ConnectFailure>> {
		return this.#fabric.connect(this.#host!, address);
	}

	stop(): void {
		if (this.#host !== undefined) {
			this.#fabric.remove(this.#address, this.#host);
		}
	}
}
