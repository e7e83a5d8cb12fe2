import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {Ran} from '../../src/base/errors.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {addressesFor} from '../../src/gateway/address-selection.js';
import {EventSplitter, MAX_EVENT_BYTES} from '../../src/gateway/event-splitter.js';
import {Ending, mayRetry, ranByEnding} from '../../src/gateway/exchange-ending.js';
import {
	Operation, pickTarget, type Route, RoutingTable,
} from '../../src/gateway/routing-table.js';
import {type Upstream, UpstreamList} from '../../src/gateway/upstream-list.js';
import {UpstreamRegistry} from '../../src/gateway/upstream-registry.js';
import {type Member} from '../../src/link/messages.js';

function makeRoute(prefix: string): Route {
	return {
		name: prefix,
		host: 'desk.example',
		prefix,
		operation: Operation.Safe,
		timeoutMs: 1000,
		objectiveMs: 100,
		rank: 0,
		targets: [{pool: 'ledger', weight: 1}],
		maxAttempts: 2,
		isPublic: false,
		isResumable: false,
		maxPauseMs: undefined,
	};
}

describe('routing table', () => {
	const table = RoutingTable.create({
		version: 3,
		routes: ['/', '/a/', '/a/b/'].map(prefix => makeRoute(prefix)),
		customers: [{
			name: 'large', apiKeys: ['k1', 'k2'], rank: undefined, quota: undefined,
		}],
		pools: [],
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		hasCustomers: true,
	});

	it('matches the longest prefix of whole path segments, without the query', () => {
		const found = (target: string) => table.findRoute('desk.example:80', target)?.prefix;
		expect(found('/a/b/c')).to.equal('/a/b/');
		expect(found('/a/b')).to.equal('/a/');
		expect(found('/ab/c')).to.equal('/');
		expect(found('/x?next=/a/b/c')).to.equal('/');
		expect(table.findRoute('other.example', '/a/')).to.equal(undefined);
	});

	it('finds customers by any of their API keys', () => {
		expect(table.findCustomer('k2')?.name).to.equal('large');
		expect(table.findCustomer('k3')).to.equal(undefined);
	});

	it('picks targets by weight, and never one of weight 0', () => {
		const targets = [{pool: 'a', weight: 90}, {pool: 'b', weight: 10}, {pool: 'c', weight: 0}];
		expect(pickTarget(targets, 0.89)?.pool).to.equal('a');
		expect(pickTarget(targets, 0.91)?.pool).to.equal('b');
		expect(pickTarget(targets, 0.999_999_999)?.pool).to.equal('b');
	});
});

describe('exchange endings', () => {
	it('never allow a retry of a request that may have run and must run at most once', () => {
		for (const ending of Object.values(Ending)) {
			if (ranByEnding[ending] !== Ran.No) {
				expect(mayRetry(ending, Operation.Unsafe, true), ending).to.equal(false);
				expect(mayRetry(ending, Operation.Stream, false), ending).to.equal(false);
			}
		}
	});

	it('allow a retry of any request that did not run', () => {
		for (const ending of [Ending.NotRun, Ending.OtherUpstream, Ending.NotConnected]) {
			expect(mayRetry(ending, Operation.Unsafe, false), ending).to.equal(true);
		}
	});
});

