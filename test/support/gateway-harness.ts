/**
 * Test harness for a gateway on its own: it allocates for itself, and its upstreams are raw sockets whose responses the
 * test writes.
 */
import {Writable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {ok, type Result} from 'true-myth/result';
import {HeaderCodec} from '../../platform/header-codec.js';
import {SystemClock} from '../../src/base/clock.js';
import {Log, LogLevel} from '../../src/base/log.js';
import {Metrics} from '../../src/base/metrics.js';
import {Random} from '../../src/base/random.js';
import {Gateway} from '../../src/gateway/gateway.js';
import {type Route} from '../../src/gateway/routing-table.js';
import {type LeaderRecord, LeaderRegister} from '../../src/link/leader-register.js';
import {type Leader} from '../../src/link/messages.js';
import {type StoreVersion} from '../../src/link/store-version.js';
import {type StoreError} from '../../src/store/table.js';
import {eventually} from './eventually.js';
import {freePort} from './free-port.js';
import {createConfiguration, RawUpstream, type ReceivedRequest} from './front-harness.js';
import {RawConnection} from './raw-http.js';

const HOST = 'desk.example';

/** A record that one VM uses. */
class OwnRegister extends LeaderRegister {
	#record: LeaderRecord = {at: {era: 0, version: 0}, leader: undefined};

	async read(): Promise<Result<LeaderRecord, StoreError>> {
		return ok(this.#record);
	}

	async claim(candidate: Omit<Leader, 'term'>, {era, version}: StoreVersion): Promise<Result<LeaderRecord, StoreError>> {
		if (this.#record.leader === undefined) {
			const term = {era, version: version + 1};
			this.#record = {at: term, leader: {...candidate, term}};
		}

		return this.read();
	}
}

/** A request of a caller, or part of one. */
export type CallOptions = {
	/** The caller's own time limit, in ms. */
	readonly deadlineMs?: number;
	/** Number of bytes of a body. */
	readonly bodyBytes?: number;
	/** Time after the head at which the body is sent, in ms; `Infinity` for never. */
	readonly bodyDelayMs?: number;
};

/** What the caller of a request received. */
export type CallAnswer = {
	readonly id: string;
	/** 0 if the connection ended without an answer. */
	readonly status: number;
	/** All bytes that were received. */
	readonly text: string;
	/** Time from sending to the end of the connection, in ms. */
	readonly afterMs: number;
};

/** A gateway, and one upstream with many slots. */
export class GatewayHarness {
	/** Creates a gateway that has not been started. */
	static async create(graceMs: number, answer: (req: ReceivedRequest) => void): Promise<GatewayHarness> {
		const address = `127.0.0.1:${await freePort()}`;
		return new GatewayHarness(graceMs, address, `127.0.0.1:${await freePort()}`, await RawUpstream.start('u1', answer));
	}

	/**
	 * @param graceMs - Time that a planned stop may take, in ms.
	 * @param answer - Answers the requests that reach the upstream.
	 * @param route - Changes to the routes, which differ only in their operation.
	 */
	static async start(graceMs: number, answer: (req: ReceivedRequest) => void, route: Partial<Route> = {}): Promise<GatewayHarness> {
		const harness = await GatewayHarness.create(graceMs, answer);
		harness.gateway.start();
		const {state} = harness.gateway;
		state.applyConfiguration(createConfiguration({objectiveMs: 4000, maxAttempts: 1, ...route}));
		state.applyUpstreams({changed: [harness.upstream.toUpstream({slots: 50})], removed: []});
		await eventually(() => harness.gateway.isReady && harness.gateway.coordinator.role === 'leading');
		return harness;
	}

	readonly gateway: Gateway;
	readonly upstream: RawUpstream;
	readonly address: string;
	readonly log: string[] = [];
	#nextId = 1;

	private constructor(graceMs: number, address: string, linkAddress: string, upstream: RawUpstream) {
		this.upstream = upstream;
		this.address = address;
		const clock = SystemClock.create();
		this.gateway = Gateway.create({
			clock,
			random: Random.create(1),
			log: Log.create(LogLevel.Info, new Writable({
				write: (chunk: Uint8Array, _encoding, done) => {
					this.log.push(String(chunk));
					done();
				},
			})),
			metrics: Metrics.create(),
			codec: HeaderCodec.create(),
			register: new OwnRegister(),
			self: {
				name: 'vm', frontAddress: address, linkAddress, dataCentre: 'a', region: 'r', strength: 1, boot: 'b1', isReady: false,
			},
			seeds: [linkAddress],
			repeatBounds: {ratio: 0.2, slack: 50, windowMs: 10_000},
			quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000},
			graceMs,
			reachesStore: () => true,
			storeEra: () => 0,
			onVersion: () => undefined,
			onWatchNeeded: () => undefined,
		});
	}

	/** Whether a request reached the upstream. */
	hasRun(id: string): boolean {
		return this.upstream.received.some(req => req.id === id);
	}

	/** @returns The next ID and the bytes of its request, up to the body. */
	nextRequest(route: string, {deadlineMs = 20_000, bodyBytes = 0}: CallOptions = {}): {readonly id: string; readonly head: string} {
		const id = `r${this.#nextId}`;
		this.#nextId += 1;
		const length = bodyBytes === 0 ? '' : `Content-Length: ${bodyBytes}\r\n`;
		return {id, head: `${bodyBytes === 0 ? 'GET' : 'POST'} /${route}/${id} HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n${length}\r\n`};
	}

	/** Sends a request on a new connection and reads until that closes, which a stopping VM does after each answer. */
	async call(route: string, options: CallOptions = {}): Promise<CallAnswer> {
		const {id, head} = this.nextRequest(route, options);
		const sentAt = performance.now();
		const connection = RawConnection.open(this.address);
		connection.socket.write(head);
		const {bodyBytes = 0, bodyDelayMs = 0} = options;
		if (bodyBytes > 0 && Number.isFinite(bodyDelayMs)) {
			await sleep(bodyDelayMs);
			connection.socket.write('x'.repeat(bodyBytes));
		}

		await connection.closed();
		return {
			id, status: connection.statuses[0] ?? 0, text: connection.text, afterMs: performance.now() - sentAt,
		};
	}

	/** Ends the upstream, after the gateway has stopped. */
	close(): void {
		this.upstream.stop();
	}
}
