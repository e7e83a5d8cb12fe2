/**
 * Shared-key authentication of messages between nodes.
 *
 * Protects against: a stranger without the key that joins, sends or reads decisions as a peer; a changed message; a
 * message recorded and sent again, to the same process, to another one or to a successor of either; a response that
 * belongs to another request. Does not hide the content and does not tell holders of the key apart: that is what
 * mutual TLS is for.
 *
 * Each receiving process has a random session that its peers must name, and refuses a sequence number that it has
 * seen from the sending process. A sender learns the session from the signed refusal of its first message.
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

/** What both sides of a call know about one message, apart from its body. */
export type AuthFields = {
	/** Random identity of the sending process. */
	readonly process: string;
	readonly incarnation: string;
	/** Session of the process that receives requests; in responses that of the responder. */
	readonly session: string;
	/** Number of the request; a response repeats it. */
	readonly sequence: string;
	/** Random text of the request; a response repeats it. */
	readonly nonce: string;
};

/** Why a message was refused. */
export const AuthFailure = {
	Missing: 'missing',
	WrongMac: 'wrong-mac',
	OtherSession: 'other-session',
	Replayed: 'replayed',
} as const;

export type AuthFailure = (typeof AuthFailure)[keyof typeof AuthFailure];

const NONCE_BYTES = 16;
const WINDOW = 1024n;
const WINDOW_MASK = (2n ** WINDOW) - 1n;
const MAX_SENDERS = 4096;
const MIN_KEY_BYTES = 16;

type Window = {highest: bigint; seen: bigint};

/** Signs and checks messages for one process. */
export class Authenticator {
	/**
	 * @param key - The deployment's shared key, at least 16 bytes.
	 * @param incarnation - The current incarnation of this node.
	 */
	static create(key: Uint8Array, incarnation: () => number): Authenticator {
		if (key.length < MIN_KEY_BYTES) {
			throw new RangeError(`The shared key has ${key.length} bytes; at least ${MIN_KEY_BYTES} are needed.`);
		}

		return new Authenticator(key, incarnation);
	}

	readonly process = randomUUID();
	#session = randomUUID();
	#sequence = 0n;
	readonly #key: Uint8Array;
	readonly #incarnation: () => number;
	readonly #windows = new LRUCache<string, Window>({
		max: MAX_SENDERS,
		// A sender that was forgotten could be replayed; a new session refuses all its recorded messages.
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

	/** The session that requests to this process must name. */
	get session(): string {
		return this.#session;
	}

	/** @returns Fields of a new request to a process whose session is known or empty. */
	nextRequest(session: string): AuthFields {
		this.#sequence += 1n;
		return {
			process: this.process,
			incarnation: String(this.#incarnation()),
			session,
			sequence: String(this.#sequence),
			nonce: randomBytes(NONCE_BYTES).toString('base64url'),
		};
	}

	/** @returns Fields of the response to a request. */
	response(request: AuthFields): AuthFields {
		return {
			process: this.process,
			incarnation: String(this.#incarnation()),
			session: this.#session,
			sequence: request.sequence,
			nonce: request.nonce,
		};
	}

	/**
	 * @param direction - `request`, `response` or `refusal`, so that one can't be sent back as another.
	 * @param method - Name of the call.
	 */
	sign(direction: string, method: string, fields: AuthFields, body: Uint8Array): string {
		const mac = createHmac('sha256', this.#key);
		mac.update(JSON.stringify([direction, method, fields.process, fields.incarnation, fields.session, fields.sequence, fields.nonce]));
		mac.update(body);
		return mac.digest('base64url');
	}

	/** Checks a request, and remembers it so that a copy is refused. */
	checkRequest(method: string, fields: AuthFields, body: Uint8Array, mac: string): AuthFailure | undefined {
		if (!this.#isMac('request', method, {fields, body, mac})) {
			return AuthFailure.WrongMac;
		}

		if (fields.session !== this.#session) {
			return AuthFailure.OtherSession;
		}

		return this.#isNew(fields) ? undefined : AuthFailure.Replayed;
	}

	/** Checks that a response or refusal answers the given request. */
	checkAnswer(direction: 'response' | 'refusal', method: string, request: AuthFields, answer: {fields: AuthFields; body: Uint8Array; mac: string}): AuthFailure | undefined {
		if (answer.fields.nonce !== request.nonce || answer.fields.sequence !== request.sequence) {
			return AuthFailure.Replayed;
		}

		return this.#isMac(direction, method, answer) ? undefined : AuthFailure.WrongMac;
	}

	#isMac(direction: string, method: string, {fields, body, mac}: {fields: AuthFields; body: Uint8Array; mac: string}): boolean {
		const expected = Buffer.from(this.sign(direction, method, fields, body));
		const given = Buffer.from(mac);
		return expected.length === given.length && timingSafeEqual(expected, given);
	}

	/* eslint-disable no-bitwise -- the window is a bit set */
	#isNew(fields: AuthFields): boolean {
		const sequence = BigInt(fields.sequence);
		const window = this.#windows.get(fields.process) ?? {highest: 0n, seen: 0n};
		if (sequence > window.highest) {
			const shift = sequence - window.highest;
			window.seen = (shift >= WINDOW ? 0n : (window.seen << shift) & WINDOW_MASK) | 1n;
			window.highest = sequence;
			this.#windows.set(fields.process, window);
			return true;
		}

		const bit = 1n << (window.highest - sequence);
		if (window.highest - sequence >= WINDOW || (window.seen & bit) !== 0n) {
			return false;
		}

		window.seen |= bit;
		return true;
	}
	/* eslint-enable no-bitwise */
}

/** @returns The fields and MAC in message headers, or `undefined` where one is missing or malformed. */
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

/** Writes the fields and MAC into message headers. */
export function writeAuthHeaders(headers: Headers, fields: AuthFields, mac: string): void {
	headers.set(AuthHeader.Process, fields.process);
	headers.set(AuthHeader.Incarnation, fields.incarnation);
	headers.set(AuthHeader.Session, fields.session);
	headers.set(AuthHeader.Sequence, fields.sequence);
	headers.set(AuthHeader.Nonce, fields.nonce);
	headers.set(AuthHeader.Mac, mac);
}
