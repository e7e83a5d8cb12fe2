/**
 * Validation of references between entries of a subtree: referenced names must exist, and key digests must be unique.
 */
import {type Subtree} from './schema.js';

/** A validation error, with the path of the invalid value. */
export type CrossReferenceProblem = {
	readonly path: ReadonlyArray<string | number>;
	readonly message: string;
};

type Sections = Pick<Subtree, 'services' | 'customers' | 'upstreams' | 'operators'>;

/** @returns All validation errors; empty for a consistent subtree. */
export function findCrossReferenceProblems(subtree: Sections): CrossReferenceProblem[] {
	return [
		...checkServices(subtree),
		...checkCustomers(subtree),
		...checkUpstreams(subtree),
		...findDuplicateDigests(subtree),
	];
}

function checkServices({services}: Sections): CrossReferenceProblem[] {
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

function checkCustomers({customers, services}: Sections): CrossReferenceProblem[] {
	return Object.entries(customers).flatMap(([id, customer]) => (customer.services ?? []).flatMap((service, index) =>
		Object.hasOwn(services, service)
			? []
			: [{path: ['customers', id, 'services', index], message: 'expected the name of a service of this subtree'}]));
}

function checkUpstreams({upstreams, services}: Sections): CrossReferenceProblem[] {
	return Object.entries(upstreams).flatMap(([id, upstream]) => {
		// A property lookup would also find members of Object.prototype, such as `constructor`.
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

function findDuplicateDigests({customers, operators}: Sections): CrossReferenceProblem[] {
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
