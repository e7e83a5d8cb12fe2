/**
 * Callers that use one connection for many requests, in every way that the protocol allows, until the VM closes it.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Random} from '../src/base/random.js';
import {CallerConnection} from './caller-connection.js';
import {extraPrefixes, versionPrefix} from './operator.js';
import {type CallOptions, CALLER_PATIENCE_MS, type PlatformDeployment} from './platform-deployment.js';
import {type CallKind, type SentCall} from './sent-call.js';
import {type VmProcess} from './vm-process.js';

const CONNECT_TIMEOUT_MS = 1000;
/** Requests on a connection unless the VM closes it before. */
const MAX_REQUESTS = 12;
const MAX_REQUESTS_TOGETHER = 4;
/** Longest pause between two pieces of a request, in ms. */
const MAX_PIECE_INTERVAL_MS = 250;
const MAX_PIECES = 4;
/** How long a slow reader reads nothing, in ms, and how many bytes it is sent, which no buffer on the way holds. */
const READ_PAUSE_MS = {min: 200, max: 900} as const;
const SLOW_READER_BYTES = 5_000_000;
/** Size of a long body, in bytes; below every limit but the lowest. */
const LONG_BODY_BYTES = 3000;
/** Time after which a caller sends its body though it was not asked to, in ms. */
const CONTINUE_TIMEOUT_MS = 1000;
/** How far from the idle limit a request is sent, in ms. */
const IDLE_SPREAD_MS = 40;
/** Longest idle limit that a caller waits for, in ms. */
const MAX_IDLE_WAIT_MS = 2000;
/** Service times of slow requests, in ms; below the shortest time-out of a route. */
const SLOW_SERVICE_MS = {min: 300, max: 1000} as const;

/** Share of the safe requests that show which configuration is in force. */
const PROBE_SHARE = 0.4;

type Style = (session: Session) => Promise<void>;

const styles = {
	async whole(session: Session) {
		await session.sendPieces(session.create(), 1);
	},
	async pieces(session: Session) {
		await session.sendPieces(session.create({kind: 'unsafe', bodyBytes: LONG_BODY_BYTES}), session.random.integer(2, MAX_PIECES));
	},
	async chunks(session: Session) {
		await session.sendPieces(session.create({kind: 'unsafe', bodyBytes: LONG_BODY_BYTES}), session.random.integer(2, MAX_PIECES), {isChunked: true});
	},
	async splitHead(session: Session) {
		await session.sendSplitHead(session.create());
	},
	async expectContinue(session: Session) {
		await session.sendExpecting(session.create({kind: 'unsafe', bodyBytes: LONG_BODY_BYTES}));
	},
	async together(session: Session) {
		await session.sendTogether();
	},
	async slowReader(session: Session) {
		await session.readSlowly();
	},
	async afterIdleLimit(session: Session) {
		await session.waitForIdleLimit();
		await session.sendPieces(session.create(), 1);
	},
} as const satisfies Record<string, Style>;

/** The styles as often as they are chosen: those that take long, or many bytes, are rarer. */
const commonStyles: readonly Style[] = [styles.whole, styles.pieces, styles.chunks, styles.splitHead, styles.expectContinue, styles.together];
const styleChoices: readonly Style[] = [styles.slowReader, styles.afterIdleLimit, ...Array.from({length: 5}, () => commonStyles).flat()];

/** One connection of a caller. */
class Session {
	readonly random: Random;
	readonly #deployment: PlatformDeployment;
	readonly #vm: VmProcess;
	readonly #connection: CallerConnection;

	constructor(deployment: PlatformDeployment, random: Random, vm: VmProcess, connection: CallerConnection) {
		this.#deployment = deployment;
		this.random = random;
		this.#vm = vm;
		this.#connection = connection;
	}

