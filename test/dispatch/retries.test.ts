import {Readable} from 'node:stream';
import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {request} from 'undici';
import {SystemClock} from '../../src/base/clock.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {Deployment, digestKey} from '../../src/config/deployment.js';
import {subtreeSchema} from '../../src/config/schema.js';
import {RetryBudget} from '../../src/policy/retry-budget.js';
import {createUnselectiveScheduler} from '../support/dev-cluster.js';
import {Node} from '../../src/serve/node.js';
import {MemoryTable} from '../../src/store/memory-table.js';
import {BookingStandIn} from '../../standins/booking.js';
import {createStrictLog} from '../support/strict-log.js';

const location = {region: 'local', dataCentre: 'local-1'};

describe('retries of plain services', () => {
	let node: Node;
	let upstreams: BookingStandIn[];

	beforeEach(async () => {
		upstreams = await Promise.all([BookingStandIn.start(), BookingStandIn.start(), BookingStandIn.start()]);
		node = Node.create({
			clock: SystemClock.create(), log: createStrictLog(), platform: {table: MemoryTable.create()}, host: '127.0.0.1', port: 0, ...location, throwOnViolation: true,
			// The default scheduler stops sending to failing upstreams, which would mask a missing retry budget.
			createScheduler: createUnselectiveScheduler,
		});
		const operations = [{method: 'PUT', path: '/records/*', idempotent: true}];
		node.settings.apply(Deployment.create(new Map([['team', subtreeSchema.parse({
			services: {
				booking: {
					kind: 'plain', tiers: [{name: 'advice', deadlineMs: 10_000}], defaultTier: 'advice', operations,
				},
			},
			customers: {guest: {keyDigests: [digestKey('key')]}},
			upstreams: Object.fromEntries(upstreams.map((upstream, index) => [`booking-${index}`, {service: 'booking', url: upstream.url, ...location}])),
		})]])));
		await node.start();
	});

	afterEach(async () => {
		await node.stop();
		await Promise.all(upstreams.map(async upstream => upstream.stop()));
	});

	async function call(method: 'GET' | 'POST' | 'PUT', path: string, body?: string | Readable, headers: Record<string, string> = {}) {
		const res = await request(`http://${node.address}/services/booking${path}`, {method, body, headers: {authorization: 'Bearer key', ...headers}});
		return {status: res.statusCode, ran: res.headers['redwingspool-ran'], text: await res.body.text()};
	}

	function countRequests(): number {
		return upstreams.reduce((sum, upstream) => sum + upstream.requestCount, 0);
	}

	for (const fault of ['cut', 502, 503, 504] as const) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func -- mocha runs the tests one after the other
		it(`retries an idempotent operation at another upstream after ${fault}`, async () => {
			for (const upstream of upstreams.slice(0, 2)) {
				upstream.cutsRequests = fault === 'cut';
				upstream.failureStatus = fault === 'cut' ? undefined : fault;
			}

			const response = await call('GET', '/records/1');
			expect(response.status).to.equal(200);
		});
	}

	it('sends a non-idempotent operation only once and relays its 503 response', async () => {
		for (const upstream of upstreams) {
			upstream.failureStatus = 503;
		}

		const response = await call('POST', '/holds', 'a', {'idempotency-key': 'once'});
		expect(response.status).to.equal(503);
		expect(countRequests()).to.equal(1);
	});

	it('relays the last error response when every attempt failed, and reports ran unknown after a lost connection', async () => {
		for (const upstream of upstreams) {
			upstream.failureStatus = 503;
		}

		expect(await call('GET', '/records/1')).to.include({status: 503, text: '{"failed":true}'});
		for (const upstream of upstreams) {
			upstream.cutsRequests = true;
		}

		expect(await call('GET', '/records/1')).to.include({status: 502, ran: 'unknown'});
	});

	it('sends at most 1.1 attempts per request plus the burst while all upstreams fail', async () => {
		for (const upstream of upstreams) {
			upstream.cutsRequests = true;
		}

		const requests = 400;
		const start = performance.now();
		for (let sent = 0; sent < requests; sent += 20) {
			// eslint-disable-next-line no-await-in-loop
			await Promise.all(Array.from({length: 20}, async () => call('GET', '/records/1')));
		}

		const seconds = (performance.now() - start) / 1000;
		expect(countRequests()).to.be.at.most((1.1 * requests) + 10 + seconds);
		expect(countRequests()).to.be.above(requests);
	});

	it('forwards a streamed request body unchanged', async () => {
		const body = 'x'.repeat(700_000);
		const response = await call('PUT', '/records/1', Readable.from([body.slice(0, 300_000), body.slice(300_000)].map(text => Buffer.from(text))), {'content-length': String(body.length)});
		expect(response.status).to.equal(201);
		expect(upstreams.flatMap(upstream => upstream.holds).map(hold => hold.body)).to.deep.equal([body]);
	});

	it('does not retry after a streamed body was read', async () => {
		for (const upstream of upstreams) {
			upstream.cutsRequests = true;
		}

		const response = await call('PUT', '/records/1', 'some body');
		expect(response).to.include({status: 502, ran: 'unknown'});
		expect(countRequests()).to.equal(1);
	});

	it('retries a streamed body at another upstream when the connection was refused before the body was read', async () => {
		await upstreams[0]!.stop();
		const responses = await Promise.all(Array.from({length: 6}, async () => call('PUT', '/records/1', 'some body')));
		expect(responses.map(response => response.status)).to.deep.equal(Array.from({length: 6}).fill(201));
		await upstreams[0]!.restart();
	});
});

describe('retry budget', () => {
	it('allows at most 0.1 retries per request plus one per second plus the burst', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(400), fc.nat(3)), {minLength: 1, maxLength: 300}), steps => {
			const clock = VirtualClock.create();
			const budget = RetryBudget.create(clock);
			let [spent, elapsed] = [0, 0];
			for (const [gap, tries] of steps) {
				clock.advance(gap);
				elapsed += gap;
				budget.noteRequest('c', 'p');
				for (let index = 0; index < tries; index++) {
					spent += budget.spend('c', 'p') ? 1 : 0;
				}
			}

			expect(spent).to.be.at.most(10 + (0.1 * steps.length) + (elapsed / 1000) + 1e-6);
		}), {seed: 2});
	});
});
