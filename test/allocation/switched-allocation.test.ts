import {expect} from 'chai';
import {Allocation, type PlaceRequest, type PlaceRequestEvents} from '../../src/allocation/allocation.js';
import {SwitchedAllocation} from '../../src/allocation/switched-allocation.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {createPlaceRequest} from '../support/place-request.js';

/** Records place requests without deciding on them. */
class RecordingAllocation extends Allocation {
	readonly requests = new Map<string, {ask: PlaceRequest; events: PlaceRequestEvents}>();

	ask(ask: PlaceRequest, events: PlaceRequestEvents): void {
		this.requests.set(ask.id, {ask, events});
	}

	withdraw(askId: string): void {
		this.requests.delete(askId);
	}

	noteFirst(): void {
		// Not recorded.
	}

	release(): void {
		// Not recorded.
	}
}

const ignoredEvents: PlaceRequestEvents = {
	grant() {
		// Not checked.
	},
	refuse() {
		// Not checked.
	},
};

describe('switched allocation', () => {
	let clock: VirtualClock;
	let switched: SwitchedAllocation;
	let first: RecordingAllocation;

	beforeEach(() => {
		clock = VirtualClock.create();
		switched = SwitchedAllocation.create(clock);
		first = new RecordingAllocation();
		switched.use(first);
		switched.ask(createPlaceRequest('a', {
			objectiveMs: 400, remainingMs: 9000, patienceMs: 2000, callerLeavesMs: 10_000,
		}), ignoredEvents);
		clock.advance(300);
	});

	// Guards against forwarding a duration as it was at the first request: the moment at which the caller disconnects then
	// moved forward with each change of the allocator, and a retried request was not recognised.
	it('forwards a waiting request to the next allocator with all durations reduced by the elapsed time', () => {
		const next = new RecordingAllocation();
		switched.use(next);
		expect(next.requests.get('a')!.ask).to.deep.include({
			objectiveMs: 100, remainingMs: 8700, patienceMs: 1700, callerLeavesMs: 9700,
		});
		expect(first.requests.size).to.equal(0);
	});

	// Guards against two allocators counting one request, and both granting retries for it.
	it('tells the next allocator that the previous one counted a waiting request, unless there was none', () => {
		const next = new RecordingAllocation();
		switched.use(next);
		expect(next.requests.get('a')!.ask.isCounted).to.equal(true);

		const unallocated = SwitchedAllocation.create(clock);
		unallocated.ask(createPlaceRequest('b'), ignoredEvents);
		unallocated.use(next);
		expect(next.requests.get('b')!.ask.isCounted).to.equal(false);
	});

	it('reports a held place to the next allocator with the durations that were left when it was granted', () => {
		first.requests.get('a')!.events.grant('one', 10);
		clock.advance(50);
		const [place] = switched.places;
		expect(place).to.deep.include({upstreamId: 'one', heldMs: 50, hasFirst: false});
		expect(place!.ask).to.deep.include({
			objectiveMs: 100, remainingMs: 8700, patienceMs: 1700, callerLeavesMs: 9700,
		});
	});
});
