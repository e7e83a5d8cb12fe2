import {expect} from 'chai';
import {simulateQuarantine, type QuarantinePlan} from '../../bench/quarantine-simulation.js';
import {crashId} from '../../src/policy/crash-evidence.js';
import {Quarantine} from '../../src/policy/quarantine.js';

const MAX_LATE_REQUESTS = 3;
const QUARANTINE_MS = 28_800_000;
const MAX_CRASHES_TO_VERDICT = 5;

/** A quarantine in which crashes and answers are noted a second apart. */
class Course {
	readonly quarantine = Quarantine.create('n', undefined, {quarantineMs: QUARANTINE_MS});
	now = 0;
	#crashes = 0;

	/** Crashes an upstream while requests with these features are in flight. */
	crash(...requests: ReadonlyArray<readonly string[]>): void {
		this.now += 1000;
		this.#crashes += 1;
		this.crashAt(`up-${this.#crashes}`, ...requests);
	}

	crashAt(upstream: string, ...requests: ReadonlyArray<readonly string[]>): void {
		for (const features of requests) {
			this.quarantine.noteCrash({
				crash: crashId.refused(upstream, '1'), pool: 'p', features, seenBy: 'n',
			}, this.now);
		}
	}

	/** Lets an upstream begin to answer. */
	begin(upstream: string): void {
		this.quarantine.noteAlive(crashId.refused(upstream, '1'), this.now);
	}

	/** Lets an upstream answer requests as a whole. */
	answer(upstream: string, ...requests: ReadonlyArray<readonly string[]>): void {
		for (const features of requests) {
			this.quarantine.noteAnswered({crash: crashId.refused(upstream, '1'), pool: 'p', features}, this.now);
		}
	}

	/** Lets unrelated requests be answered, which shows that upstreams are sound. */
	answerOthers(): void {
		this.answer('sound', ['o1', 'part:o'], ['o2', 'part:o'], ['o3', 'part:o']);
	}

	isRefused(...features: readonly string[]): boolean {
		return this.quarantine.findQuarantined(features, this.now) !== undefined;
	}
}