describe('event splitter', () => {
	it('returns only complete events, wherever the chunks are split', () => {
		const event = fc.record({id: fc.nat(), data: fc.constantFrom('', 'a', 'two words', 'id: 7'), newline: fc.constantFrom('\n', '\r\n')});
		fc.assert(fc.property(fc.array(event, {maxLength: 8}), fc.array(fc.integer({min: 1, max: 9})), (events, chunkLengths) => {
			const texts = events.map(({id, data, newline}) => `id: ${id}${newline}data: ${data}${newline}${newline}`);
			const whole = Buffer.from(texts.join(''));
			const splitter = EventSplitter.create();
			let passed = '';
			let count = 0;
			for (let start = 0, step = 0; start < whole.length; step += 1) {
				const end = start + (chunkLengths[step] ?? whole.length);
				const complete = splitter.push(whole.subarray(start, end));
				passed += Buffer.from(complete.bytes).toString();
				count += complete.count;
				expect(texts.join('').startsWith(passed)).to.equal(true);
				expect(splitter.lastId).to.equal(count === 0 ? undefined : String(events[count - 1]!.id));
				start = end;
			}

			expect(passed).to.equal(whole.toString());
			expect(count).to.equal(events.length);
		}));
	});

	// Guards against work for each chunk that grows with the event, which kept the event loop for seconds (review/5).
	it('copies a number of bytes that is linear in those it was given, whatever the size of the chunks', () => {
		const {concat} = Buffer;
		let copied = 0;
		Buffer.concat = (list, length) => {
			const bytes = concat(list, length);
			copied += bytes.length;
			return bytes;
		};

		try {
			const text = 'data: '.padEnd(MAX_EVENT_BYTES / 4, 'x\n');
			for (const chunkBytes of [1, 2, 7, 1000]) {
				copied = 0;
				const splitter = EventSplitter.create();
				for (let start = 0; start < text.length; start += chunkBytes) {
					splitter.push(Buffer.from(text.slice(start, start + chunkBytes)));
				}

				expect(splitter.push(Buffer.from('\n')).bytes.length).to.equal(text.length + 1);
				expect(copied).to.be.below(5 * text.length);
			}
		} finally {
			Buffer.concat = concat;
		}
	});

	it('knows line ends between events from the inside of one', () => {
		for (const [text, isInside] of [['', false], ['\n', false], ['\r\n', false], ['data', true], ['data\n', true], ['data\r', true], ['data\r\r', false], ['data\n\n', false], ['data\n\r\n\n', false]] as const) {
			for (const chunkBytes of [1, 2, text.length + 1]) {
				const splitter = EventSplitter.create();
				for (let start = 0; start < text.length; start += chunkBytes) {
					splitter.push(Buffer.from(text.slice(start, start + chunkBytes)));
				}

				expect(splitter.isInsideEvent, JSON.stringify(text)).to.equal(isInside);
			}
		}
	});

	it('discards an incomplete event when its upstream is lost', () => {
		const splitter = EventSplitter.create();
		splitter.push(Buffer.from('id: 1\n\nid: 2\ndata: ha'));
		expect(splitter.isInsideEvent).to.equal(true);
		splitter.reset();
		expect(Buffer.from(splitter.push(Buffer.from('id: 2\n\n')).bytes).toString()).to.equal('id: 2\n\n');
	});
});

