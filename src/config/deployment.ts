/**
 * Immutable index of the active settings for the request path; each change of settings creates a new index.
 */
import {createHash} from 'node:crypto';
import {
	type CustomerSettings, type ModelServiceSettings, type PlainServiceSettings, type Subtree, type UpstreamSettings,
} from './schema.js';

/** A customer and the team whose services it may use. */
export type Customer = {
	readonly team: string;
	/** `<team>/<customer>`. */
	readonly id: string;
	readonly settings: CustomerSettings;
};

/** A service of a team. */
export type Service<Settings> = {
	readonly team: string;
	readonly name: string;
	/** `<team>/<service>`, which identifies the pool of upstreams that serve it. */
	readonly pool: string;
	readonly settings: Settings;
};

/** An upstream of a team. */
export type Upstream = {
	/** `<team>/<id>`. */
	readonly id: string;
	readonly pool: string;
	readonly kind: 'model' | 'plain';
	readonly settings: UpstreamSettings;
};

/** An operator and the team whose subtree it may change. */
export type Operator = {
	readonly team: string;
	readonly name: string;
};

/** @returns The SHA-256 digest of an API key in hex, which is stored in place of the key. */
export function digestKey(apiKey: string): string {
	return createHash('sha256').update(apiKey).digest('hex');
}

/** Index of all subtrees. Names are scoped by team, so that names in different subtrees cannot collide. */
export class Deployment {
	/** @param subtrees - Validated subtrees by team. */
	static create(subtrees: ReadonlyMap<string, Subtree>): Deployment {
		return new Deployment(subtrees);
	}

	readonly upstreams: readonly Upstream[];
	readonly #upstreams: ReadonlyMap<string, Upstream>;
	readonly #subtrees: ReadonlyMap<string, Subtree>;
	readonly #customers = new Map<string, Customer>();
	readonly #operators = new Map<string, Operator>();

	private constructor(subtrees: ReadonlyMap<string, Subtree>) {
		this.#subtrees = subtrees;
		const upstreams: Upstream[] = [];
		for (const [team, subtree] of subtrees) {
			this.#addCustomers(team, subtree);
			this.#addOperators(team, subtree);
			upstreams.push(...listUpstreams(team, subtree));
		}

		this.upstreams = upstreams;
		this.#upstreams = new Map(upstreams.map(upstream => [upstream.id, upstream]));
	}

	/** @param id - `<team>/<id>`. */
	findUpstream(id: string): Upstream | undefined {
		return this.#upstreams.get(id);
	}

	/** @returns The customer that an API key belongs to. */
	findCustomer(apiKey: string): Customer | undefined {
		return this.#customers.get(digestKey(apiKey));
	}

	/** @returns The operator that an API key belongs to. */
	findOperator(apiKey: string): Operator | undefined {
		return this.#operators.get(digestKey(apiKey));
	}

	/** @returns The model services that a customer may use. */
	modelServices(customer: Customer): ReadonlyArray<Service<ModelServiceSettings>> {
		const services = Object.entries(this.#subtrees.get(customer.team)?.services ?? {});
		return services.flatMap(([name, settings]) => settings.kind === 'model' && hasAccess(customer, name)
			? [toService(customer.team, name, settings)]
			: []);
	}

	/** @returns The service that serves a model to a customer. */
	findModelService(customer: Customer, model: string): Service<ModelServiceSettings> | undefined {
		return this.modelServices(customer).find(service => service.settings.models.includes(model));
	}

	/** @returns A plain service that a customer may use. */
	findPlainService(customer: Customer, name: string): Service<PlainServiceSettings> | undefined {
		const settings = this.#subtrees.get(customer.team)?.services[name];
		return settings?.kind === 'plain' && hasAccess(customer, name) ? toService(customer.team, name, settings) : undefined;
	}

	#addCustomers(team: string, subtree: Subtree): void {
		for (const [id, settings] of Object.entries(subtree.customers)) {
			const customer = {team, id: `${team}/${id}`, settings};
			for (const digest of settings.keyDigests) {
				this.#customers.set(digest, customer);
			}
		}
	}

	#addOperators(team: string, subtree: Subtree): void {
		for (const [name, settings] of Object.entries(subtree.operators)) {
			for (const digest of settings.keyDigests) {
				this.#operators.set(digest, {team, name});
			}
		}
	}
}

function hasAccess(customer: Customer, service: string): boolean {
	return customer.settings.services?.includes(service) ?? true;
}

function toService<Settings>(team: string, name: string, settings: Settings): Service<Settings> {
	return {
		team, name, pool: `${team}/${name}`, settings,
	};
}

function listUpstreams(team: string, subtree: Subtree): Upstream[] {
	return Object.entries(subtree.upstreams).map(([id, settings]) => ({
		id: `${team}/${id}`,
		pool: `${team}/${settings.service}`,
		kind: subtree.services[settings.service]!.kind,
		settings,
	}));
}
