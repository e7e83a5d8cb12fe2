import {expect} from 'chai';
import {request} from 'undici';
import {expectedWords} from '../../standins/engine-answers.js';
import {callerKey, Deployment, type RunningNode} from './deployment.js';

const NODE_COUNT = 8;
const APPLY_TIMEOUT_MS = 5000;

/** Polls until a condition of the deployment holds, and throws after `timeoutMs`. */
async function eventually(condition: () => Promise<boolean>, timeoutMs: number): Promise<number> {
	const start = performance.now();
	// eslint-disable-next-line no-await-in-loop -- polls in turn
	while (!await condition()) {
		if (performance.now() - start > timeoutMs) {
			throw new Error(`the condition did not hold within ${timeoutMs} ms`);
		}

		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}

	return performance.now() - start;
}

async function everyTrue(conditions: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
	const results = await Promise.all(conditions);
	return results.every(Boolean);
}

async function isReady(node: RunningNode): Promise<boolean> {
	const res = await request(`${node.url}/readyz`);
	await res.body.dump();
	return res.statusCode === 200;
}

async function fetchModels(node: RunningNode): Promise<string> {
	const res = await request(`${node.url}/v1/models`, {headers: {authorization: `Bearer ${callerKey}`}});
	return res.body.text();
}

async function complete(node: RunningNode, prompt: string, tokens: number, tier = 'advice'): Promise<{status: number; text: string}> {
	const res = await request(`${node.url}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${callerKey}`, 'content-type': 'application/json', 'redwingspool-tier': tier},
		body: JSON.stringify({
			model: 'crew-advice', stream: true, max_tokens: tokens, messages: [{role: 'user', content: prompt}],
		}),
	});
	const text = await res.body.text();
	const words = [...text.matchAll(/"content":"(?<word>[^"]+)"/gv)].map(match => match.groups!.word);
	return {status: res.statusCode, text: text.endsWith('data: [DONE]\n\n') ? words.join('') : `incomplete after ${words.length}: ${text.slice(-300)}`};
}

/** @returns Number of requests that a node has read but not answered. */
async function fetchInFlightCount(node: RunningNode): Promise<number> {
	return fetchGauge(node, 'redwingspool_in_flight');
}

/** @returns Number of requests that wait at a node for an upstream. */
async function fetchWaitingCount(node: RunningNode): Promise<number> {
	return fetchGauge(node, 'redwingspool_waiting');
}

async function fetchGauge(node: RunningNode, name: string): Promise<number> {
	const res = await request(`${node.url}/metrics`);
	const text = await res.body.text();
	const line = text.split('\n').find(candidate => candidate.startsWith(`${name} `));
	return Number(line!.slice(name.length));
}

async function placeHold(node: RunningNode, key: string, body: string): Promise<{status: number; ran: string; text: string}> {
	const res = await request(`${node.url}/services/booking/holds`, {
		method: 'POST', headers: {authorization: `Bearer ${callerKey}`, 'idempotency-key': key}, body,
	});
	return {status: res.statusCode, ran: String(res.headers['redwingspool-ran']), text: await res.body.text()};
}