describe('quarantine of what crashed requests share', () => {
	// Guards against requests that share one part and nothing else, each of which is a new suspect.
	for (const position of [0, 1]) {
		it(`refuses the part that requests share, at position ${position}, and not those in flight beside it`, () => {
			const course = new Course();
			for (let count = 0; count < MAX_CRASHES_TO_VERDICT; count += 1) {
				const parts = [`part:x${count}`, `part:y${count}`];
				parts[position] = 'part:dead';
				course.crash([`r${count}`, ...parts], [`s${count}`, 'part:a', `part:z${count}`]);
				course.answerOthers();
			}

			expect(course.isRefused('new', 'part:q', 'part:dead')).to.equal(true);
			expect(course.isRefused('new', 'part:a', 'part:z1')).to.equal(false);
			expect(course.isRefused('new', 'part:x4', 'part:y4')).to.equal(false);
		});
	}

	// Guards against the refusal of another's part that was sent beside a deadly one.
	it('refuses parts that always came together only together, and clears the one that is answered', () => {
		const course = new Course();
		for (let count = 0; count < MAX_CRASHES_TO_VERDICT; count += 1) {
			course.crash([`r${count}`, 'part:victim', 'part:dead']);
			course.answerOthers();
		}

		expect(course.isRefused('new', 'part:victim', 'part:dead')).to.equal(true);
		expect(course.isRefused('new', 'part:victim')).to.equal(false);
		course.answer('sound', ['new', 'part:victim']);
		expect(course.isRefused('other', 'part:dead')).to.equal(true);
		expect(course.isRefused('other', 'part:victim')).to.equal(false);
	});

	it('clears a part on which an upstream completes an answer', () => {
		const course = new Course();
		for (let count = 0; count < 2 * MAX_CRASHES_TO_VERDICT; count += 1) {
			course.crash([`r${count}`, 'part:a']);
			course.answerOthers();
			course.answer('sound', [`s${count}`, 'part:a']);
		}

		expect(course.isRefused('new', 'part:a')).to.equal(false);
	});

	// Guards against a part that crashes upstreams behind their first event, whose beginning cleared it each time (review/3).
	it('refuses a part on which upstreams begin answers and crash', () => {
		const course = new Course();
		for (let count = 0; count < MAX_CRASHES_TO_VERDICT; count += 1) {
			course.answerOthers();
			course.now += 1000;
			course.begin(`up-${count}`);
			course.crashAt(`up-${count}`, [`r${count}`, 'part:dead', `part:${count}`], [`s${count}`, 'part:a']);
		}

		course.answerOthers();
		course.crash(['r', 'part:dead']);
		expect(course.isRefused('new', 'part:dead')).to.equal(true);
		expect(course.isRefused('new', 'part:a')).to.equal(false);
	});

	// Guards against the first part that all requests share, when no answer came between the crashes to clear it.
	it('prefers the part with which another one came each time', () => {
		const course = new Course();
		for (let count = 0; count < MAX_CRASHES_TO_VERDICT; count += 1) {
			course.crash([`r${count}`, 'part:all', 'part:dead'], [`s${count}`, 'part:all', `part:${count}`]);
			course.answerOthers();
		}

		expect(course.isRefused('new', 'part:all', 'part:dead')).to.equal(true);
		expect(course.isRefused('new', 'part:all', 'part:9')).to.equal(false);
	});

	// Guards against a lookup that came while answers were lost for seconds, and was refused for hours (KNOWN-RED 10).
	it('withdraws the verdict on a request whose answers were lost, once the upstreams answer others', () => {
		const course = new Course();
		for (let count = 0; count < MAX_CRASHES_TO_VERDICT; count += 1) {
			course.crash(['lookup']);
		}

		expect(course.isRefused('lookup')).to.equal(true);
		course.now += 5000;
		for (let count = 0; count < MAX_CRASHES_TO_VERDICT; count += 1) {
			course.answer(`up-${count + 1}`, [`other${count}`]);
		}

		expect(course.isRefused('lookup')).to.equal(false);
	});

	// Guards against parts condemned by servers that crash for another reason: power, a bad build, a roll-out, lost answers.
	it('condemns no part when many upstreams lose power at once, though all requests in flight share it', () => {
		const course = new Course();
		course.now += 1000;
		for (let index = 0; index < 40; index += 1) {
			course.crashAt(`dark-${index}`, [`r${index}`, 'part:all']);
		}

		course.answerOthers();
		expect(course.isRefused('new', 'part:all')).to.equal(false);
	});

	it('condemns no part that all requests share when each upstream crashes with each request', () => {
		const course = new Course();
		for (let count = 0; count < 30; count += 1) {
			course.crash([`r${count}`, 'part:all', `part:${count % 7}`]);
		}

		expect(course.isRefused('new', 'part:all')).to.equal(false);
		expect(course.isRefused('new', 'part:3')).to.equal(false);
	});

	it('condemns no part by lost answers of upstreams that answer on', () => {
		const course = new Course();
		for (let count = 0; count < 20; count += 1) {
			course.now += 1000;
			course.crashAt(`up-${count}`, [`r${count}`, 'part:a']);
			course.now += 500;
			course.answer(`up-${count}`, [`o${count}`, 'part:o'], [`p${count}`, 'part:o']);
		}

		expect(course.isRefused('new', 'part:a')).to.equal(false);
	});

	it('sums up crashes that five nodes saw, and holds at a node that joins later', () => {
		const courses = Array.from({length: 5}, () => new Course());
		const leader = new Course();
		leader.now = 10_000;
		for (const [index, course] of courses.entries()) {
			course.now = 1000 * index;
			course.crashAt(`up-${index}`, [`r${index}`, 'part:dead', `part:${index}`]);
		}

		leader.answerOthers();
		for (const course of courses) {
			leader.quarantine.import(course.quarantine.export(leader.now), leader.now);
		}

		leader.answerOthers();
		leader.crashAt('up-5', ['r5', 'part:dead']);
		expect(leader.isRefused('new', 'part:dead', 'part:9')).to.equal(true);
		const late = new Course();
		late.quarantine.import(leader.quarantine.export(leader.now), late.now);
		expect(late.isRefused('new', 'part:dead')).to.equal(true);
	});

	// Guards against a verdict that never ends, and against one whose end lets a whole series of crashes begin anew.
	it('tries one request after the quarantine, renews it after a crash and ends it after an answer', () => {
		const course = new Course();
		for (let count = 0; count < MAX_CRASHES_TO_VERDICT; count += 1) {
			course.crash([`r${count}`, 'part:dead']);
			course.answerOthers();
		}

		for (let trial = 0; trial < 3; trial += 1) {
			course.now += QUARANTINE_MS;
			expect(course.isRefused('new', 'part:dead')).to.equal(false);
			course.quarantine.beginTrial(['new', 'part:dead'], course.now);
			expect(course.quarantine.findRefusal(['next', 'part:dead'], course.now)).to.equal('part:dead');
			expect(course.isRefused('new', 'part:dead')).to.equal(false);
			course.crash([`trial${trial}`, 'part:dead']);
			expect(course.isRefused('next', 'part:dead')).to.equal(true);
		}

		course.now += QUARANTINE_MS;
		course.answer('new-version', ['new', 'part:dead']);
		expect(course.isRefused('next', 'part:dead')).to.equal(false);
		course.crash(['r', 'part:dead']);
		expect(course.isRefused('next', 'part:dead')).to.equal(false);
	});

	it('lists a verdict once, although some of its crashes were cleared, and lifts it', () => {
		const course = new Course();
		for (let count = 0; count < MAX_CRASHES_TO_VERDICT; count += 1) {
			course.crash([`r${count}`, 'part:dead']);
			course.answerOthers();
		}

		course.crashAt('up-9', ['s', 'part:dead']);
		course.now += 500;
		course.answer('up-9', ['t', 'part:other']);
		expect(course.isRefused('new', 'part:dead')).to.equal(true);
		expect(course.quarantine.exportQuarantined(course.now).map(({feature, isCleared}) => [feature, isCleared])).to.deep.equal([['part:dead', false]]);
		expect(course.quarantine.lift('part:dead', course.now)).to.equal(true);
		expect(course.isRefused('new', 'part:dead')).to.equal(false);
		expect(course.quarantine.lift('part:unknown', course.now)).to.equal(false);
	});

	it('keeps a verdict while thousands of other parts are suspected', () => {
		const course = new Course();
		for (let count = 0; count < MAX_CRASHES_TO_VERDICT; count += 1) {
			course.crash([`r${count}`, 'part:dead']);
			course.answerOthers();
		}

		for (let count = 0; count < 400; count += 1) {
			course.crash([`f${count}`, ...Array.from({length: 64}, (_, index) => `part:${count}-${index}`)]);
			expect(course.isRefused('new', 'part:dead')).to.equal(true);
		}
	});

	const plans: ReadonlyArray<readonly [string, Partial<QuarantinePlan>]> = [
		['one request in a hundred', {deadlyShare: 0.01}],
		['one in five, the first part', {deadlyShare: 0.2, isFirstPart: true}],
		['kills, a power loss and lost answers', {killsPerSecond: 0.5, powerLossShare: 0.5, lostShare: 0.02}],
		['the allocator lost', {leaderLostAt: 4700}],
		['crashes behind the first event', {crashAfterMs: 40}],
		['crashes before the last event, beside kills', {crashAfterMs: 550, killsPerSecond: 0.5}],
		['crashes behind the first event, the allocator lost', {crashAfterMs: 40, leaderLostAt: 4700}],
	];
	const quiet: QuarantinePlan = {
		seed: 1, vms: 5, deadlyShare: 0.05, isFirstPart: false, killsPerSecond: 0, powerLossShare: 0, lostShare: 0, leaderLostAt: undefined,
	};
	for (const [name, changes] of plans) {
		it(`refuses the part in time and no sound request, with ${name}, seeds 1 to 5`, () => {
			for (let seed = 1; seed <= 5; seed += 1) {
				const {late, soundRefused} = simulateQuarantine({...quiet, ...changes, seed});
				expect(late, `seed ${seed}`).to.be.at.most(MAX_LATE_REQUESTS);
				expect(soundRefused, `seed ${seed}`).to.equal(0);
			}
		});
	}

	it('fails these checks if crashes are not reported', () => {
		expect(simulateQuarantine({...quiet, isBlind: true}).late).to.be.above(MAX_LATE_REQUESTS);
	});
});
