import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';

const STREAM_COUNT = 200;
/** Time between two streams, in ms: about half of what the servers can process. */
const STREAM_INTERVAL_MS = 16;
/** Of ten streams, those that their server tears inside an event. */
const TORN_OF_TEN = 3;

describe('streams that servers tear inside an event', function () {
	this.timeout(60_000);

	// Guards against torn streams for which sound ones are refused: servers that are blamed, or budgets that are used up.
	it('do not keep sound streams at the same servers from being served', async () => {
		const deployment = await PlatformDeployment.start(2, 3);
		const statuses: Array<Promise<readonly [isTorn: boolean, status: number | 'cut']>> = [];
		for (let index = 0; index < STREAM_COUNT; index += 1) {
			const isTorn = index * 7 % 10 < TORN_OF_TEN;
			const call = deployment.createCall(deployment.vms[index % 2]!, 'stream', {query: isTorn ? 'torn=1' : 'x=1'});
			statuses.push((async () => {
				const {status, isWhole} = await deployment.sendCall(call);
				return [isTorn, isWhole ? status : 'cut'] as const;
			})());
			await sleep(STREAM_INTERVAL_MS); // eslint-disable-line no-await-in-loop -- paces the streams
		}

		const answers = await Promise.all(statuses);
		deployment.checkServers();
		await deployment.stop();
		const sound = answers.filter(([isTorn]) => !isTorn);
		expect(new Set(sound.map(([, status]) => status))).to.deep.equal(new Set([200]));
		expect(answers.filter(([isTorn, status]) => isTorn && status === 200)).to.have.length.above(0);
		expect(deployment.violations).to.deep.equal([]);
	});
});