	create(options: CallOptions & {readonly kind?: CallKind} = {}): SentCall {
		const kind = options.kind ?? this.random.pick(['unsafe', 'safe', 'stream'] as const);
		const isSlow = this.random.next() < 0.2;
		const {version} = this.#deployment.operator.manifest;
		const isProbe = kind === 'safe' && this.random.next() < PROBE_SHARE;
		return this.#deployment.createCall(this.#vm, kind, {
			...(isProbe ? {prefix: this.random.pick([versionPrefix(version), versionPrefix(version - 1), ...extraPrefixes])} : {}),
			apiKey: this.random.pick(['key-1', 'key-1', 'key-1', 'key-2', 'key-3']),
			...(isSlow ? {query: `ms=${this.random.integer(SLOW_SERVICE_MS.min, SLOW_SERVICE_MS.max)}`} : {}),
			...options,
		});
	}

	/** Sends the head and the body in pieces, with pauses between them. */
	async sendPieces(call: SentCall, pieceCount: number, {isChunked = false} = {}): Promise<void> {
		const size = Math.max(1, Math.ceil(call.body.length / pieceCount));
		const pieces = Array.from({length: Math.ceil(call.body.length / size)}, (_, index) => call.body.slice(index * size, (index + 1) * size));
		const parts = isChunked ? [...pieces.map(piece => `${piece.length.toString(16)}\r\n${piece}\r\n`), '0\r\n\r\n'] : pieces;
		const head = this.#head(call, isChunked ? {'transfer-encoding': 'chunked'} : {});
		await this.#send(call, pieceCount === 1 ? [head + parts.join('')] : [head, ...parts]);
	}

	async sendSplitHead(call: SentCall): Promise<void> {
		const text = this.#head(call) + call.body;
		const at = this.random.integer(1, text.length - 1);
		await this.#send(call, [text.slice(0, at), text.slice(at)]);
	}

	/** Sends the body when the VM asks for it, and never after a final answer. */
	async sendExpecting(call: SentCall): Promise<void> {
		let proceed = () => undefined as void;
		const mayProceed = new Promise<void>(resolve => {
			proceed = resolve;
		});
		const answered = this.#await(call, proceed);
		call.startedAt = performance.now();
		this.#connection.write(this.#head(call, {expect: '100-continue'}));
		await Promise.race([mayProceed, answered, sleep(CONTINUE_TIMEOUT_MS)]);
		if (Number.isNaN(call.endedAt) && this.#connection.write(call.body)) {
			call.sentAt = performance.now();
		}

		await answered;
		this.#closeIfUnsent(call);
	}

	/** Sends several requests in one write, at times with one in their middle that closes the connection. */
	async sendTogether(): Promise<void> {
		const count = this.random.integer(2, MAX_REQUESTS_TOGETHER);
		const calls = Array.from({length: count}, (_, index) => this.create({followsOpenRequest: index > 0}));
		const lastOne = this.random.next() < 0.25 ? this.random.integer(0, count - 1) : undefined;
		const text = calls.map((call, index) => this.#head(call, index === lastOne ? {connection: 'close'} : {}) + call.body).join('');
		const answers = calls.map(async call => this.#await(call));
		const isSent = this.#connection.write(text);
		for (const call of calls) {
			call.startedAt = performance.now();
			call.sentAt = isSent ? performance.now() : Number.NaN;
		}

		await Promise.all(answers);
	}

	/** Reads nothing for a time while a long answer arrives. */
	async readSlowly(): Promise<void> {
		const call = this.create({kind: 'safe', query: `bytes=${SLOW_READER_BYTES}`});
		this.#connection.pause();
		const sent = this.sendPieces(call, 1);
		await sleep(this.random.integer(READ_PAUSE_MS.min, READ_PAUSE_MS.max));
		this.#connection.resume();
		await sent;
	}

	async waitForIdleLimit(): Promise<void> {
		const {idleTimeoutMs} = this.#deployment.operator.manifest.limits;
		if (idleTimeoutMs <= MAX_IDLE_WAIT_MS) {
			await sleep(idleTimeoutMs + this.random.integer(-IDLE_SPREAD_MS, IDLE_SPREAD_MS));
		}
	}

	#head(call: SentCall, extraHeaders: Record<string, string> = {}): string {
		const length = call.body === '' || extraHeaders['transfer-encoding'] !== undefined ? {} : {'content-length': String(call.body.length)};
		const headers = Object.entries({...this.#deployment.headersOf(call), ...length, ...extraHeaders});
		return `${call.method} ${call.target} HTTP/1.1\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
	}

	async #send(call: SentCall, parts: readonly string[]): Promise<void> {
		const answered = this.#await(call);
		call.startedAt = performance.now();
		for (const [index, part] of parts.entries()) {
			if (index > 0) {
				await sleep(this.random.integer(1, MAX_PIECE_INTERVAL_MS)); // eslint-disable-line no-await-in-loop -- paces the pieces
			}

			// A request that was answered before its end is over.
			if (!Number.isNaN(call.endedAt) || !this.#connection.write(part)) {
				break;
			}

			if (index === parts.length - 1) {
				call.sentAt = performance.now();
			}
		}

		await answered;
		this.#closeIfUnsent(call);
	}

	/** What a VM reads on a connection next is undefined if it answered a request whose body was not sent completely. */
	#closeIfUnsent(call: SentCall): void {
		if (Number.isNaN(call.sentAt)) {
			this.#connection.close();
		}
	}

	/** Waits for the answer, or leaves after `CALLER_PATIENCE_MS`. */
	async #await(call: SentCall, onContinue?: () => void): Promise<void> {
		const timer = setTimeout(() => {
			call.hasCallerLeft = true;
			this.#connection.close();
		}, CALLER_PATIENCE_MS);
		const answer = await this.#connection.answer(onContinue);
		clearTimeout(timer);
		this.#deployment.endCall(call, answer);
	}
}

/** Opens a connection to a VM and sends requests on it until the VM closes it, `MAX_REQUESTS` at most. */
export async function callOnConnection(deployment: PlatformDeployment, random: Random, vm: VmProcess): Promise<void> {
	const connection = await CallerConnection.open(vm.front, CONNECT_TIMEOUT_MS);
	if (connection === undefined) {
		return;
	}

	const session = new Session(deployment, random, vm, connection);
	for (let count = 0; count < MAX_REQUESTS && connection.isOpen; count += 1) {
		await random.pick(styleChoices)(session); // eslint-disable-line no-await-in-loop -- one after the other on a connection
	}

	connection.close();
	deployment.check(connection.surplus === '', `a caller of ${vm.name} received bytes that no request waited for: ${connection.surplus.slice(0, 80)}`);
}
