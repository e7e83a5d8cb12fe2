/**
 * Checks of a subtree that concern more than one entry: names that must exist and keys that must be unique.
 */
import {type Subtree} from './schema.js';

/** A mistake in a subtree, with the path of the value. */
export type CrossReferenceProblem = {
	readonly path: ReadonlyArray<string | number>;
	readonly message: string;
};

type Parts = Pick<Subtree, 'services' | 'customers' | 'upstreams' | 'operators'>;

/** @returns Every mistake; empty for a consistent subtree. */
export function crossReferenceProblems(subtree: Parts): CrossReferenceProblem[] {
	return [
		...serviceProblems(subtree),
		...customerProblems(subtree),
		...upstreamProblems(subtree),
		...duplicateDigests(subtree),
	];
}

function serviceProblems({services}: Parts): CrossReferenceProblem[] {
	const problems: CrossReferenceProblem[] = [];
	for (const [name, service] of Object.entries(services)) {
		const tiers = service.tiers.map(tier => tier.name);
		for (const [index, tier] of tiers.entries()) {
			if (tiers.indexOf(tier) < index) {
				problems.push({path: ['services', name, 'tiers', index, 'name'], message: 'expected a name that no other tier of the service has'});
			}
		}

		for (const [index, operation] of (service.kind === 'plain' ? service.operations : []).entries()) {
			if (operation.tier !== undefined && !tiers.includes(operation.tier)) {
				problems.push({path: ['services', name, 'operations', index, 'tier'], message: 'expected the name of one of the tiers'});
			}
		}
	}

	return problems;
}

function customerProblems({customers, services}: Parts): CrossReferenceProblem[] {
	return Object.entries(customers).flatMap(([id, customer]) => (customer.services ?? []).flatMap((service, index) =>
		Object.hasOwn(services, service)
			? []
			: [{path: ['customers', id, 'services', index], message: 'expected the name of a service of this subtree'}]));
}

function upstreamProblems({upstreams, services}: Parts): CrossReferenceProblem[] {
	return Object.entries(upstreams).flatMap(([id, upstream]) => {
		// A plain lookup would find members of Object.prototype, such as `constructor`.
		if (!Object.hasOwn(services, upstream.service)) {
			return [{path: ['upstreams', id, 'service'], message: 'expected the name of a service of this subtree'}];
		}

		const service = services[upstream.service]!;
		const models = service.kind === 'model' ? service.models : [];
		return (upstream.models ?? []).flatMap((model, index) => models.includes(model)
			? []
			: [{path: ['upstreams', id, 'models', index], message: 'expected a model of the service'}]);
	});
}

function duplicateDigests({customers, operators}: Parts): CrossReferenceProblem[] {
	const seen = new Set<string>();
	const problems: CrossReferenceProblem[] = [];
	for (const [group, holders] of Object.entries({customers, operators})) {
		for (const [id, {keyDigests}] of Object.entries(holders)) {
			for (const [index, digest] of keyDigests.entries()) {
				if (seen.has(digest)) {
					problems.push({path: [group, id, 'keyDigests', index], message: 'expected a digest that is used once in the subtree'});
				}

				seen.add(digest);
			}
		}
	}

	return problems;
}