describe('eight nodes over real sockets', () => {
	let deployment: Deployment;
	let nodes: RunningNode[];

	before(async function () {
		this.timeout(120_000);
		deployment = await Deployment.start(6);
		nodes = [await deployment.startNode(0)];
		nodes.push(...await Promise.all(Array.from({length: NODE_COUNT - 1}, async (_, index) => deployment.startNode(index + 1))));
		await deployment.putSettings();
		await eventually(async () => everyTrue(nodes.map(async node => isReady(node))), APPLY_TIMEOUT_MS);
	});

	after(async function () {
		this.timeout(60_000);
		await deployment.stop();
	});

	it('returns to each caller the complete response to its own request, at every node', async () => {
		const responses = await Promise.all(Array.from({length: 64}, async (_, index) => complete(nodes[index % NODE_COUNT]!, `note ${index}`, 5 + (index % 20))));
		for (const [index, response] of responses.entries()) {
			expect(response).to.deep.equal({status: 200, text: expectedWords(`note ${index}`, 5 + (index % 20)).join('')});
		}
	});

	// Guards P8 against an accepted change that a node does not apply.
	it('applies an accepted change at every node within 5 s', async () => {
		await deployment.put(2, deployment.subtree(['crew-advice', 'pond-reading']));
		await eventually(async () => {
			const lists = await Promise.all(nodes.map(async node => fetchModels(node)));
			return lists.every(list => list.includes('pond-reading'));
		}, APPLY_TIMEOUT_MS);
	});

	it('lists live nodes as entries, with the region of the responding node first', async () => {
		await eventually(async () => {
			const res = await request(`${nodes[0]!.url}/v1/entries`, {headers: {authorization: `Bearer ${callerKey}`}});
			const {addresses} = await res.body.json() as {addresses: string[]};
			const region = addresses.map(address => nodes.find(node => node.url === `http://${address}`)?.region);
			return addresses.length === 3 && region[0] === nodes[0]!.region;
		}, APPLY_TIMEOUT_MS);
	});

	// Guards P5 against a crash of the node that dispatched the first attempt.
	it('places a hold once when the node that dispatched it is killed and the caller retries it at other nodes', async () => {
		deployment.booking.delayMs = 2000;
		const before = deployment.booking.holds.length;
		const killedNode = nodes[7]!;
		const first = Promise.allSettled([placeHold(killedNode, 'killed', 'table 9')]);
		await eventually(async () => deployment.booking.holds.length > before, 5000);
		await deployment.kill(killedNode);
		const [outcome] = await first;
		expect(outcome.status).to.equal('rejected');
		deployment.booking.delayMs = 0;
		const retries = await Promise.all(nodes.slice(0, 4).map(async node => placeHold(node, 'killed', 'table 9')));
		for (const retry of retries) {
			expect(retry.ran, retry.text).to.equal('unknown');
		}

		expect(deployment.booking.holds.filter(placed => placed.body === 'table 9')).to.have.length(1);
	});

	// Guards P5 and P4 against an outage of the store between two attempts.
	it('refuses holds with ran=unknown while the store is down, and places them once afterwards', async () => {
		deployment.platform.inject({isDown: true});
		const refused = await placeHold(nodes[1]!, 'outage', 'table 3');
		expect(refused).to.include({status: 503, ran: 'unknown'});
		expect(await complete(nodes[1]!, 'during the outage', 8)).to.deep.equal({status: 200, text: expectedWords('during the outage', 8).join('')});
		deployment.platform.clearFaults();
		await eventually(async () => {
			const {status} = await placeHold(nodes[2]!, 'outage', 'table 3');
			return status === 201;
		}, 10_000);
		expect(deployment.booking.holds.filter(placed => placed.body === 'table 3')).to.have.length(1);
	});

	// Guards P7 and P3 against a graceful shutdown that truncates a response.
	it('cuts off no answer when a node is stopped gracefully under load', async () => {
		const stoppingNode = nodes[6]!;
		const accepted = deployment.engines.reduce((sum, engine) => sum + engine.accepted.length, 0);
		let answered = 0;
		const pendingResponses = Array.from({length: 40}, async (_, index) => {
			const response = await complete(stoppingNode, `leaving ${index}`, 60);
			answered += 1;
			return response;
		});
		await eventually(async () => deployment.engines.reduce((sum, engine) => sum + engine.accepted.length, 0) >= accepted + 20, 10_000);
		// The node refuses a request that it reads only after its leave time, even if the request was sent before the signal.
		await eventually(async () => await fetchInFlightCount(stoppingNode) + answered >= 40, 10_000);
		expect(await deployment.stopNode(stoppingNode)).to.equal(0);
		const responses = await Promise.all(pendingResponses);
		for (const [index, response] of responses.entries()) {
			expect(response).to.deep.equal({status: 200, text: expectedWords(`leaving ${index}`, 60).join('')});
		}
	});

	// Guards P7 against requests that still wait for an upstream when the node begins to drain.
	it('serves the requests that wait when a node is stopped gracefully', async () => {
		const stoppingNode = nodes[5]!;
		const count = 120;
		let answered = 0;
		const pendingResponses = Array.from({length: count}, async (_, index) => {
			// Long streams keep requests waiting until the node stops, and the tier's deadline leaves time for all of them.
			const response = await complete(stoppingNode, `waiting ${index}`, 100, 'summary');
			answered += 1;
			return response;
		});
		await eventually(async () => await fetchInFlightCount(stoppingNode) + answered >= count, 10_000);
		expect(await fetchWaitingCount(stoppingNode)).to.be.above(0);
		expect(await deployment.stopNode(stoppingNode)).to.equal(0);
		const responses = await Promise.all(pendingResponses);
		for (const [index, response] of responses.entries()) {
			expect(response).to.deep.equal({status: 200, text: expectedWords(`waiting ${index}`, 100).join('')});
		}
	});

	it('reports no invariant violation at any node', async () => {
		for (const node of deployment.running) {
			// eslint-disable-next-line no-await-in-loop
			const res = await request(`${node.url}/metrics`);
			// eslint-disable-next-line no-await-in-loop
			const text = await res.body.text();
			const violated = text.split('\n').filter(line => line.includes('violat') && !line.startsWith('#') && !line.endsWith(' 0'));
			expect(violated).to.deep.equal([]);
			expect(text).to.match(/violat/v);
		}
	});
});
