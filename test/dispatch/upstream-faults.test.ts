import {expect} from 'chai';
import {type FaultReport, measureUpstreamFaults} from '../../bench/upstream-faults.js';

describe('engine process faults', function () {
	this.timeout(60_000);
	let reports: {stall: FaultReport; crash: FaultReport};

	before(async () => {
		reports = await measureUpstreamFaults();
	});

	it('continues the responses of a stalled engine once it recovers (guards against abandoning streams too early)', () => {
		expect(reports.stall).to.include({brokenOff: 0, failed: 0});
	});

	it('breaks off only responses that a crashed engine had started (guards against spreading failures)', () => {
		const {brokenOff, failed, inFlightAtFault, sentDuringFault} = reports.crash;
		// A request that was sent at the moment of the crash gets no response and is not retried.
		expect(failed).to.be.at.most(sentDuringFault);
		expect(brokenOff + failed).to.be.at.most(inFlightAtFault + sentDuringFault);
	});

	for (const fault of ['stall', 'crash'] as const) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func -- mocha runs the tests one after the other
		it(`sends little to an engine during a ${fault} and uses it again after (guards against missing ejection and return)`, () => {
			expect(reports[fault].sentDuringFault).to.be.at.most(40);
			expect(reports[fault].whole).to.be.above(0);
			expect(reports[fault].sentInLastSecond).to.be.above(0);
		});
	}
});
