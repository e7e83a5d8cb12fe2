/**
 * What it costs a request to leave its data centre, in a pool whose upstreams state their momentary pace: the delay of the
 * link, and the price of the bytes, which counts more while the home data centre has room. `docs/design/locality.md`
 * compares it with other rules.
 */
import {type Upstream} from '../gateway/upstream-list.js';
import {type PlaceRequest} from './allocation.js';
import {FixedLocality, Locality} from './locality.js';
import {type TrackedUpstream} from './tracked-upstream.js';
import {type Restore} from './unchanged-state.js';

/** How long the computed occupancy of the data centres is used, in ms; the interval at which queues are checked. */
const OCCUPANCY_TTL_MS = 25;
/** Text of a prompt token, in bytes. */
const BYTES_PER_TOKEN = 4;
/** Text and framing of one event of a stream, in bytes. */
const BYTES_PER_EVENT = 150;
/** Bytes that a request is charged at least; short requests gain least from leaving, and keep the cost of `FixedLocality`. */
const MIN_CHARGED_BYTES = 20_000;
const BYTES_PER_GB = 1e9;
/**
 * Factor of the price while the home data centre has ample room. In the simulation of swinging demand at light load, 5 sends
 * fewer bytes to other regions than constant costs, with the same on-time share and time to the first event.
 */
const ROOM_PRICE_FACTOR = 5;
/**
 * Shares of free places between which the factor rises from 1. With 0 and 0.4, fewer requests of a region of slow upstreams
 * were on time than with constant costs: 0.988 in place of 0.991.
 */
const ROOM_SHARES = {scarce: 0.3, ample: 0.6} as const;

/** A value for links between regions, and one for links between data centres of a region. */
export type PerLink = {readonly region: number; readonly dataCentre: number};

/** What links cost. */
export type LinkCosts = {
	/** One-way delay, in ms. */
	readonly delayMs: PerLink;
	/** Price of 1 GB, as the caller time that it is worth, in ms. */
	readonly priceMsPerGb: PerLink;
};

/** With these, a request of up to 20 kB costs as in `FixedLocality` when its data centre has little room: 24 ms to another region, 2 ms within it. */
export const defaultLinkCosts: LinkCosts = {
	delayMs: {region: 8, dataCentre: 0.5},
	priceMsPerGb: {region: 400_000, dataCentre: 50_000},
};

/** What the decision depends on in a pool. */
export type LocalityView = {
	readonly upstreams: ReadonlyMap<string, TrackedUpstream>;
	/** Whether upstreams of the pool state their momentary pace. */
	readonly hasStatements: boolean;
	/** Whether other VMs use the upstreams without this allocator's knowledge. */
	readonly isStandalone: boolean;
};

/** Usable places of a data centre. */
type Places = {
	slots: number;
	/** Slots, and free ones, divided by the pace factor: a slot of an upstream that is twice as slow counts half. */
	speed: number;
	free: number;
};

/** The cost by link, bytes and room at home; as `FixedLocality` while no upstream of the pool states its pace. */
export class AdaptiveLocality extends Locality {
	static create(view: LocalityView, links: LinkCosts = defaultLinkCosts): AdaptiveLocality {
		return new AdaptiveLocality(view, links);
	}

	readonly #view: LocalityView;
	readonly #links: LinkCosts;
	readonly #fixed = FixedLocality.create();
	#placesOf = new Map<string, Places>();
	/** Mean of the reciprocal pace factors of all places of the pool. */
	#meanSpeed = 1;
	#countedAt = Number.NEGATIVE_INFINITY;

	private constructor(view: LocalityView, links: LinkCosts) {
		super();
		this.#view = view;
		this.#links = links;
	}

	override snapshot(): Restore {
		const placesOf = this.#placesOf;
		const meanSpeed = this.#meanSpeed;
		const countedAt = this.#countedAt;
		return () => {
			this.#placesOf = placesOf;
			this.#meanSpeed = meanSpeed;
			this.#countedAt = countedAt;
		};
	}

	costMs(ask: PlaceRequest, upstream: Upstream, now: number): number {
		if (!this.#view.hasStatements) {
			return this.#fixed.costMs(ask, upstream);
		}

		if (upstream.dataCentre === ask.dataCentre && upstream.region === ask.region) {
			return 0;
		}

		const link = upstream.region === ask.region ? 'dataCentre' : 'region';
		const bytes = Math.max(MIN_CHARGED_BYTES, (ask.promptTokens * BYTES_PER_TOKEN) + (ask.outputEvents * BYTES_PER_EVENT));
		const priceMs = bytes * this.#links.priceMsPerGb[link] / BYTES_PER_GB;
		// A stream's events follow each other at the same distance over any link, so that its first event alone pays the delay.
		return (2 * this.#links.delayMs[link]) + (this.#priceFactor(ask.dataCentre, now) * priceMs);
	}

	/** @returns Factor of the price for requests of a data centre: higher if it has ample room, 1 if it is nearly full or has no upstream. */
	#priceFactor(dataCentre: string, now: number): number {
		if (now - this.#countedAt >= OCCUPANCY_TTL_MS) {
			this.#countedAt = now;
			this.#countPlaces(now);
		}

		const places = this.#placesOf.get(dataCentre);
		if (places === undefined) {
			return 1;
		}

		// A standalone VM does not know how full the others' upstreams are, so that it has no reason to expect more room elsewhere.
		// Room is counted in places of the pool's mean speed: a slow data centre has less of it, and its requests leave more easily.
		const room = this.#view.isStandalone ? 1 : places.free / (places.slots * this.#meanSpeed);
		const ampleness = (room - ROOM_SHARES.scarce) / (ROOM_SHARES.ample - ROOM_SHARES.scarce);
		return 1 + ((ROOM_PRICE_FACTOR - 1) * Math.min(1, Math.max(0, ampleness)));
	}

	#countPlaces(now: number): void {
		this.#placesOf = new Map();
		const all: Places = {slots: 0, speed: 0, free: 0};
		for (const {upstream, pace, held, standing} of this.#view.upstreams.values()) {
			if (upstream.isLeaving || upstream.slots === 0 || standing.isEjected(now)) {
				continue;
			}

			const places = this.#placesOf.get(upstream.dataCentre) ?? {slots: 0, speed: 0, free: 0};
			this.#placesOf.set(upstream.dataCentre, places);
			for (const sum of [places, all]) {
				sum.slots += upstream.slots;
				sum.speed += upstream.slots / pace.factor;
				sum.free += Math.max(0, upstream.slots - held.size) / pace.factor;
			}
		}

		this.#meanSpeed = all.slots === 0 ? 1 : all.speed / all.slots;
	}
}