describe('upstream registry', () => {
	const upstream = (id: string, isLeaving = false): Upstream => ({
		id, pool: 'advice', address: '10.0.0.1:80', dataCentre: 'a', region: 'r', slots: 4, isLeaving, startedAt: 1,
	});
	let clock: VirtualClock;
	let list: UpstreamList;
	let registry: UpstreamRegistry;

	beforeEach(() => {
		clock = VirtualClock.create();
		list = UpstreamList.create();
		registry = UpstreamRegistry.create(clock, list, changes => {
			list.apply(changes);
		});
		registry.replace([upstream('a'), upstream('b'), upstream('c', true)], state(1));
	});

	const ids = () => list.all.map(({id}) => id);
	const state = (era: number, versions: Readonly<Record<string, number>> = {}) => ({era, versions: new Map(Object.entries(versions))});

	// Guards against upstreams of the leader's list that are removed by what this VM saw in the store before it linked.
	it('removes nothing once the list of another VM is in use', () => {
		registry.replace([upstream('a')], state(2));
		registry.suspend();
		list.apply(list.diff([upstream('a'), upstream('b')]));
		clock.advance(6000);
		expect(ids()).to.deep.equal(['a', 'b']);
	});

	// Guards against upstreams that are removed although they have registered again, unchanged.
	it('keeps an upstream that is listed again before the time to register again is over', () => {
		registry.replace([upstream('a')], state(2));
		clock.advance(300);
		registry.replace([upstream('a'), upstream('b')], state(2));
		clock.advance(6000);
		expect(ids()).to.deep.equal(['a', 'b']);
	});

	// Guards against a timer that runs each ms while the store is away.
	it('waits for the store to return before it removes what expired', () => {
		let timers = 0;
		const {setTimer} = clock;
		clock.setTimer = (ms, callback) => {
			timers += 1;
			return setTimer.call(clock, ms, callback);
		};

		registry.replace([upstream('a')], state(2));
		registry.noteStoreUnreachable();
		clock.advance(8000);
		expect(timers).to.be.below(5);
		expect(ids()).to.deep.equal(['a', 'b']);
		registry.noteStoreReachable();
		clock.advance(3000);
		expect(ids()).to.deep.equal(['a']);
	});

	it('removes an upstream as soon as the store removes it', () => {
		registry.apply({changed: [], removed: ['a']});
		expect(ids()).to.deep.equal(['b', 'c']);
	});

	it('keeps upstreams whose entries expired during a store outage until they had time to register again', () => {
		registry.noteStoreUnreachable();
		clock.advance(5000);
		registry.noteStoreReachable();
		registry.replace([], state(1));
		expect(ids()).to.deep.equal(['a', 'b']);
		clock.advance(1000);
		registry.apply({changed: [upstream('a')], removed: []});
		clock.advance(2000);
		expect(ids()).to.deep.equal(['a']);
	});

	// Guards against upstreams that left and are used again because a store that went back lists them.
	it('keeps out what had left before the store went back, until it registers again', () => {
		registry.apply({changed: [], removed: ['a']});
		registry.replace([upstream('a'), upstream('b'), upstream('c', true)], state(2, {a: 3}));
		expect(ids()).to.deep.equal(['b', 'c']);
		registry.replace([upstream('a'), upstream('b'), upstream('c', true)], state(2, {a: 3}));
		expect(ids()).to.deep.equal(['b', 'c']);
		registry.replace([upstream('a'), upstream('b')], state(3, {a: 3}));
		expect(ids()).to.deep.equal(['b']);
		registry.apply({changed: [upstream('a')], removed: []});
		expect(ids()).to.deep.equal(['b', 'a']);
	});

	it('takes an entry that was written since the first listing after the store went back', () => {
		registry.apply({changed: [], removed: ['a']});
		registry.replace([upstream('a'), upstream('b')], state(2, {a: 3}));
		registry.replace([upstream('a'), upstream('b')], state(2, {a: 9}));
		expect(ids()).to.deep.equal(['b', 'a']);
	});

	it('takes an upstream that comes back while the store has not gone back', () => {
		registry.apply({changed: [], removed: ['a']});
		registry.replace([upstream('a'), upstream('b')], state(1));
		expect(ids()).to.deep.equal(['b', 'a']);
		registry.replace([upstream('a'), upstream('b')], state(2));
		expect(ids()).to.deep.equal(['b', 'a']);
	});

	it('keeps out the start before, and keeps the present one, if the store went back over a restart', () => {
		registry.apply({changed: [{...upstream('a'), startedAt: 2}], removed: []});
		registry.replace([upstream('a'), upstream('b')], state(2));
		expect(list.get('a')?.startedAt).to.equal(2);
		registry.apply({changed: [{...upstream('a'), startedAt: 2}], removed: []});
		clock.advance(5000);
		expect(list.get('a')?.startedAt).to.equal(2);
	});

	// Guards against upstreams that are dropped because the store forgot them, in an outage too short to be noticed.
	it('keeps upstreams that came since the copy until they had time to register again', () => {
		registry.apply({changed: [upstream('new'), upstream('newer')], removed: []});
		registry.replace([upstream('a'), upstream('b')], state(2));
		expect(ids()).to.deep.equal(['a', 'b', 'new', 'newer']);
		registry.apply({changed: [upstream('new')], removed: []});
		clock.advance(2400);
		expect(ids()).to.deep.equal(['a', 'b', 'new']);
	});

	it('removes a leaving upstream immediately, even after a store outage', () => {
		registry.noteStoreUnreachable();
		registry.noteStoreReachable();
		registry.apply({changed: [], removed: ['c']});
		expect(ids()).to.deep.equal(['a', 'b']);
	});
});

describe('addresses for callers', () => {
	const member = (name: string, dataCentre: string, region: string, isReady = true): Member => ({
		name, frontAddress: `${name}:80`, linkAddress: `${name}:81`, dataCentre, region, strength: 1, boot: name, isReady,
	});
	const members = [
		member('a1', 'a', 'r'), member('a2', 'a', 'r'), member('b1', 'b', 'r'), member('b2', 'b', 'r', false), member('c1', 'c', 's'),
	];

	it('are the ready VMs of the caller\'s data centre, else of its region, else all ready VMs', () => {
		expect(addressesFor(members, {region: 'r', dataCentre: 'a'})).to.deep.equal(['a1:80', 'a2:80']);
		expect(addressesFor(members, {region: 'r', dataCentre: 'b'})).to.deep.equal(['a1:80', 'a2:80', 'b1:80']);
		expect(addressesFor(members, {region: 's', dataCentre: 'c'})).to.deep.equal(['a1:80', 'a2:80', 'b1:80', 'c1:80']);
	});

	it('never include a VM that is not ready', () => {
		expect(addressesFor(members.filter(({name}) => name === 'b2'), {region: 'r', dataCentre: 'b'})).to.deep.equal([]);
	});
});
