/**
 * Registry of the clients of all configured upstreams.
 */
import {runInBackground} from '../base/background.js';
import {type Log} from '../base/log.js';
import {type Deployment, type Upstream} from '../config/deployment.js';
import {type UpstreamClient} from './engine.js';
import {CompletionsEngine} from './completions-engine.js';
import {HttpPlainService} from './http-plain-service.js';

type Entry = {
	upstream: Upstream;
	readonly client: UpstreamClient;
	inFlight: number;
	isRemoved: boolean;
};

/** Maintains one client per upstream. The client of a removed upstream is destroyed after its last exchange has ended. */
export class UpstreamRegistry {
	/** @param createClient - Creates the client of an upstream. */
	static create(log: Log, createClient: (upstream: Upstream) => UpstreamClient = createHttpClient): UpstreamRegistry {
		return new UpstreamRegistry(log, createClient);
	}

	readonly #log: Log;
	readonly #createClient: (upstream: Upstream) => UpstreamClient;

	readonly #entries = new Map<string, Entry>();

	private constructor(log: Log, createClient: (upstream: Upstream) => UpstreamClient) {
		this.#log = log;
		this.#createClient = createClient;
	}

	/** @returns The client of an upstream, for control operations only; exchanges must use `acquire`. */
	getClient(upstreamId: string): UpstreamClient | undefined {
		return this.#entries.get(upstreamId)?.client;
	}

	/** Adds, replaces and removes clients to match the settings. */
	update(deployment: Deployment): void {
		const next = new Map(deployment.upstreams.map(upstream => [upstream.id, upstream]));
		for (const [id, entry] of this.#entries) {
			if (next.get(id)?.settings.url !== entry.upstream.settings.url) {
				this.#entries.delete(id);
				entry.isRemoved = true;
				this.#destroyIfIdle(entry);
			}
		}

		for (const [id, upstream] of next) {
			const entry = this.#entries.get(id);
			if (entry === undefined) {
				this.#entries.set(id, {
					upstream, client: this.#createClient(upstream), inFlight: 0, isRemoved: false,
				});
			} else {
				entry.upstream = upstream;
			}
		}
	}

	/**
	 * Acquires a client for one exchange.
	 *
	 * @returns The client and a function that releases it, or `undefined` if the upstream is not registered.
	 */
	acquire(upstreamId: string): {client: UpstreamClient; upstream: Upstream; release: () => void} | undefined {
		const entry = this.#entries.get(upstreamId);
		if (entry === undefined) {
			return undefined;
		}

		entry.inFlight += 1;
		return {
			client: entry.client,
			upstream: entry.upstream,
			release: () => {
				entry.inFlight -= 1;
				this.#destroyIfIdle(entry);
			},
		};
	}

	/** Destroys all clients immediately. */
	async destroy(): Promise<void> {
		const entries = [...this.#entries.values()];
		this.#entries.clear();
		await Promise.all(entries.map(async entry => entry.client.destroy()));
	}

	#destroyIfIdle(entry: Entry): void {
		if (entry.isRemoved && entry.inFlight === 0) {
			runInBackground(this.#log, 'closing a client', async () => entry.client.destroy());
		}
	}
}

/** @returns An HTTP client that matches the kind of the upstream. */
function createHttpClient(upstream: Upstream): UpstreamClient {
	const {url} = upstream.settings;
	return upstream.kind === 'model' ? CompletionsEngine.create(url) : HttpPlainService.create(url);
}
