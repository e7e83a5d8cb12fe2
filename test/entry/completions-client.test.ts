import {expect} from 'chai';
import OpenAI from 'openai';
import {expectedWords} from '../../standins/engine-answers.js';
import {testApiKey, TestCluster} from '../support/dev-cluster.js';

const messages = [{role: 'user' as const, content: 'Is the pond safe?'}];

describe('completions protocol, with its client library', () => {
	let cluster: TestCluster;
	let client: OpenAI;

	before(async () => {
		cluster = await TestCluster.start({engineCount: 1, engine: {tokenIntervalMs: 0, defaultTokens: 6}});
		client = new OpenAI({apiKey: testApiKey, baseURL: `${cluster.url}/v1`, maxRetries: 0});
	});

	after(async () => {
		await cluster.stop();
	});

	/** @returns The error of a call that is expected to fail. */
	async function catchError(call: Promise<unknown>): Promise<InstanceType<typeof OpenAI.APIError>> {
		const [outcome] = await Promise.allSettled([call]);
		expect(outcome.status).to.equal('rejected');
		return (outcome as PromiseRejectedResult).reason as InstanceType<typeof OpenAI.APIError>;
	}

	it('returns a complete response with its token usage', async () => {
		const answer = await client.chat.completions.create({model: 'crew-advice', messages});
		expect(answer.choices[0]!.message.content).to.equal(expectedWords(messages[0]!.content, 6).join(''));
		expect(answer.usage!.completion_tokens).to.equal(6);
	});

	it('streams a response with its token usage', async () => {
		const stream = await client.chat.completions.create({
			model: 'crew-advice', messages, stream: true, stream_options: {include_usage: true},
		});
		let text = '';
		let tokens: number | undefined;
		for await (const chunk of stream) {
			text += chunk.choices[0]?.delta.content ?? '';
			tokens = chunk.usage?.completion_tokens ?? tokens;
		}

		expect(text).to.equal(expectedWords(messages[0]!.content, 6).join(''));
		expect(tokens).to.equal(6);
	});

	it('lists the models', async () => {
		const models = await client.models.list();
		expect(models.data.map(model => model.id)).to.deep.equal(['crew-advice']);
	});

	it('returns errors that the library maps to its error classes', async () => {
		expect(await catchError(client.chat.completions.create({model: 'none', messages}))).to.be.instanceOf(OpenAI.NotFoundError).with.property('code', 'unknown-model');
		expect(await catchError(client.chat.completions.create({model: 'crew-advice', messages: []}))).to.be.instanceOf(OpenAI.BadRequestError);
		const unauthenticatedClient = new OpenAI({apiKey: 'wrong', baseURL: `${cluster.url}/v1`, maxRetries: 0});
		expect(await catchError(unauthenticatedClient.models.list())).to.be.instanceOf(OpenAI.AuthenticationError).with.property('code', 'unauthenticated');
	});

	it('makes the library throw on an interrupted stream', async () => {
		const [engine] = cluster.engines;
		engine!.cutAfterParts = 3;
		engine!.faults = {resumeShiftBytes: 10};
		const stream = await client.chat.completions.create({model: 'crew-advice', messages, stream: true});
		const read = async () => {
			for await (const chunk of stream) {
				expect(chunk.object).to.equal('chat.completion.chunk');
			}
		};

		expect(await catchError(read())).to.be.instanceOf(Error);
		engine!.cutAfterParts = undefined;
		engine!.faults = {};
	});
});
