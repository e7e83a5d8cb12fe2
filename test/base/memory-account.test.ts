import {expect} from 'chai';
import {
	type Holding, HoldingKind, type HoldingOptions, MemoryAccount, Relief,
} from '../../src/base/memory-account.js';
import {heldLimitBytes} from '../../src/gateway/process-limits.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {Log} from '../../src/base/log.js';

/** Account of the smallest VMs. */
const LIMIT_BYTES = heldLimitBytes(250_000_000);
const BODY_BYTES = 4_194_304;

describe('account of held bytes', () => {
	const clock = VirtualClock.create();
	let account: MemoryAccount;
	let reliefs: Relief[];
	let ended: string[];

	beforeEach(() => {
		reliefs = [];
		ended = [];
		account = MemoryAccount.create({
			clock, log: Log.create('silent'), limitBytes: LIMIT_BYTES, onRelief: relief => reliefs.push(relief),
		});
	});

	function open(party: string, changes: Partial<HoldingOptions> = {}): Holding {
		const end = () => {
			ended.push(party);
			holding.close();
		};

		const holding = account.open({
			kind: HoldingKind.Body, party, rank: 0, idleMs: 15_000, progress: () => 0, onRefused: end, onStalled: end, ...changes,
		});
		return holding;
	}

	// Guards against more bytes than the limit, and against one party that takes the room of all others.
	it('bounds what is held, and leaves a part to other parties and to small messages', () => {
		const big = Array.from({length: 20}, () => open('crowd').tryGrow(BODY_BYTES)).filter(Boolean).length;
		expect(big * BODY_BYTES).to.be.within(20_000_000, LIMIT_BYTES / 2 * 0.9 * 0.75);
		expect(open('other').tryGrow(BODY_BYTES)).to.equal(true);
		expect(open('other').tryGrow(BODY_BYTES)).to.equal(true);
		expect(open('other').tryGrow(BODY_BYTES)).to.equal(false);
		expect(open('crowd').tryGrow(17_000)).to.equal(true);
		expect(account.heldBytes).to.be.below(LIMIT_BYTES);
	});

	// Guards against limits that today's deployments meet: bodies of 17 kB on average and up to 4 MiB.
	it('has room for a usual load at once', () => {
		for (let index = 0; index < 500; index += 1) {
			expect(open(`customer-${index % 16}`).tryGrow(17_000)).to.equal(true);
		}

		for (let index = 0; index < 5; index += 1) {
			expect(open(`customer-${index}`).tryGrow(BODY_BYTES)).to.equal(true);
		}

		expect(reliefs).to.deep.equal([]);
	});

	// Guards against refusals of important requests before others, and against a request that waits without end.
	it('gives released room to the most important body, and refuses the least important ones after a while', () => {
		const held = Array.from({length: 6}, () => open('crowd'));
		for (const holding of held) {
			holding.set(BODY_BYTES);
		}

		const granted: string[] = [];
		open('low', {rank: 5, party: 'crowd', onRefused: () => ended.push('low')}).grow(BODY_BYTES, () => granted.push('low'));
		open('high', {rank: 0, party: 'crowd', onRefused: () => ended.push('high')}).grow(BODY_BYTES, () => granted.push('high'));
		held[0]!.close();
		expect(granted).to.deep.equal(['high']);
		clock.advance(2000);
		expect(ended).to.deep.equal(['low']);
		expect(reliefs).to.deep.equal([Relief.Refused]);
	});

	// Guards against bodies that stop short of their end and keep their room, and against callers that send slowly in calm conditions and are refused.
	it('ends a body without progress after its time, and early only while room is short', () => {
		open('calm').watch();
		clock.advance(14_000);
		expect(ended).to.deep.equal([]);
		clock.advance(2000);
		expect(ended).to.deep.equal(['calm']);
		for (let index = 0; index < 9; index += 1) {
			const holding = open(`crowd-${index}`);
			holding.set(BODY_BYTES);
			holding.watch();
		}

		open('waits', {idleMs: 100_000}).grow(BODY_BYTES, () => ended.push('has room'));
		clock.advance(2000);
		expect(ended.filter(party => party.startsWith('crowd'))).to.have.length(9);
		expect(reliefs).to.include(Relief.Stalled);
	});

	// Guards against incomplete responses that all wait for each other: their requests have run and cannot be refused.
	it('lets one response at a time read on if nothing makes room', () => {
		const granted: number[] = [];
		const waiting = [0, 1].map(() => {
			const holding = open('caller', {kind: HoldingKind.Response, onRefused: undefined});
			holding.set(20_000_000);
			return holding;
		});
		for (const [index, holding] of waiting.entries()) {
			expect(holding.grow(24_000_000, () => granted.push(index))).to.equal(false);
		}

		clock.advance(1500);
		expect(granted).to.deep.equal([0]);
		waiting[0]!.close();
		expect(granted).to.deep.equal([0, 1]);
	});
});
