/**
 * Account of the requests that this process has read completely: each ends exactly once, with what really happened to its
 * response, not with what was decided.
 */
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '../base/clock.js';
import {errorFields} from '../base/error-fields.js';
import {type Invariants, PromiseId} from '../base/invariant.js';
import {type Log, type LogFields} from '../base/log.js';
import {type Metrics, RequestEnd} from '../base/metrics.js';

/** How a response ends if the caller stays until it has been sent. */
export type Decision = typeof RequestEnd.Answered | typeof RequestEnd.Refused | typeof RequestEnd.Failed | typeof RequestEnd.Broken;

/** Number of requests since the process started. */
export type RequestCounts = {
	readonly begun: number;
	readonly ended: number;
	readonly open: number;
};

/** Dependencies of a ledger. */
export type LedgerOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
};

/** Entry of one request, from the moment at which it was read until its response was sent or its connection closed. */
export class LedgerEntry {
	/** ID of the request, if it states one. */
	readonly id: string | undefined;
	readonly socket: Socket;
	readonly #onDecided: (isFirst: boolean) => void;
	#decision: Decision | undefined;
	#fields: LogFields = {};

	/** @param onDecided - Called for each decision. */
	constructor(id: string | undefined, socket: Socket, onDecided: (isFirst: boolean) => void) {
		this.id = id;
		this.socket = socket;
		this.#onDecided = onDecided;
	}

	get decision(): Decision | undefined {
		return this.#decision;
	}

	/** What is known about the request, for the log. */
	get fields(): LogFields {
		return this.#fields;
	}

	/** Whether the caller closed the connection, or it was lost. */
	get isCallerGone(): boolean {
		return this.socket.readableEnded || this.socket.errored !== null;
	}

	/** Adds fields to the line that is logged when the request ends. */
	note(fields: LogFields): void {
		this.#fields = {...this.#fields, ...fields};
	}

	/** Records which response was decided on. Called once, before or while the response is written. */
	decide(decision: Decision, fields: LogFields = {}): void {
		const isFirst = this.#decision === undefined;
		this.#decision ??= decision;
		this.note(fields);
		this.#onDecided(isFirst);
	}
}

/** Counts and logs how requests end, and reports each that ends without an answer while its caller waits. */
export class RequestLedger {
	static create(options: LedgerOptions): RequestLedger {
		return new RequestLedger(options);
	}

	readonly #options: LedgerOptions;
	readonly #open = new Set<LedgerEntry>();
	readonly #byResponse = new WeakMap<ServerResponse, LedgerEntry>();
	#begun = 0;
	#ended = 0;
	#isClosing = false;

	private constructor(options: LedgerOptions) {
		this.#options = options;
	}

	get counts(): RequestCounts {
		return {begun: this.#begun, ended: this.#ended, open: this.#open.size};
	}

	/** Opens the account of a request that was read completely, or whose response was decided before that. */
	begin(res: ServerResponse, id: string | undefined): LedgerEntry {
		const {clock, metrics} = this.#options;
		let decidedAt: number | undefined;
		let isSent = false;
		const entry = new LedgerEntry(id, res.req.socket, isFirst => {
			decidedAt ??= clock.now();
			this.#check(isFirst && this.#open.has(entry), () => `request ${id} was answered twice`);
		});
		this.#begun += 1;
		metrics.countRequestBegun();
		this.#open.add(entry);
		this.#byResponse.set(res, entry);
		res.once('finish', () => {
			isSent = !entry.socket.destroyed;
		});
		res.once('close', () => {
			// Other listeners add what they know first.
			queueMicrotask(() => {
				entry.note({flushMs: decidedAt === undefined ? undefined : Math.round(clock.now() - decidedAt)});
				this.#close(entry, isSent);
			});
		});
		return entry;
	}

	/** Accounts for a request that is refused or dropped without a response object of its own. */
	record(end: RequestEnd, fields: LogFields): void {
		this.#begun += 1;
		this.#options.metrics.countRequestBegun();
		this.#end(end, fields);
	}

	/** @returns The account of the request with this response, if it was opened. */
	entryOf(res: ServerResponse): LedgerEntry | undefined {
		return this.#byResponse.get(res);
	}

	/** Reports an exception in the handling of a request; only this request fails. */
	noteDefect(id: string | undefined, err: unknown): void {
		const fields = errorFields(err);
		this.#options.log.error('The handling of a request failed.', {request: id, ...fields});
		this.#check(false, () => fields.err);
	}

	/** All connections are about to be closed, whatever is in flight. */
	noteClosing(): void {
		this.#isClosing = true;
	}

	#close(entry: LedgerEntry, isSent: boolean): void {
		if (!this.#open.delete(entry)) {
			return;
		}

		const end = this.#endOf(entry, isSent);
		this.#check(end !== RequestEnd.Lost, () => `request ${entry.id} ended without an answer`);
		this.#end(end, {request: entry.id, ...entry.fields});
	}

	#endOf({decision, isCallerGone}: LedgerEntry, isSent: boolean): RequestEnd {
		if (decision === RequestEnd.Broken || (isSent && decision !== undefined)) {
			return decision;
		}

		if (isCallerGone) {
			return RequestEnd.Aborted;
		}

		return this.#isClosing ? RequestEnd.Stopped : RequestEnd.Lost;
	}

	#end(end: RequestEnd, fields: LogFields): void {
		this.#ended += 1;
		this.#options.metrics.countRequestEnd(end);
		this.#options.log.info('Request ended.', {...fields, end});
		const {begun, ended, open} = this.counts;
		this.#check(begun === ended + open, () => `${begun} requests begun, ${ended} ended, ${open} open`);
	}

	#check(holds: boolean, detail: () => string): void {
		this.#options.invariants.check(PromiseId.WholeAnswer, holds, detail);
	}
}
