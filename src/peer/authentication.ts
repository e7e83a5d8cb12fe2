/**
 * Shared-key authentication of messages between nodes.
 *
 * Protects against: a party without the key that joins, sends or reads decisions as a peer; a modified message; a
 * message that is recorded and replayed to the same process, to another one or to a successor of either; a response to
 * a different request. Does not encrypt the content and does not distinguish holders of the key from each other; use
 * mutual TLS for that.
 *
 * Each receiving process has a random session ID that requests must contain, and rejects a sequence number that it has
 * already seen from the sending process. A sender learns the session ID from the signed refusal of its first message.
 */
import {Buffer} from 'node:buffer';
import {
	createHmac, randomBytes, randomUUID, timingSafeEqual,
} from 'node:crypto';
import {LRUCache} from 'lru-cache';

/** Header names of an authenticated message. */
export const AuthHeader = {
	Process: 'redwingspool-process',
	Incarnation: 'redwingspool-incarnation',
	Session: 'redwingspool-session',
	Sequence: 'redwingspool-sequence',
	Nonce: 'redwingspool-nonce',
	Mac: 'redwingspool-mac',
} as const;

/** Header fields of one message that the MAC covers. */
export type AuthFields = {
	/** Random ID of the sending process. */
	readonly process: string;
	readonly incarnation: string;
	/** Session ID of the process that handles the request, in requests and responses. */
	readonly session: string;
	/** Sequence number of the request; the response repeats it. */
	readonly sequence: string;
	/** Random value of the request; the response repeats it. */
	readonly nonce: string;
};

/** Why a message was rejected. */
export const AuthFailure = {
	Missing: 'missing',
	WrongMac: 'wrong-mac',
	OtherSession: 'other-session',
	Replayed: 'replayed',
} as const;

export type AuthFailure = (typeof AuthFailure)[keyof typeof AuthFailure];

const NONCE_BYTES = 16;
const REPLAY_WINDOW_SIZE = 1024n;
const REPLAY_WINDOW_MASK = (2n ** REPLAY_WINDOW_SIZE) - 1n;
const MAX_TRACKED_SENDERS = 4096;
const MIN_KEY_BYTES = 16;

type ReplayWindow = {highest: bigint; seen: bigint};

/** Signs and verifies messages for one process. */
export class Authenticator {
	/**
	 * @param key - Shared key of the deployment, at least 16 bytes.
	 * @param incarnation - Returns the current incarnation of this node.
	 */
	static create(key: Uint8Array, incarnation: () => number): Authenticator {
		if (key.length < MIN_KEY_BYTES) {
			throw new RangeError(`The shared key has ${key.length} bytes; at least ${MIN_KEY_BYTES} are required.`);
		}

		return new Authenticator(key, incarnation);
	}

