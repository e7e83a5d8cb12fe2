import {expect} from 'chai';
import OpenAI from 'openai';
import {request} from 'undici';
import {expectedWords} from '../../standins/engine-answers.js';
import {testApiKey, TestCluster} from '../support/dev-cluster.js';

describe('end to end', () => {
	let cluster: TestCluster;

	beforeEach(async () => {
		cluster = await TestCluster.start({engineCount: 2, engine: {tokenIntervalMs: 0, defaultTokens: 16}});
	});

	afterEach(async () => {
		await cluster.stop();
	});

	async function complete(prompt: string, maxTokens: number): Promise<string> {
		const client = new OpenAI({apiKey: testApiKey, baseURL: `${cluster.url}/v1`, maxRetries: 0});
		const stream = await client.chat.completions.create({
			model: 'crew-advice', stream: true, max_completion_tokens: maxTokens, messages: [{role: 'user', content: prompt}],
		});
		let text = '';
		for await (const chunk of stream) {
			text += chunk.choices[0]?.delta.content ?? '';
		}

		return text;
	}

	it('returns to each of 200 concurrent callers the complete response to its own request', async () => {
		const prompts = Array.from({length: 200}, (_, index) => `note ${index}`);
		const answers = await Promise.all(prompts.map(async (prompt, index) => complete(prompt, 5 + (index % 40))));
		for (const [index, answer] of answers.entries()) {
			expect(answer).to.equal(expectedWords(prompts[index]!, 5 + (index % 40)).join(''));
		}
	});

	it('resumes a stream that the engine interrupts, without a gap or a repetition', async () => {
		for (const engine of cluster.engines) {
			engine.cutAfterParts = 3;
		}

		expect(await complete('cut me', 12)).to.equal(expectedWords('cut me', 12).join(''));
		expect(cluster.engines.flatMap(engine => engine.accepted)).to.have.length(1);
	});

	it('places a hold once when its caller retries with the same idempotency key', async () => {
		const place = async (body: string) => {
			const res = await request(`${cluster.url}/services/booking/holds`, {
				method: 'POST', body, headers: {authorization: `Bearer ${testApiKey}`, 'idempotency-key': 'hold-1'},
			});
			return {status: res.statusCode, text: await res.body.text()};
		};

		const first = await place('table 4');
		const repeat = await place('table 4');
		const conflict = await place('table 5');
		expect(first).to.deep.equal({status: 201, text: '{"hold":1}'});
		expect(repeat).to.deep.equal(first);
		expect(conflict.status).to.equal(422);
		expect(cluster.booking.holds).to.have.length(1);
	});

	it('rejects a hold without an idempotency key and reports it as not run', async () => {
		const res = await request(`${cluster.url}/services/booking/holds`, {
			method: 'POST', body: 'x', headers: {authorization: `Bearer ${testApiKey}`},
		});
		expect(res.statusCode).to.equal(400);
		expect(res.headers['redwingspool-ran']).to.equal('no');
		expect(cluster.booking.holds).to.have.length(0);
		await res.body.dump();
	});
});
