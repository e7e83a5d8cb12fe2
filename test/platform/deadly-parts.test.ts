import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type CallerAnswer} from '../../soak/sent-call.js';
import {STREAM_EVENTS} from '../../standins/platform-server.js';

/** Time within which all VMs must know of a verdict, and the requests allowed after it, as the platform's rules state. */
const CONTACT_MS = 3000;
const CRASHES_TO_VERDICT = 5;
const MAX_LATE_REQUESTS = 3;
/** Share of the sound requests that must begin at the first attempt after twice the contact time. */
const MIN_SOUND_SHARE = 0.9;
const REQUEST_INTERVAL_MS = 15;
/** Of the requests, one in this many has the deadly part. */
const DEADLY_INTERVAL = 10;

describe('platform processes with a prompt part that crashes engines', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;

	beforeEach(async () => {
		deployment = await PlatformDeployment.start(3, 8);
	});

	afterEach(async () => {
		await deployment.stop();
	});

	/** Sends prompts to all VMs in turn. */
	async function send(prompts: (count: number) => string, durationMs: number): Promise<CallerAnswer[]> {
		const answers: Array<Promise<CallerAnswer>> = [];
		const end = performance.now() + durationMs;
		for (let count = 0; performance.now() < end; count += 1) {
			answers.push(deployment.call(deployment.vms[count % deployment.vms.length]!, 'stream', undefined, prompts(count)));
			await sleep(REQUEST_INTERVAL_MS); // eslint-disable-line no-await-in-loop -- paces the requests
		}

		return Promise.all(answers);
	}

	/** @returns A prompt with the deadly part in one of `DEADLY_INTERVAL` requests, all with the same first part. */
	const mixedPrompt = (count: number) => `a1:60,${count % DEADLY_INTERVAL === 0 ? 'dead' : 'b2'}:40,${(count + 1000).toString(16)}:20`;

	function expectFewLateArrivals(part: string): void {
		const contactEndsAt = deployment.deadlyCrashes[CRASHES_TO_VERDICT - 1]! + CONTACT_MS;
		const late = deployment.arrivalsWith(part).filter(at => at > contactEndsAt);
		expect(late.length, `crashes: ${deployment.deadlyCrashes.length}`).to.be.at.most(MAX_LATE_REQUESTS);
		expect(deployment.violations).to.deep.equal([]);
	}

	/** Lets a part crash engines in some way, and checks what reaches them and what happens to requests with the same first part. */
	async function crashEngines(deadlyCrash: Partial<PlatformDeployment['deadlyCrash']>): Promise<void> {
		await send(() => 'a1:60,b2:40,ff:20', 500);
		deployment.setDeadlyCrash(deadlyCrash);
		deployment.deadlyParts.add('dead');
		await send(mixedPrompt, 2 * CONTACT_MS);
		const answers = await send(mixedPrompt, CONTACT_MS);
		expectFewLateArrivals('dead');
		const sound = answers.filter((_answer, count) => count % DEADLY_INTERVAL !== 0);
		expect(sound.filter(({status, isWhole}) => status === 200 && isWhole).length / sound.length).to.be.at.least(MIN_SOUND_SHARE);
		const refused = answers.filter((_answer, count) => count % DEADLY_INTERVAL === 0);
		expect([...new Set(refused.map(({status}) => status))]).to.deep.equal([422]);
		expect(refused.filter(({headers}) => headers['retry-after'] !== undefined)).to.deep.equal([]);
	}

	// Guards against requests that share a deadly part but nothing else, each of which crashed one more engine after the other.
	it('keeps requests with the part from engines, and serves those with the same first part', async () => crashEngines({}));

	// Guards against a part that the beginning of each answer cleared (review/3).
	it('does so if engines crash behind their first event', async () => crashEngines({eventsBeforeCrash: 1}));

	// Guards against a part that is cleared by an upstream that writes only the end of an answer.
	it('does so if engines crash before their last event', async () => crashEngines({eventsBeforeCrash: STREAM_EVENTS - 1}));

	// Guards against crashes that are not known as such, as no connection was closed.
	it('does so if engines fall silent behind their first event', async () => crashEngines({eventsBeforeCrash: 1, crashesSilently: true}));
});
