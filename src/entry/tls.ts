/**
 * TLS for callers: certificate and key from files, read again when they change.
 */
import {readFileSync} from 'node:fs';
import {type Server} from 'node:https';
import {createSecureContext} from 'node:tls';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';

const POLL_MS = 1000;

/** Paths of PEM files. */
export type TlsFiles = {
	readonly keyFile: string;
	readonly certFile: string;
};

/** A key with its certificate. */
export type TlsPair = {
	readonly key: string;
	readonly cert: string;
};

/** Reads both files; throws when one cannot be read. */
export function readTlsPair(files: TlsFiles): TlsPair {
	return {key: readFileSync(files.keyFile, 'utf8'), cert: readFileSync(files.certFile, 'utf8')};
}

/** What a reloader works with. */
export type TlsReloaderOptions = {
	readonly server: Server;
	readonly files: TlsFiles;
	/** The pair that the server was started with. */
	readonly current: TlsPair;
	readonly clock: Clock;
	readonly log: Log | undefined;
};

/** Puts changed files in force for new connections. Polls, as watching misses files that are replaced by a link. */
export class TlsReloader {
	static start(options: TlsReloaderOptions): TlsReloader {
		return new TlsReloader(options);
	}

	readonly #options: TlsReloaderOptions;
	#current: TlsPair;
	#timer: Timer;

	private constructor(options: TlsReloaderOptions) {
		this.#options = options;
		this.#current = options.current;
		this.#timer = this.#schedule();
	}

	stop(): void {
		this.#timer.cancel();
	}

	#schedule(): Timer {
		return this.#options.clock.setTimer(POLL_MS, () => {
			this.#reload();
			this.#timer = this.#schedule();
		});
	}

	#reload(): void {
		try {
			const next = readTlsPair(this.#options.files);
			if (next.key === this.#current.key && next.cert === this.#current.cert) {
				return;
			}

			// Throws where the files do not match, as in the middle of their replacement; the old pair stays in force.
			createSecureContext(next);
			this.#options.server.setSecureContext(next);
			this.#current = next;
			this.#options.log?.info('The TLS certificate was read again.');
		} catch (error) {
			this.#options.log?.warn('The TLS files cannot be used; the old ones stay in force.', {err: (error as Error).message});
		}
	}
}
