/**
 * TLS for callers: certificate and key are loaded from files and reloaded when the files change.
 */
import {readFileSync} from 'node:fs';
import {type Server} from 'node:https';
import {createSecureContext} from 'node:tls';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';

const POLL_INTERVAL_MS = 1000;

/** Paths of the private key and the certificate, in PEM format. */
export type TlsFiles = {
	readonly keyFile: string;
	readonly certFile: string;
};

/** A private key and its certificate, in PEM format. */
export type TlsCredentials = {
	readonly key: string;
	readonly cert: string;
};

/** Reads key and certificate; throws if either file cannot be read. */
export function readTlsCredentials(files: TlsFiles): TlsCredentials {
	return {key: readFileSync(files.keyFile, 'utf8'), cert: readFileSync(files.certFile, 'utf8')};
}

/** Options of `TlsReloader`. */
export type TlsReloaderOptions = {
	readonly server: Server;
	readonly files: TlsFiles;
	/** The credentials that the server was started with. */
	readonly current: TlsCredentials;
	readonly clock: Clock;
	readonly log: Log | undefined;
};

/**
 * Applies changed certificate files to new connections. Polls the files, because file watching misses files that are
 * replaced through a symbolic link.
 */
export class TlsReloader {
	static start(options: TlsReloaderOptions): TlsReloader {
		return new TlsReloader(options);
	}

	readonly #options: TlsReloaderOptions;
	#current: TlsCredentials;
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
		return this.#options.clock.setTimer(POLL_INTERVAL_MS, () => {
			this.#reload();
			this.#timer = this.#schedule();
		});
	}

	#reload(): void {
		try {
			const next = readTlsCredentials(this.#options.files);
			if (next.key === this.#current.key && next.cert === this.#current.cert) {
				return;
			}

			// Throws if key and certificate do not match, for example while they are being replaced; the old ones stay in use.
			createSecureContext(next);
			this.#options.server.setSecureContext(next);
			this.#current = next;
			this.#options.log?.info('The TLS certificate was read again.');
		} catch (error) {
			this.#options.log?.warn('The TLS files cannot be used; the old ones stay in force.', {err: (error as Error).message});
		}
	}
}
