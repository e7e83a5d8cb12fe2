/**
 * The rule by which requests leave their data centre, as the settings of the program choose it.
 */
import {type Upstream} from '../gateway/upstream-list.js';
import {type PlaceRequest} from './allocation.js';
import {
	AdaptiveLocality, defaultLinkCosts, type LinkCosts, type LocalityView,
} from './adaptive-locality.js';
import {FixedLocality, Locality} from './locality.js';
import {type TrackedUpstream} from './tracked-upstream.js';
import {type Restore} from './unchanged-state.js';

/** How long the list of usable upstreams is used, in ms; the interval at which queues are checked. */
const USABLE_TTL_MS = 25;

/** When requests leave their data centre. */
export const LocalityRule = {
	/** At a cost that depends on the room at home, the link and the bytes. */
	ByRoom: 'by-room',
	/** At a constant cost. */
	Fixed: 'fixed',
	/** Only while no upstream at home is usable. */
	Never: 'never',
	/** Without a cost. */
	Free: 'free',
} as const;

export type LocalityRule = (typeof LocalityRule)[keyof typeof LocalityRule];

/** The rule, and what it knows of the links. */
export type LocalitySettings = {
	readonly rule: LocalityRule;
	/** Used by `LocalityRule.ByRoom` only. */
	readonly links: LinkCosts;
};

export const defaultLocalitySettings: LocalitySettings = {rule: LocalityRule.ByRoom, links: defaultLinkCosts};

/** What the rules depend on in a pool. */
export type LocalityRuleView = LocalityView & {
	/** Whether ordinary requests may use the upstream, apart from its room and health. */
	readonly isOpen: (target: TrackedUpstream) => boolean;
};

/** @returns The rule for one pool. */
export function createLocality(view: LocalityRuleView, {rule, links}: LocalitySettings = defaultLocalitySettings): Locality {
	switch (rule) {
		case LocalityRule.ByRoom: {
			return AdaptiveLocality.create(view, links);
		}

		case LocalityRule.Fixed: {
			return FixedLocality.create();
		}

		case LocalityRule.Never: {
			return HomeLocality.create(view);
		}

		case LocalityRule.Free: {
			return FreeLocality.create();
		}
	}
}

/** All data centres cost the same. */
export class FreeLocality extends Locality {
	static create(): FreeLocality {
		return new FreeLocality();
	}

	costMs(): number {
		return 0;
	}
}

/** Keeps a request in its data centre while an upstream there is usable for it; otherwise the costs of `FixedLocality` hold. */
export class HomeLocality extends Locality {
	static create(view: LocalityRuleView): HomeLocality {
		return new HomeLocality(view);
	}

	readonly #view: LocalityRuleView;
	readonly #fixed = FixedLocality.create();
	/** IDs of the usable upstreams by data centre. */
	#usable = new Map<string, string[]>();
	#listedAt = Number.NEGATIVE_INFINITY;

	private constructor(view: LocalityRuleView) {
		super();
		this.#view = view;
	}

	override snapshot(): Restore {
		const usable = this.#usable;
		const listedAt = this.#listedAt;
		return () => {
			this.#usable = usable;
			this.#listedAt = listedAt;
		};
	}

	/** @returns Infinity, which `Placement` never chooses, for an upstream elsewhere while one at home is usable. */
	costMs(ask: PlaceRequest, upstream: Upstream, now: number): number {
		if (upstream.dataCentre === ask.dataCentre && upstream.region === ask.region) {
			return 0;
		}

		return this.#isUsableAtHome(ask, now) ? Number.POSITIVE_INFINITY : this.#fixed.costMs(ask, upstream);
	}

	/** An upstream that failed the request, or asked its VM for a pause, is excluded by the request and counts as unusable for it. */
	#isUsableAtHome({dataCentre, excluded}: PlaceRequest, now: number): boolean {
		if (now - this.#listedAt >= USABLE_TTL_MS) {
			this.#listedAt = now;
			this.#listUsable(now);
		}

		return this.#usable.get(dataCentre)?.some(id => !excluded.includes(id)) ?? false;
	}

	/** An upstream on probation gets one request at a time, so that the others of a dead data centre would wait for its failures. */
	#listUsable(now: number): void {
		this.#usable = new Map();
		for (const target of this.#view.upstreams.values()) {
			const {upstream, standing} = target;
			if (!upstream.isLeaving && upstream.slots > 0 && !standing.isEjected(now) && !standing.isOnProbation && this.#view.isOpen(target)) {
				const ids = this.#usable.get(upstream.dataCentre) ?? [];
				ids.push(upstream.id);
				this.#usable.set(upstream.dataCentre, ids);
			}
		}
	}
}