	readonly process = randomUUID();
	#session = randomUUID();
	#sequence = 0n;
	readonly #key: Uint8Array;
	readonly #incarnation: () => number;
	readonly #replayWindows = new LRUCache<string, ReplayWindow>({
		max: MAX_TRACKED_SENDERS,
		// Messages of an evicted sender could be replayed; a new session ID invalidates all recorded messages.
		dispose: (_window, _sender, reason) => {
			if (reason === 'evict') {
				this.#session = randomUUID();
			}
		},
	});

	private constructor(key: Uint8Array, incarnation: () => number) {
		this.#key = key;
		this.#incarnation = incarnation;
	}

	/** The session ID that requests to this process must contain. */
	get session(): string {
		return this.#session;
	}

	/**
	 * @param session - Session ID of the receiving process, or an empty text if it is not known yet.
	 * @returns The fields of a new request.
	 */
	nextRequestFields(session: string): AuthFields {
		this.#sequence += 1n;
		return {
			process: this.process,
			incarnation: String(this.#incarnation()),
			session,
			sequence: String(this.#sequence),
			nonce: randomBytes(NONCE_BYTES).toString('base64url'),
		};
	}

	/** @returns The fields of the response to a request. */
	responseFields(request: AuthFields): AuthFields {
		return {
			process: this.process,
			incarnation: String(this.#incarnation()),
			session: this.#session,
			sequence: request.sequence,
			nonce: request.nonce,
		};
	}

	/**
	 * Computes the MAC of a message.
	 *
	 * @param direction - `request`, `response` or `refusal`, so that a message of one kind cannot be replayed as another.
	 * @param method - Name of the RPC method.
	 */
	sign(direction: string, method: string, fields: AuthFields, body: Uint8Array): string {
		const mac = createHmac('sha256', this.#key);
		mac.update(JSON.stringify([direction, method, fields.process, fields.incarnation, fields.session, fields.sequence, fields.nonce]));
		mac.update(body);
		return mac.digest('base64url');
	}

	/** Verifies a request and records its sequence number, so that a replay is rejected. */
	verifyRequest(method: string, fields: AuthFields, body: Uint8Array, mac: string): AuthFailure | undefined {
		if (!this.#isMacValid('request', method, {fields, body, mac})) {
			return AuthFailure.WrongMac;
		}

		if (fields.session !== this.#session) {
			return AuthFailure.OtherSession;
		}

		return this.#recordSequence(fields) ? undefined : AuthFailure.Replayed;
	}

	/** Verifies that a response or refusal is authentic and belongs to the given request. */
	verifyResponse(direction: 'response' | 'refusal', method: string, request: AuthFields, response: {fields: AuthFields; body: Uint8Array; mac: string}): AuthFailure | undefined {
		if (response.fields.nonce !== request.nonce || response.fields.sequence !== request.sequence) {
			return AuthFailure.Replayed;
		}

		return this.#isMacValid(direction, method, response) ? undefined : AuthFailure.WrongMac;
	}

	#isMacValid(direction: string, method: string, {fields, body, mac}: {fields: AuthFields; body: Uint8Array; mac: string}): boolean {
		const expected = Buffer.from(this.sign(direction, method, fields, body));
		const received = Buffer.from(mac);
		return expected.length === received.length && timingSafeEqual(expected, received);
	}

	/* eslint-disable no-bitwise -- the replay window is a bit set */
	#recordSequence(fields: AuthFields): boolean {
		const sequence = BigInt(fields.sequence);
		const window = this.#replayWindows.get(fields.process) ?? {highest: 0n, seen: 0n};
		if (sequence > window.highest) {
			const shift = sequence - window.highest;
			window.seen = (shift >= REPLAY_WINDOW_SIZE ? 0n : (window.seen << shift) & REPLAY_WINDOW_MASK) | 1n;
			window.highest = sequence;
			this.#replayWindows.set(fields.process, window);
			return true;
		}

		const bit = 1n << (window.highest - sequence);
		if (window.highest - sequence >= REPLAY_WINDOW_SIZE || (window.seen & bit) !== 0n) {
			return false;
		}

		window.seen |= bit;
		return true;
	}
	/* eslint-enable no-bitwise */
}

/** @returns The fields and MAC from the message headers, or `undefined` if one is missing or malformed. */
export function readAuthHeaders(headers: Headers): {fields: AuthFields; mac: string} | undefined {
	const process = headers.get(AuthHeader.Process);
	const incarnation = headers.get(AuthHeader.Incarnation);
	const sequence = headers.get(AuthHeader.Sequence);
	const nonce = headers.get(AuthHeader.Nonce);
	const mac = headers.get(AuthHeader.Mac);
	if (!process || !incarnation || !sequence || !/^\d{1,18}$/v.test(sequence) || !nonce || !mac) {
		return undefined;
	}

	return {
		fields: {
			process, incarnation, session: headers.get(AuthHeader.Session) ?? '', sequence, nonce,
		},
		mac,
	};
}

/** Writes the fields and MAC to the message headers. */
export function writeAuthHeaders(headers: Headers, fields: AuthFields, mac: string): void {
	headers.set(AuthHeader.Process, fields.process);
	headers.set(AuthHeader.Incarnation, fields.incarnation);
	headers.set(AuthHeader.Session, fields.session);
	headers.set(AuthHeader.Sequence, fields.sequence);
	headers.set(AuthHeader.Nonce, fields.nonce);
	headers.set(AuthHeader.Mac, mac);
}
