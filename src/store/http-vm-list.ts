/**
 * VM list adapter that reads a JSON array over HTTP.
 */
import {Agent, request} from 'undici';
import Result, {ok} from 'true-myth/result';
import {z} from 'zod';
import {type StoreError, StoreFailure} from './table.js';
import {type VmEntry, VmList, VmState} from './vm-list.js';

/** URL and timeouts of the VM list. */
export type HttpVmListOptions = {
	/** URL that returns the list in response to GET. */
	readonly url: string;
	/** Timeout for establishing a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** Timeout from sending a request to receiving the complete response, in ms. */
	readonly requestTimeoutMs: number;
};

const OK_STATUS = 200;

const vmEntriesSchema = z.array(z.object({
	id: z.string().min(1),
	address: z.string().min(1),
	region: z.string(),
	dataCentre: z.string(),
	state: z.enum(VmState),
	role: z.enum(['entry', 'upstream']),
}));

/** Fetches the VM list on each call, without caching. */
export class HttpVmList extends VmList {
	static create(options: HttpVmListOptions): HttpVmList {
		return new HttpVmList(options);
	}

	readonly #options: HttpVmListOptions;
	readonly #agent: Agent;

	private constructor(options: HttpVmListOptions) {
		super();
		this.#options = options;
		this.#agent = new Agent({connect: {timeout: options.connectTimeoutMs}, connections: 1});
	}

	/** Closes all connections. */
	async destroy(): Promise<void> {
		await this.#agent.destroy();
	}

	async list(): Promise<Result<readonly VmEntry[], StoreError>> {
		try {
			const res = await request(this.#options.url, {
				dispatcher: this.#agent,
				signal: AbortSignal.timeout(this.#options.requestTimeoutMs),
			});
			const body = await res.body.text();
			if (res.statusCode !== OK_STATUS) {
				return unavailable(`The VM list request failed with status ${res.statusCode}.`);
			}

			const parsed = vmEntriesSchema.safeParse(JSON.parse(body));
			return parsed.success ? ok(parsed.data) : unavailable(`The VM list is malformed: ${parsed.error.issues[0]!.message}`);
		} catch (err) {
			return unavailable((err as Error).message);
		}
	}
}

function unavailable(detail: string): Result<readonly VmEntry[], StoreError> {
	return Result.err({failure: StoreFailure.Unavailable, detail});
}
