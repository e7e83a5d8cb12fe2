/**
 * Tells a roll-out's course which requests were granted, and how they ended.
 */
import {type PlaceRequest} from '../allocation/allocation.js';
import {PlacementObserver, type PlaceUse} from '../allocation/placement-observer.js';
import {type TrackedUpstream} from '../allocation/tracked-upstream.js';
import {type Metrics} from '../base/metrics.js';
import {Ending, failureEndings} from '../gateway/exchange-ending.js';
import {type RolloutCourse, type RolloutSample} from './rollout-course.js';
import {NO_VERSION} from './version-rules.js';

/** The course of a pool, and the version that it tries. */
export type SampledCourse = {
	readonly course: RolloutCourse;
	readonly to: string;
	/** The course came to a verdict. */
	readonly onVerdict: () => void;
};

type GrantedRequest = Pick<RolloutSample, 'isCandidate' | 'upstreamId' | 'route' | 'load' | 'sentAt'> & {readonly pool: string};

/** Endings that tell nothing of the upstream's version. */
const neutralEndings: ReadonlySet<Ending> = new Set([Ending.Cancelled, Ending.NotRun, Ending.OtherUpstream]);

/** Follows the places of all pools that have a course. */
export class RolloutSamples extends PlacementObserver {
	/** @param courseOf - The course of a pool, if it has one. */
	static create(courseOf: (pool: string) => SampledCourse | undefined, metrics: Metrics): RolloutSamples {
		return new RolloutSamples(courseOf, metrics);
	}

	readonly #courseOf: (pool: string) => SampledCourse | undefined;
	readonly #metrics: Metrics;
	readonly #granted = new Map<string, GrantedRequest>();

	private constructor(courseOf: (pool: string) => SampledCourse | undefined, metrics: Metrics) {
		super();
		this.#courseOf = courseOf;
		this.#metrics = metrics;
	}

	/** Forgets the places, as another allocator decides from now on. */
	clear(): void {
		this.#granted.clear();
	}

	override noteGrant({id, pool, route = ''}: PlaceRequest, {upstream, held}: TrackedUpstream, now: number): void {
		const sampled = this.#courseOf(pool);
		if (sampled === undefined) {
			return;
		}

		const isCandidate = (upstream.version ?? NO_VERSION) === sampled.to;
		sampled.course.noteGranted(isCandidate, route, now);
		this.#metrics.countRolloutRequest(isCandidate);
		this.#granted.set(id, {
			pool, isCandidate, upstreamId: upstream.id, route, load: held.size / upstream.slots, sentAt: now,
		});
	}

	override noteRelease({askId, report, expectedFirstMs, expectedEventMs}: PlaceUse, now: number): void {
		const granted = this.#granted.get(askId);
		if (granted === undefined) {
			return;
		}

		this.#granted.delete(askId);
		const sampled = this.#courseOf(granted.pool);
		const {ending, firstMs, streamMs, events} = report;
		if (sampled === undefined || neutralEndings.has(ending)) {
			return;
		}

		const {pool: _, ...request} = granted;
		const isFailure = failureEndings.has(ending);
		if (isFailure) {
			this.#metrics.countRolloutFailure(granted.isCandidate);
		}

		const {isSlow, hasVerdict} = sampled.course.note({
			...request,
			isFailure,
			slowness: firstMs === undefined ? undefined : firstMs / expectedFirstMs,
			pauseSlowness: events > 1 ? streamMs / (events - 1) / expectedEventMs : undefined,
		}, now);
		if (isSlow) {
			this.#metrics.countRolloutSlowResponse(granted.isCandidate);
		}

		if (hasVerdict) {
			sampled.onVerdict();
		}
	}
}
