import {expect} from 'chai';
import {Random} from '../../src/base/random.js';
import {
	RolloutCourse, RolloutPhase, type RolloutProgress, type RolloutSample, type RolloutSnapshot,
} from '../../src/rollout/rollout-course.js';
import {bounds} from './simulated-rollout.js';

const periodMs = 12_000;
const order = {pool: 'advice', to: 'v2', periodMs};
const calm: RolloutProgress = {
	candidateUpstreams: 6, baseUpstreams: 6, heldAtBase: 0, allVmsInformed: true,
};

function makeSample(changes: Partial<RolloutSample>): RolloutSample {
	return {
		isCandidate: false, upstreamId: 'old-0', route: 'ask', isFailure: false, slowness: 1, pauseSlowness: undefined, load: 0.2, sentAt: 0, ...changes,
	};
}

describe('roll-out, course', () => {
	let course: RolloutCourse;
	let now: number;
	let random: Random;
	let progress: RolloutProgress;

	const start = (snapshot?: RolloutSnapshot) => {
		course = RolloutCourse.create({
			order, bounds, now, ...(snapshot && {snapshot}),
		});
	};

	beforeEach(() => {
		now = 1000;
		random = Random.create(7);
		progress = calm;
		start();
	});

	/** Sends 100 requests a second, each answered at once, until the time or a final phase. */
	const runUntil = (ageMs: number, change: (sample: RolloutSample) => Partial<RolloutSample> = () => ({})) => {
		for (; now < 1000 + ageMs; now += 10) {
			const isCandidate = course.wantsCanary('ask', now);
			course.noteGranted(isCandidate, 'ask', now);
			const sample = makeSample({isCandidate, upstreamId: `${isCandidate ? 'new' : 'old'}-${random.integer(0, 5)}`, sentAt: now});
			course.note({...sample, ...change(sample)}, now);
			if (now % 100 === 0) {
				course.advance(progress, now);
			}
		}
	};

	// Guards against a good version that never takes over.
	it('switches a good version after half of the period and completes it', () => {
		runUntil(5900);
		expect(course.phase).to.equal(RolloutPhase.Canary);
		runUntil(6500);
		expect(course.phase).to.equal(RolloutPhase.Switching);
		runUntil(8500);
		expect(course.phase).to.equal(RolloutPhase.Completed);
	});

	// Guards against a verdict on a version because of one of its upstreams.
	it('does not condemn a version because of one bad upstream', () => {
		runUntil(9000, ({upstreamId}) => ({isFailure: upstreamId === 'new-3'}));
		expect(course.phase).to.equal(RolloutPhase.Completed);
	});

	// Guards against a verdict on answers that the base version loses at the same time.
	it('does not condemn a version for losses of both versions', () => {
		runUntil(9000, () => ({isFailure: now >= 4000 && now < 4300}));
		expect(course.phase).to.equal(RolloutPhase.Completed);
	});

	// Guards against a late verdict when a version turns bad after it took over, and against a return from a roll-back.
	it('rolls back a version that turns bad after the switch, for good', () => {
		runUntil(6500);
		runUntil(7500, ({isCandidate}) => ({isFailure: isCandidate && random.next() < 0.6}));
		expect(course.phase).to.equal(RolloutPhase.RolledBack);
		expect(course.evidence.candidateBad).to.be.at.most(20);
		runUntil(12_000);
		expect(course.phase).to.equal(RolloutPhase.RolledBack);
		expect(course.wantsCanary('ask', now)).to.equal(false);
		start(course.snapshot(now));
		runUntil(13_000);
		expect(course.phase).to.equal(RolloutPhase.RolledBack);
	});

	// Guards against a false roll-back at the bound because of a few lost answers in a row, whatever all other answers say.
	it('completes a good version that loses a few answers just before its bound', () => {
		const lostAtMs = [7010, 7040, 7070, 7100];
		progress = {...calm, heldAtBase: 1};
		runUntil(8000, ({isCandidate}) => {
			const index = lostAtMs.indexOf(now - 1000);
			return {
				isFailure: isCandidate ? index !== -1 : now % 300 === 0, ...(isCandidate && index !== -1 && {upstreamId: `new-${index}`}),
			};
		});
		expect(course.phase, course.reason).to.equal(RolloutPhase.Switching);
		expect(course.evidence).to.deep.include({candidateBad: lostAtMs.length, open: []});
		progress = calm;
		runUntil(8500);
		expect(course.phase).to.equal(RolloutPhase.Completed);
	});

	// Guards against requests lost with old upstreams that are stopped while places are held there.
	it('rolls back when the base version still holds places at the end', () => {
		progress = {...calm, heldAtBase: 1};
		runUntil(11_700);
		expect(course.phase).to.equal(RolloutPhase.RolledBack);
		expect(course.reason).to.include('still held');
	});

	// Guards against VMs that still send to old upstreams when these are stopped.
	it('does not complete before all VMs know of the switch', () => {
		progress = {...calm, allVmsInformed: false};
		runUntil(11_700);
		expect(course.reason).to.include('not all VMs');
	});

	// Guards against a candidate that takes over a load for which it has too few upstreams, or none.
	it('rolls back a version with too few upstreams, or none', () => {
		for (const candidateUpstreams of [0, 2]) {
			now = 1000;
			start();
			progress = {...calm, candidateUpstreams};
			runUntil(11_700, () => ({load: 0.9}));
			expect(course.phase).to.equal(RolloutPhase.RolledBack);
			expect(course.reason).to.match(/no upstream|can't carry/);
		}
	});

	// Guards against a version that takes over without an answer.
	it('rolls back a version without answers, within its budget', () => {
		let sent = 0;
		for (; now < 13_000; now += 10) {
			const isCandidate = course.wantsCanary('ask', now);
			sent += isCandidate ? 1 : 0;
			course.noteGranted(isCandidate, 'ask', now);
			if (!isCandidate) {
				course.note(makeSample({upstreamId: `old-${random.integer(0, 5)}`, sentAt: now}), now);
			}

			course.advance(progress, now);
		}

		expect(course.reason).to.include('too little evidence');
		expect(sent).to.be.within(20, (0.05 * 1200) + 25);
	});

	// Guards against a successor that spends the slack again or forgets the age of the roll-out.
	it('continues from a snapshot, without slack', () => {
		runUntil(5000);
		const written = JSON.stringify(course.snapshot(now));
		start(JSON.parse(written) as RolloutSnapshot);
		expect(course.wantsCanary('ask', now)).to.equal(false);
		runUntil(9500);
		expect(course.phase).to.equal(RolloutPhase.Completed);
	});
});
