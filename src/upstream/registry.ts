/**
 * The clients of all upstreams in the settings.
 */
import {type Deployment, type Upstream} from '../config/deployment.js';
import {type UpstreamClient} from './engine.js';
import {CompletionsEngine} from './completions-engine.js';
import {HttpPlainService} from './http-plain-service.js';

type Entry = {
	readonly upstream: Upstream;
	readonly client: UpstreamClient;
	inFlight: number;
	isRemoved: boolean;
};

/** Keeps a client for each upstream, and one that was removed until its last exchange has ended. */
export class UpstreamRegistry {
	/** @param createClient - Makes the client of an upstream. */
	static create(createClient: (upstream: Upstream) => UpstreamClient = createHttpClient): UpstreamRegistry {
		return new UpstreamRegistry(createClient);
	}

	readonly #createClient: (upstream: Upstream) => UpstreamClient;

	readonly #entries = new Map<string, Entry>();

	private constructor(createClient: (upstream: Upstream) => UpstreamClient) {
		this.#createClient = createClient;
	}

	/** @returns The client of an upstream for control operations; exchanges use `acquire`. */
	getClient(upstreamId: string): UpstreamClient | undefined {
		return this.#entries.get(upstreamId)?.client;
	}

	/** Adds, replaces and removes clients so that they match the settings. */
	update(deployment: Deployment): void {
		const next = new Map(deployment.upstreams.map(upstream => [upstream.id, upstream]));
		for (const [id, entry] of this.#entries) {
			if (next.get(id)?.settings.url !== entry.upstream.settings.url) {
				this.#entries.delete(id);
				entry.isRemoved = true;
				destroyIfIdle(entry);
			}
		}

		for (const [id, upstream] of next) {
			const client = this.#entries.get(id)?.client ?? this.#createClient(upstream);
			const inFlight = this.#entries.get(id)?.inFlight ?? 0;
			this.#entries.set(id, {
				upstream, client, inFlight, isRemoved: false,
			});
		}
	}

	/**
	 * Takes a client for one exchange.
	 *
	 * @returns The client and a function that gives it back, or `undefined` where the upstream was removed.
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
			release() {
				entry.inFlight -= 1;
				destroyIfIdle(entry);
			},
		};
	}

	/** Closes all clients at once. */
	async destroy(): Promise<void> {
		const entries = [...this.#entries.values()];
		this.#entries.clear();
		await Promise.all(entries.map(async entry => entry.client.destroy()));
	}
}

/** @returns The client for an upstream over HTTP. */
function createHttpClient(upstream: Upstream): UpstreamClient {
	const {url} = upstream.settings;
	return upstream.kind === 'model' ? CompletionsEngine.create(url) : HttpPlainService.create(url);
}

function destroyIfIdle(entry: Entry): void {
	if (entry.isRemoved && entry.inFlight === 0) {
		void entry.client.destroy();
	}
}
