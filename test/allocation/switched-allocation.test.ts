import {expect} from 'chai';
import {Allocation, type PlaceRequest, type PlaceRequestEvents} from '../../src/allocation/allocation.js';
import {SwitchedAllocation} from '../../src/allocation/switched-allocation.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {makeAsk} from '../support/ask.js';

/** Keeps what it is asked, and grants nothing by itself. */
class RecordingAllocation extends Allocation {
	readonly requests = new Map<string, {ask: PlaceRequest; events: PlaceRequestEvents}>();

	ask(ask: PlaceRequest, events: PlaceRequestEvents): void {
		this.requests.set(ask.id, {ask, events});
	}

	withdraw(askId: string): void {
		this.requests.delete(askId);
	}

	noteFirst(): void {
		// Nothing is kept of it.
	}

	release(): void {
		// Nothing is kept of it.
	}
}

const ignoredEvents: PlaceRequestEvents = {
	grant() {
		// Not looked at.
	},
	refuse() {
		// Not looked at.
	},
};

describe('allocation of a VM while the allocator changes', () => {
	let clock: VirtualClock;
	let switched: SwitchedAllocation;
	let first: RecordingAllocation;

	beforeEach(() => {
		clock = VirtualClock.create();
		switched = SwitchedAllocation.create(clock);
		first = new RecordingAllocation();
		switched.use(first);
		switched.ask(makeAsk('a', {
			objectiveMs: 400, remainingMs: 9000, patienceMs: 2000, callerLeavesMs: 10_000,
		}), ignoredEvents);
		clock.advance(300);
	});

	// The moment at which the caller leaves moved on with each change, so that a request that came back was not recognised.
	it('asks the next allocator with all durations run down', () => {
		const next = new RecordingAllocation();
		switched.use(next);
		expect(next.requests.get('a')!.ask).to.deep.include({
			objectiveMs: 100, remainingMs: 8700, patienceMs: 1700, callerLeavesMs: 9700,
		});
		expect(first.requests.size).to.equal(0);
	});

	it('tells the next allocator of a held place with the durations that were left at its grant', () => {
		first.requests.get('a')!.events.grant('one', 10);
		clock.advance(50);
		const [place] = switched.places;
		expect(place).to.deep.include({upstreamId: 'one', heldMs: 50, hasFirst: false});
		expect(place!.ask).to.deep.include({
			objectiveMs: 100, remainingMs: 8700, patienceMs: 1700, callerLeavesMs: 9700,
		});
	});
});
