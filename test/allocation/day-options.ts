/**
 * What a simulated day is run with, and what it gives.
 */
import {type PlaceRequest} from '../../src/allocation/allocation.js';
import {type Allocator, type AllocatorOptions} from '../../src/allocation/allocator.js';

/** Where the allocator gets the upstreams' statements from. */
export const Figures = {
	None: 'none',
	Responses: 'responses',
	/** Responses, and one probe of a random upstream at each interval. */
	Probes: 'probes',
	/** Each change is known at once: a bound on what knowledge can give. */
	Always: 'always',
} as const;

export type Figures = (typeof Figures)[keyof typeof Figures];

export type DayOptions = {
	readonly seed: number;
	readonly figures: Figures;
	readonly requestsPerSecond: number;
	readonly seconds?: number;
	readonly engineCount?: number;
	readonly isEngine?: boolean;
	readonly momentMs?: number;
	readonly failureRatio?: number;
	/** Interval at which an upstream leaves the list and comes back as a new one, in ms. */
	readonly replacementMs?: number;
	readonly probeIntervalMs?: number;
	readonly allocator?: Partial<AllocatorOptions>;
	/** What an engine states, as a factor of the usual, where it differs from the truth. */
	readonly stated?: (engine: number, moment: number) => number;
	/** Called before each request for a place; the function that it returns, after the allocator has taken the request. */
	readonly onAsk?: (allocator: Allocator, ask: PlaceRequest, attempt: number) => () => void;
	readonly failureRatioOf?: (engine: number) => number;
};

export type DayResult = {
	readonly requests: number;
	readonly onTime: number;
	readonly refused: number;
	/** On-time share of the class with the smallest one. */
	readonly worstClass: number;
	/** On-time share of the worst tenth of the half-second windows. */
	readonly worstWindows: number;
	/** Shares of the served requests that missed the objective, and whose longest pause was over its bound. */
	readonly late: number;
	readonly paused: number;
	readonly firstMs: {readonly mean: number; readonly p95: number};
	readonly grantsOf: readonly number[];
	/** Digest of all decisions in order. */
	readonly digest: string;
};
