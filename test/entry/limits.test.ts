import {expect} from 'chai';
import fc from 'fast-check';
import {request} from 'undici';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {SystemClock} from '../../src/base/clock.js';
import {Deployment, digestKey} from '../../src/config/deployment.js';
import {subtreeSchema} from '../../src/config/schema.js';
import {parseCompletionRequest} from '../../src/entry/completion-request.js';
import {RateLimiter} from '../../src/entry/rate-limiter.js';
import {parseServicePath} from '../../src/entry/service-path.js';
import {Node} from '../../src/serve/node.js';
import {MemoryTable} from '../../src/store/memory-table.js';
import {BookingStandIn} from '../../standins/booking.js';
import {sendRaw} from '../support/raw-http.js';
import {createStrictLog} from '../support/strict-log.js';

const tiers = [{name: 'advice', deadlineMs: 10_000}];
const location = {region: 'local', dataCentre: 'local-1'};

describe('limits', () => {
	let node: Node;
	let booking: BookingStandIn;

	before(async () => {
		booking = await BookingStandIn.start();
		node = Node.create({
			clock: SystemClock.create(),
			log: createStrictLog(),
			platform: {table: MemoryTable.create()},
			host: '127.0.0.1',
			port: 0,
			...location,
			throwOnViolation: true,
			httpLimits: {maxHeaderBytes: 4096, headersTimeoutMs: 200, requestTimeoutMs: 400},
		});
		node.settings.apply(Deployment.create(new Map([['team', subtreeSchema.parse({
			services: {booking: {kind: 'plain', tiers, defaultTier: 'advice'}},
			customers: {
				one: {keyDigests: [digestKey('one')]},
				two: {keyDigests: [digestKey('two')]},
				few: {keyDigests: [digestKey('few')], requestsPerSecond: 2},
			},
			upstreams: {'booking-1': {service: 'booking', url: booking.url, ...location}},
		})]])));
		await node.start();
	});

	after(async () => {
		await node.stop();
		await booking.stop();
	});

	async function place(apiKey: string, idempotencyKey: string, body: string) {
		const res = await request(`http://${node.address}/services/booking/holds`, {
			method: 'POST', body, headers: {authorization: `Bearer ${apiKey}`, 'idempotency-key': idempotencyKey},
		});
		return {status: res.statusCode, retryAfter: res.headers['retry-after'], text: await res.body.text()};
	}

	it('keeps the idempotency keys of customers separate', async () => {
		expect(await place('one', 'same', 'a')).to.include({status: 201, text: '{"hold":1}'});
		expect(await place('two', 'same', 'b')).to.include({status: 201, text: '{"hold":2}'});
		expect(await place('one', 'same', 'b')).to.include({status: 422});
	});

	it('rejects requests over a customer\'s rate limit with Retry-After, without affecting other customers', async () => {
		const answers = await Promise.all(Array.from({length: 6}, async (_, index) => place('few', `few-${index}`, 'a')));
		const refused = answers.filter(answer => answer.status === 429);
		expect(refused).to.have.length(4);
		expect(refused[0]!.retryAfter).to.equal('1');
		const other = await place('one', 'free', 'a');
		expect(other.status).to.equal(201);
	});

	it('responds with request-timeout to slow headers and to a slow body', async () => {
		const headers = await sendRaw(node.address, ['GET /healthz HTTP/1.1\r\nHost: x\r\nX-Slow']);
		const body = await sendRaw(node.address, ['POST /services/booking/holds HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer one\r\nIdempotency-Key: slow\r\nContent-Length: 10\r\n\r\nabc']);
		for (const answer of [headers, body]) {
			expect(answer.status, answer.text).to.equal(408);
			expect(answer.body).to.include('"kind":"request-timeout"');
			// The unread rest may have contained an idempotency key whose earlier attempt ran.
			expect(answer.body).to.include('"ran":"unknown"');
		}
	});
});

describe('rate limiter', () => {
	it('admits at most the configured rate plus a burst of one second', () => {
		fc.assert(fc.property(fc.double({min: 0.1, max: 200, noNaN: true}), fc.array(fc.nat(500), {minLength: 1, maxLength: 200}), (rate, gaps) => {
			const clock = VirtualClock.create();
			const limiter = RateLimiter.create(clock);
			const customer = {team: 't', id: 't/c', settings: {keyDigests: [], weight: 1, requestsPerSecond: rate}};
			let passed = 0;
			for (const gap of gaps) {
				clock.advance(gap);
				passed += limiter.take(customer).isOk ? 1 : 0;
			}

			const seconds = gaps.reduce((sum, gap) => sum + gap, 0) / 1000;
			expect(passed).to.be.at.most(Math.max(1, rate) + (rate * seconds) + 1e-6);
		}), {seed: 3});
	});
});

describe('parsers', () => {
	it('never accept a path with dot segments, encoded separators or an alternative spelling', () => {
		const part = fc.constantFrom('/', '.', '..', '%2e', '%2F', '%5c', '%00', 'a', '%61', '%7E', '?', '%', 'holds', '\\');
		fc.assert(fc.property(fc.array(part, {maxLength: 12}), parts => {
			const parsed = parseServicePath(`/services/booking/${parts.join('')}`);
			if (parsed.isOk) {
				const [path] = parsed.value.path.split('?') as [string];
				expect(path).to.match(/^\//v);
				expect(path.split('/')).not.to.include.oneOf(['.', '..']);
				expect(path).not.to.match(/%(?:2f|5c|00|61|7e|2e)|\\/iv);
				expect(parseServicePath(`/services/booking${parsed.value.path}`).unwrapOr(undefined)?.path).to.equal(parsed.value.path);
			}
		}), {seed: 5, numRuns: 2000});
	});

	it('handle any body of a completions request without an exception', () => {
		const body = fc.oneof(fc.uint8Array({maxLength: 200}), fc.anything().map(value => new TextEncoder().encode(JSON.stringify({model: 'm', messages: value}))));
		fc.assert(fc.property(body, bytes => {
			const parsed = parseCompletionRequest(bytes);
			expect(parsed.isOk || parsed.error.kind === 'malformed-request').to.equal(true);
		}), {seed: 5, numRuns: 1000});
	});
});
