import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {type Ran} from '../../src/base/errors.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {FakeUpstream} from '../../soak/fake-upstream.js';
import {ProcessClock} from '../../soak/process-clock.js';
import {type ExchangeHandler} from '../../src/upstream/exchange.js';
import {ResumedExchangeHandler} from '../../src/dispatch/exchange-handlers.js';
import {type Relay} from '../../src/dispatch/relay.js';

describe('ResumedExchangeHandler', () => {
	// Regression test: a refused connection during a resume was reported as "not run" for a request that had run. Found by
	// `npm run soak -- --seed 1`.
	it('does not report the request as not run when the connection is refused', async () => {
		const clock = VirtualClock.create();
		const upstream = new FakeUpstream(clock, Random.create(1), 10);
		const engine = upstream.connect(ProcessClock.create(clock));
		upstream.crash();
		const errors: Array<{ran: Ran; wasSent: boolean}> = [];
		const relay: Pick<Relay, 'handleError'> = {
			handleError(err, wasSent) {
				errors.push({ran: err.answer.ran, wasSent});
			},
		};
		const handler: ExchangeHandler = new ResumedExchangeHandler(relay as Relay, Buffer.from('received').byteLength);
		engine.resume('dispatch', 8, 1000, handler);
		await clock.advanceAsync(100);
		expect(errors).to.deep.equal([{ran: 'unknown', wasSent: true}]);
	});
});
