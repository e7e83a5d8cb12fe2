import {expect} from 'chai';
import {type CallCircumstances, findEndingFault} from '../../soak/ending-rule.js';
import {findAccountFaults} from '../../soak/request-account.js';
import {type SentCall} from '../../soak/sent-call.js';
import {VmProcess} from '../../soak/vm-process.js';
import {type Run} from '../../standins/platform-server.js';

const vm = new VmProcess('vm-1', '/nonexistent', {
	front: '', ready: '', directory: '', metrics: '', control: '',
});
const run: Run = {
	id: 'r1', method: 'POST', target: '/unsafe/r1', body: '', isBodyRead: true, tenant: 'crew', deadlineMs: 3000, prompt: '', at: 105, endedAt: 120, isTorn: false,
};

function createCall(status: number, isWhole: boolean, changes: Partial<SentCall> = {}): SentCall {
	return {
		id: 'r1', kind: 'unsafe', vm, pid: 1, method: 'POST', prefix: '/unsafe/', target: '/unsafe/r1', body: '', apiKey: 'key-1', prompt: undefined, followsOpenRequest: false, startedAt: 100, sentAt: 100, endedAt: 500, hasCallerLeft: false,
		answer: {
			id: 'r1', status, headers: {}, body: '', isWhole,
		},
		...changes,
	};
}

const calm: CallCircumstances = {
	runs: [run], isVmDisturbed: false, isLastRunDisturbed: false, isServerDisturbed: false, timeLimitMs: {min: 3000, max: 3000},
};
const notRun = {...calm, runs: []};

describe('check of how requests end', () => {
	// Each is a way in which a request was lost, or would be: the check must find it.
	const faults: ReadonlyArray<readonly [string, SentCall, CallCircumstances, RegExp]> = [
		['a request that ran and has no answer', createCall(0, false), calm, /ran, and its connection closed/v],
		['one behind an open request that ran and has no answer', createCall(0, false, {followsOpenRequest: true}), calm, /behind an open request/v],
		['an answer that is not complete', createCall(200, false), calm, /without a complete answer/v],
		['a request that did not run, long before the close', createCall(0, false), notRun, /got no answer/v],
		['a request that the caller waited for in vain', createCall(0, false, {hasCallerLeft: true, endedAt: 4100}), notRun, /had no complete answer/v],
		['a refusal of a request that ran', createCall(503, true), calm, /reported to its caller as not run/v],
		['an unsafe request that ran twice', createCall(200, true), {...calm, runs: [run, run]}, /ran 2 times/v],
		['a failure though the servers are sound', createCall(502, true), calm, /status 502/v],
		['a time-out before the time limit', createCall(504, true), notRun, /status 504/v],
	];
	for (const [title, call, circumstances, expected] of faults) {
		it(`finds ${title}`, () => {
			expect(findEndingFault(call, circumstances)).to.match(expected);
		});
	}

	const allowed: ReadonlyArray<readonly [string, SentCall, CallCircumstances]> = [
		['a complete answer', createCall(200, true), calm],
		['a true refusal', createCall(503, true), notRun],
		['a request that crosses the close', createCall(0, false, {endedAt: 250}), notRun],
		['one behind an open request that did not run', createCall(0, false, {followsOpenRequest: true}), notRun],
		['a killed VM', createCall(0, false), {...calm, isVmDisturbed: true}],
		['a server that broke off', createCall(200, false), {...calm, isLastRunDisturbed: true, isServerDisturbed: true}],
		['a time-out at the time limit', createCall(504, true, {endedAt: 3100}), calm],
		['a request that was not sent completely', createCall(0, false, {sentAt: Number.NaN}), notRun],
	];
	for (const [title, call, circumstances] of allowed) {
		it(`allows ${title}`, () => {
			expect(findEndingFault(call, circumstances)).to.equal(undefined);
		});
	}

	it('finds requests that a process has read and not accounted for, lost ones and violated promises', () => {
		const lines = (open: number, end: string, violated: number) => `redwingspool_requests_begun_total 5\nredwingspool_request_ends_total{end="answered"} 2\nredwingspool_request_ends_total{end="${end}"} 1\nredwingspool_requests_open ${open}\nredwingspool_promises_violated_total{promise="P3"} ${violated}\n`;
		expect(findAccountFaults(lines(2, 'refused', 0))).to.deep.equal([]);
		expect(findAccountFaults(lines(1, 'refused', 0))).to.have.length(1);
		expect(findAccountFaults(lines(2, 'lost', 0))).to.have.length(1);
		expect(findAccountFaults(lines(2, 'refused', 1))).to.have.length(1);
	});
});
