import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {request} from 'undici';
import {SystemClock} from '../../src/base/clock.js';
import {errorAnswers, type ErrorKind} from '../../src/base/errors.js';
import {digestKey} from '../../src/config/deployment.js';
import {SettingsTree} from '../../src/config/settings-tree.js';
import {type NodeStatus} from '../../src/entry/node-status.js';
import {Node} from '../../src/serve/node.js';
import {MemoryObjectStore, MemoryTable} from '../../src/store/memory-table.js';
import {eventually} from '../support/eventually.js';
import {sendRaw} from '../support/raw-http.js';
import {createStrictLog} from '../support/strict-log.js';

const teams = ['skimmers', 'tea-rooms'];
const bootstrapKey = 'the-bootstrap-key';

function createSubtree(team: string): Record<string, unknown> {
	return {
		services: {
			booking: {
				kind: 'plain', tiers: [{name: 'urgent', deadlineMs: 1000}], defaultTier: 'urgent', operations: [],
			},
		},
		customers: {guest: {keyDigests: [digestKey(`${team}-guest`)]}},
		operators: {rana: {keyDigests: [digestKey(`${team}-operator`)]}},
		upstreams: {
			[`${team}-server`]: {
				service: 'booking', url: 'http://127.0.0.1:1', region: 'azraq', dataCentre: 'azraq-1',
			},
		},
	};
}

describe('operators\' routes of a node', () => {
	let node: Node;

	before(async () => {
		const clock = SystemClock.create();
		const platform = {table: MemoryTable.create(), objects: MemoryObjectStore.create()};
		const tree = SettingsTree.create({...platform, clock});
		await Promise.all(teams.map(async team => tree.commit({
			team, fromVersion: 0, author: 'test', body: JSON.stringify(createSubtree(team)),
		})));
		node = Node.create({
			clock, log: createStrictLog(), platform, host: '127.0.0.1', port: 0, region: 'azraq', dataCentre: 'azraq-1', bootstrapDigest: digestKey(bootstrapKey), throwOnViolation: true,
		});
		await node.start();
		await eventually(() => node.settings.isLoaded);
	});

	after(async () => {
		await node.stop();
	});

	async function call(method: 'GET' | 'POST' | 'DELETE', path: string, key: string): Promise<{status: number; json: unknown}> {
		const res = await request(`http://${node.address}${path}`, {method, headers: {authorization: `Bearer ${key}`}});
		return {status: res.statusCode, json: await res.body.json()};
	}

	async function statusOf(...parameters: Parameters<typeof call>): Promise<number> {
		const {status} = await call(...parameters);
		return status;
	}

	// Guards against operators that can read the names or the load of another team.
	it('shows an operator only the pools of its own team', async () => {
		await request(`http://${node.address}/services/booking/tables`, {headers: {authorization: 'Bearer tea-rooms-guest'}});
		const answers = await Promise.all(teams.map(async team => call('GET', '/v1/status', `${team}-operator`)));
		for (const [index, {status, json}] of answers.entries()) {
			expect(status).to.equal(200);
			expect(JSON.stringify(json)).to.not.include(teams[1 - index]);
			const {upstreams, settings, members, promises} = json as NodeStatus;
			expect(upstreams.map(({id}) => id)).to.deep.equal([`${teams[index]}-server`]);
			expect(settings).to.include({version: 1, mayBeOld: false});
			expect(members.map(({state}) => state)).to.deep.equal(['alive']);
			expect(promises).to.have.length(8);
		}

		const tiers = answers.map(({json}) => (json as NodeStatus).tiers.map(({failed, refused}) => failed + refused));
		expect(tiers).to.deep.equal([[], [1]]);
	});

	// Guards against a team that can stop a node, which serves all teams.
	it('stops the node only on requests with the bootstrap key', async () => {
		const kinds = await Promise.all(['skimmers-operator', 'skimmers-guest', 'unknown'].map(async key => call('POST', '/v1/drain', key)));
		expect(kinds.map(({status}) => status)).to.deep.equal([403, 401, 401]);
		expect(await statusOf('GET', '/v1/status', bootstrapKey)).to.equal(403);
		expect(await statusOf('DELETE', '/v1/regions/azraq', 'skimmers-operator')).to.equal(403);
		const inService = await call('DELETE', '/v1/regions/azraq', bootstrapKey);
		expect(inService.json).to.include({kind: 'forbidden'});
		expect(node.drainRequested.aborted).to.equal(false);
		expect(await statusOf('POST', '/v1/drain', bootstrapKey)).to.equal(200);
		expect(await statusOf('POST', '/v1/drain', bootstrapKey)).to.equal(200);
		expect(node.drainRequested.aborted).to.equal(true);
	});

	// Guards against input that crashes the node or results in an internal or undocumented error.
	it('responds to any input with success or a documented error', async () => {
		const text = fc.string({maxLength: 60}).map(value => value.replaceAll(/[\r\n]/gv, ''));
		const path = fc.oneof(
			fc.constantFrom('/v1/status', '/v1/drain', '/v1/regions/azraq'),
			fc.webPath().map(value => `/v1/regions${value}`),
			text.map(value => `/v1/regions/${encodeURIComponent(value)}`),
		);
		const authorization = fc.oneof(text, text.map(value => `Bearer ${value}`), fc.constant('Bearer skimmers-operator'));
		await fc.assert(fc.asyncProperty(fc.constantFrom('GET', 'POST', 'DELETE', 'PUT'), path, authorization, text, async (method, target, header, body) => {
			const head = `${method} ${target} HTTP/1.1\r\nHost: x\r\nAuthorization: ${header}\r\nContent-Length: ${Buffer.byteLength(body)}\r\nConnection: close`;
			const answer = await sendRaw(node.address, [`${head}\r\n\r\n${body}`]);
			if (answer.status !== 200) {
				const {kind, detail} = JSON.parse(/\{.*\}/sv.exec(answer.body)![0]) as {kind: ErrorKind; detail: string};
				expect(errorAnswers[kind].status, answer.text).to.equal(answer.status);
				expect(kind).to.not.equal('internal');
				expect(detail).to.not.equal('');
			}
		}), {seed: 1, numRuns: 300});
		expect(await statusOf('GET', '/v1/status', 'skimmers-operator')).to.equal(200);
	});
});
