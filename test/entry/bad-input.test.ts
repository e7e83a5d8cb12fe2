import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {errorAnswers, type ErrorKind} from '../../src/base/errors.js';
import {testApiKey, TestCluster} from '../support/dev-cluster.js';
import {eventually} from '../support/eventually.js';
import {type RawResponse, sendRaw} from '../support/raw-http.js';

const auth = `Host: x\r\nAuthorization: Bearer ${testApiKey}\r\n`;

describe('bad input', () => {
	let cluster: TestCluster;

	before(async () => {
		cluster = await TestCluster.start({engineCount: 1, engine: {tokenIntervalMs: 0, defaultTokens: 4}});
	});

	after(async () => {
		await cluster.stop();
	});

	async function send(...parts: Array<string | Uint8Array>): Promise<RawResponse> {
		return sendRaw(cluster.node.address, parts);
	}

	function expectKind(answer: RawResponse, kind: ErrorKind): void {
		const body = JSON.parse(answer.body) as {kind?: string; error?: {code: string}};
		expect(body.kind ?? body.error?.code, answer.text).to.equal(kind);
		expect(answer.status).to.equal(errorAnswers[kind].status);
		expect(answer.head).to.match(/redwingspool-ran: (?:no|unknown)/v);
	}

	function post(path: string, body: string, headers = ''): string {
		return `POST ${path} HTTP/1.1\r\n${auth}${headers}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
	}

	const completions = '/v1/chat/completions';
	const message = '{"model":"crew-advice","messages":[{"role":"user","content":"x"}]}';
	const deeplyNested = `{"model":"crew-advice","messages":[{"role":"user","content":${'['.repeat(200_000)}${']'.repeat(200_000)}}]}`;
	const cases: Array<[string, string, ErrorKind]> = [
		['truncated JSON', post(completions, '{"model":'), 'malformed-request'],
		['members of a wrong type', post(completions, '{"model":7,"messages":{}}'), 'malformed-request'],
		['JSON nested too deeply', post(completions, deeplyNested), 'malformed-request'],
		['an unknown model', post(completions, message.replace('crew-advice', 'none')), 'unknown-model'],
		['an unknown tier', post(completions, message, 'Redwingspool-Tier: none\r\n'), 'malformed-request'],
		['a repeated Idempotency-Key header', post(completions, message, 'Idempotency-Key: a\r\nIdempotency-Key: b\r\n'), 'malformed-request'],
		['a missing API key', 'GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n', 'unauthenticated'],
		['a missing host', 'GET /v1/models HTTP/1.1\r\n\r\n', 'malformed-request'],
		['an unknown route', `GET /v2/none HTTP/1.1\r\n${auth}\r\n`, 'not-found'],
		['a wrong method', `GET ${completions} HTTP/1.1\r\n${auth}\r\n`, 'method-not-allowed'],
		['a method that is not forwarded', `PROPFIND /services/booking/x HTTP/1.1\r\n${auth}\r\n`, 'method-not-allowed'],
		['CONNECT', `CONNECT x:1 HTTP/1.1\r\n${auth}\r\n`, 'method-not-allowed'],
		['an invalid percent-encoding', `GET /services/booking/%zz HTTP/1.1\r\n${auth}\r\n`, 'malformed-request'],
		['an invalid percent-encoding outside the services', `GET /v1/%zz HTTP/1.1\r\n${auth}\r\n`, 'malformed-request'],
		['dot segments', `GET /services/booking/../x HTTP/1.1\r\n${auth}\r\n`, 'malformed-request'],
		['encoded dot segments', `GET /services/booking/%2e%2E/x HTTP/1.1\r\n${auth}\r\n`, 'malformed-request'],
		['an encoded slash', `GET /services/booking/a%2fb HTTP/1.1\r\n${auth}\r\n`, 'malformed-request'],
		['an unknown service', `GET /services/none/x HTTP/1.1\r\n${auth}\r\n`, 'not-found'],
		['a target with a host', `GET http://x/services/booking/x HTTP/1.1\r\n${auth}\r\n`, 'not-found'],
		['long headers', `GET /healthz HTTP/1.1\r\n${auth}X: ${'a'.repeat(40_000)}\r\n\r\n`, 'header-too-large'],
		['too many headers', `GET /healthz HTTP/1.1\r\n${auth}${'X: a\r\n'.repeat(10_000)}\r\n`, 'header-too-large'],
		['an unsupported expectation', `GET /healthz HTTP/1.1\r\n${auth}Expect: cake\r\n\r\n`, 'malformed-request'],
		['Content-Length with chunked encoding', `POST ${completions} HTTP/1.1\r\n${auth}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, 'malformed-request'],
		['a repeated Content-Length header', `POST ${completions} HTTP/1.1\r\n${auth}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`, 'malformed-request'],
		['a Content-Length with a sign', `POST ${completions} HTTP/1.1\r\n${auth}Content-Length: +4\r\n\r\nabcd`, 'malformed-request'],
		['an unknown transfer encoding', `POST ${completions} HTTP/1.1\r\n${auth}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`, 'malformed-request'],
		['a space before a colon', `POST ${completions} HTTP/1.1\r\n${auth}Content-Length : 4\r\n\r\nabcd`, 'malformed-request'],
		['a folded header', `GET /healthz HTTP/1.1\r\n${auth}X: a\r\n b\u0000\r\n\r\n`, 'malformed-request'],
		['an invalid chunk size', `POST ${completions} HTTP/1.1\r\n${auth}Transfer-Encoding: chunked\r\n\r\nxyz\r\n`, 'malformed-request'],
		['a declared body over the limit', `POST ${completions} HTTP/1.1\r\n${auth}Content-Length: 99999999\r\n\r\nabc`, 'body-too-large'],
		['a service body over the limit', `POST /services/booking/holds HTTP/1.1\r\n${auth}Idempotency-Key: k\r\nContent-Length: 99999999\r\n\r\n`, 'body-too-large'],
	];
	for (const [title, bytes, kind] of cases) {
		it(`responds with ${kind} to ${title}`, async () => {
			expectKind(await send(bytes), kind);
		});
	}

	for (const [target, allow] of [
		['GET /v1/chat/completions', 'POST'],
		['DELETE /v1/models', 'GET'],
		['POST /healthz', 'GET'],
		['PROPFIND /services/booking/x', 'GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS'],
		['CONNECT x:1', ''],
	] as const) {
		it(`lists the allowed methods in the response to ${target}`, async () => {
			const answer = await send(`${target} HTTP/1.1\r\n${auth}\r\n`);
			expect(answer.status).to.equal(405);
			expect(/^allow: (?<allow>.*)$/mv.exec(answer.head)?.groups?.allow?.trim()).to.equal(allow.toLowerCase());
		});
	}

	// Guards against telling the caller of a booking that it has not run, although an earlier attempt with its key may have.
	it('does not rule out an idempotency key in a head that was not read completely', async () => {
		const holds = `POST /services/booking/holds HTTP/1.1\r\n${auth}`;
		const tooLong = await send(`${holds}X: ${'a'.repeat(40_000)}`);
		expect(tooLong.head).to.match(/redwingspool-ran: unknown/v);
		const malformed = await send(`${holds}Bad Header`, '\r\nIdempotency-Key: k\r\n\r\n');
		expect(malformed.head).to.match(/redwingspool-ran: unknown/v);
	});

	it('rules out an idempotency key in a complete head without one', async () => {
		const answer = await send(`POST /services/booking/holds HTTP/1.1\r\n${auth}Content-Length: +4\r\n\r\nabcd`);
		expect(answer.head).to.match(/redwingspool-ran: no/v);
	});

	it('responds with body-too-large to a chunked body over the limit while it is still being sent', async () => {
		const chunk = `10000\r\n${'a'.repeat(0x1_00_00)}\r\n`;
		const answer = await send(`POST ${completions} HTTP/1.1\r\n${auth}Transfer-Encoding: chunked\r\n\r\n`, ...Array.from({length: 80}, () => chunk));
		expectKind(answer, 'body-too-large');
	});

	it('sends 100 Continue only if the request is not rejected', async () => {
		const head = (key: string) => `POST ${completions} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${key}\r\nExpect: 100-continue\r\nContent-Length: ${message.length}\r\n\r\n`;
		const refused = await send(head('wrong'));
		expect(refused.status).to.equal(401);
		const accepted = await send(head(testApiKey), message);
		expect(accepted.text).to.match(/^HTTP\/1\.1 100 Continue\r\n\r\nHTTP\/1\.1 200 OK/v);
	});

	it('does not respond to a request with the error of a malformed request pipelined behind it', async () => {
		cluster.booking.delayMs = 100;
		const answer = await send(`${post('/services/booking/holds', 'a', 'Idempotency-Key: pipelined\r\n')}\u0000bad\r\n\r\n`);
		cluster.booking.delayMs = 0;
		expect(answer.status).to.be.oneOf([0, 201]);
	});

	it('forwards hop-by-hop and private headers in neither direction', async () => {
		cluster.booking.responseHeaders = {
			connection: 'x-hop', 'x-hop': '1', 'x-kept': '1', 'redwingspool-ran': 'no',
		};
		const headers = 'Connection: close, x-secret\r\nX-Secret: 1\r\nX-Kept: 1\r\nDispatch-Id: forged\r\nX-HTTP-Method-Override: DELETE\r\nTE: trailers\r\n';
		const answer = await send(`GET /services/booking/x HTTP/1.1\r\n${auth}${headers}\r\n`);
		cluster.booking.responseHeaders = {};
		const seen = cluster.booking.lastHeaders;
		expect(seen).to.include({'x-kept': '1'});
		expect(seen).not.to.have.any.keys('x-secret', 'authorization', 'te', 'x-http-method-override');
		expect(seen['dispatch-id']).not.to.equal('forged');
		expect(answer.head).to.include('x-kept: 1');
		expect(answer.head).not.to.match(/x-hop|redwingspool-ran/v);
	});

	it('continues to serve requests after random bytes, mutated requests and random bodies', async () => {
		const valid = post(completions, message);
		const mutated = fc.tuple(fc.nat(valid.length - 1), fc.string({unit: 'binary', maxLength: 8})).map(([at, text]) => valid.slice(0, at) + text + valid.slice(at + text.length));
		const random = fc.uint8Array({maxLength: 300});
		const jsonBody = fc.json().map(json => post(completions, json));
		const nearlyValid = fc.record({model: fc.constantFrom('crew-advice', 5), messages: fc.anything(), stream: fc.anything()})
			.map(value => post(completions, JSON.stringify(value) ?? ''));
		await fc.assert(fc.asyncProperty(fc.oneof(mutated, random, jsonBody, nearlyValid), async bytes => {
			const answer = await send(bytes, '\r\n\r\n', `GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n${'\r\n'.repeat(300)}`);
			expect(answer.status === 0 || (answer.status >= 200 && answer.status < 500) || [502, 503].includes(answer.status), answer.text).to.equal(true);
		}), {seed: 7, numRuns: 300});
		await eventually(() => cluster.node.dispatcher.inFlightCount === 0);
		const health = await send('GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n');
		expect(health.status).to.equal(200);
	}).timeout(60_000);
});
