import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {type Ran} from '../../src/base/errors.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {FakeUpstream} from '../../soak/fake-upstream.js';
import {ProcessClock} from '../../soak/process-clock.js';
import {type ExchangeHandler} from '../../src/upstream/exchange.js';
import {ResumedLeg} from '../../src/dispatch/legs.js';
import {type Relay} from '../../src/dispatch/relay.js';

describe('a resume that is refused', () => {
	// Found by `npm run soak -- --seed 1`: the refused connection of a resume read as "not run" for a request that ran.
	it('does not say that the request was not run', async () => {
		const clock = VirtualClock.create();
		const upstream = new FakeUpstream(clock, Random.create(1), 10);
		const engine = upstream.connect(ProcessClock.create(clock));
		upstream.crash();
		const lost: Array<{ran: Ran; wasSent: boolean}> = [];
		const relay: Pick<Relay, 'lose'> = {
			lose(err, wasSent) {
				lost.push({ran: err.answer.ran, wasSent});
			},
		};
		const leg: ExchangeHandler = new ResumedLeg(relay as Relay, Buffer.from('received').byteLength);
		engine.resume('dispatch', 8, 1000, leg);
		await clock.advanceAsync(100);
		expect(lost).to.deep.equal([{ran: 'unknown', wasSent: true}]);
	});
});
