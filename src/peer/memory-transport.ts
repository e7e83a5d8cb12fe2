/**
 * In-memory peer transport with a given clock and seeded faults, for randomised tests and benchmarks. Messages are encoded
 * and decoded as on the wire.
 */
import {
	create, fromBinary, toBinary, type DescMessage, type MessageInitShape, type MessageShape,
} from '@bufbuild/protobuf';
import Result from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {type Random} from '../base/random.js';
import {PeerService} from './generated/redwingspool/peer/v1/peer_pb.js';
import {
	PeerErrorKind, PeerTransport, type PeerError, type PeerHandlers, type PeerMethod, type PeerRequestInit, type PeerResponse,
} from './peer-transport.js';

/** Faults and delay of the messages from one node to another. */
export type LinkBehaviour = {
	/** Probability that a message is lost, from 0 to 1. */
	readonly loss: number;
	/** Probability that a request arrives twice, from 0 to 1. */
	readonly duplication: number;
	/** Returns the delay of a message in ms; different delays reorder messages. */
	delayMs(): number;
};

/** Number of messages and bytes that one node sent. */
export type SentTraffic = {
	messages: number;
	bytes: number;
};

type Endpoint = {
	readonly handlers: PeerHandlers;
	readonly sent: SentTraffic;
};

type Handler = (req: unknown) => unknown;

/** Connects in-memory transports. */
export class MemoryNetwork {
	/**
	 * @param link - Returns the behaviour of the link between two addresses; `undefined` if they cannot reach each other.
	 */
	static create(clock: Clock, random: Random, link: (from: string, to: string) => LinkBehaviour | undefined): MemoryNetwork {
		return new MemoryNetwork(clock, random, link);
	}

	readonly clock: Clock;
	readonly #random: Random;
	readonly #link: (from: string, to: string) => LinkBehaviour | undefined;
	readonly #endpoints = new Map<string, Endpoint>();

	private constructor(clock: Clock, random: Random, link: (from: string, to: string) => LinkBehaviour | undefined) {
		this.clock = clock;
		this.#random = random;
		this.#link = link;
	}

	/** Makes a node reachable. Replaces the node that had the address. */
	attach(address: string, handlers: PeerHandlers): MemoryTransport {
		this.#endpoints.set(address, {handlers, sent: this.#endpoints.get(address)?.sent ?? {messages: 0, bytes: 0}});
		return MemoryTransport.create(this, address);
	}

	/** Makes a node unreachable, as after a crash. */
	detach(address: string): void {
		this.#endpoints.delete(address);
	}

	/** Returns what a node has sent so far, including responses. */
	sentBy(address: string): Readonly<SentTraffic> {
		return this.#endpoints.get(address)?.sent ?? {messages: 0, bytes: 0};
	}

	/** Sends a message over a link, which may delay, duplicate or drop it. */
	send(from: string, to: string, bytes: Uint8Array, deliver: (handlers: PeerHandlers) => void): void {
		const sender = this.#endpoints.get(from);
		if (!sender) {
			return;
		}

		sender.sent.messages += 1;
		sender.sent.bytes += bytes.length;
		const link = this.#link(from, to);
		if (!link || this.#random.next() < link.loss) {
			return;
		}

		const copies = this.#random.next() < link.duplication ? 2 : 1;
		for (let copy = 0; copy < copies; copy += 1) {
			this.clock.setTimer(link.delayMs(), () => {
				const receiver = this.#endpoints.get(to);
				if (receiver) {
					deliver(receiver.handlers);
				}
			});
		}
	}
}

/** The transport of one node of a `MemoryNetwork`. */
export class MemoryTransport extends PeerTransport {
	static create(network: MemoryNetwork, address: string): MemoryTransport {
		return new MemoryTransport(network, address);
	}

	readonly #network: MemoryNetwork;
	readonly #address: string;
	#isClosed = false;

	private constructor(network: MemoryNetwork, address: string) {
		super();
		this.#network = network;
		this.#address = address;
	}

	async call<Method extends PeerMethod>(address: string, method: Method, req: PeerRequestInit<Method>, timeoutMs: number): Promise<Result<PeerResponse<Method>, PeerError>> {
		const {input, output} = PeerService.method[method] as {input: DescMessage; output: DescMessage};
		const bytes = encode(input, req);
		return new Promise(resolve => {
			const timer = this.#network.clock.setTimer(timeoutMs, () => {
				resolve(Result.err({kind: PeerErrorKind.Unreachable, detail: 'No response before the timeout.'}));
			});
			const onResponse = (response: Uint8Array) => {
				timer.cancel();
				if (!this.#isClosed) {
					resolve(Result.ok(fromBinary(output, response) as PeerResponse<Method>));
				}
			};

			this.#network.send(this.#address, address, bytes, handlers => {
				// eslint-disable-next-line @typescript-eslint/no-floating-promises -- a handler that fails ends the run of a test
				void this.#serve(address, handlers[method] as Handler | undefined, fromBinary(input, bytes), {output, answer: onResponse});
			});
		});
	}

	close(): void {
		this.#isClosed = true;
	}

	async #serve(address: string, handler: Handler | undefined, req: MessageShape<DescMessage>, reply: {output: DescMessage; answer: (response: Uint8Array) => void}): Promise<void> {
		const response = await handler?.(req);
		if (response !== undefined) {
			const bytes = encode(reply.output, response as MessageInitShape<DescMessage>);
			this.#network.send(address, this.#address, bytes, () => {
				reply.answer(bytes);
			});
		}
	}
}

function encode(schema: DescMessage, message: MessageInitShape<DescMessage>): Uint8Array {
	return toBinary(schema, create(schema, message));
}
