/**
 * Responses of a stand-in engine in the chat completions protocol.
 */
import {Buffer} from 'node:buffer';

/** A JSON object with unknown members. */
export type JsonObject = Record<string, unknown>;

/** The members of a completion request that the stand-ins read. */
export type CompletionBody = {
	model: string;
	stream?: boolean;
	max_tokens?: number;
	max_completion_tokens?: number;
	messages: Array<{content: unknown}>;
	stream_options?: {include_usage?: boolean};
};

/** @returns The words of the response to a prompt; the same words for the same prompt at every engine. */
export function expectedWords(prompt: string, count: number): string[] {
	let state = 7;
	for (let index = 0; index < prompt.length; index++) {
		state = ((state * 31) + prompt.codePointAt(index)!) % 1_000_003;
	}

	return Array.from({length: count}, (_, index) => `w${(state + (index * 7919)) % 99_991} `);
}

/** Generates the server-sent events of a streamed response. */
export function * generateStreamEvents(id: string, body: CompletionBody, words: string[]): Generator<Uint8Array> {
	const chunk = (delta: JsonObject, finishReason: string | undefined) => formatEvent({
		id: `chatcmpl-${id}`,
		object: 'chat.completion.chunk',
		created: 0,
		model: body.model,
		choices: [{index: 0, delta, finish_reason: finishReason ?? null}],
	});
	yield chunk({role: 'assistant', content: ''}, undefined);
	for (const word of words) {
		yield chunk({content: word}, undefined);
	}

	yield chunk({}, 'stop');
	if (body.stream_options?.include_usage) {
		yield formatEvent({
			id: `chatcmpl-${id}`, object: 'chat.completion.chunk', created: 0, model: body.model, choices: [], usage: createUsage(body, words),
		});
	}

	yield Buffer.from('data: [DONE]\n\n');
}

/** @returns The body of a response that is not streamed. */
export function createCompletion(body: CompletionBody, words: string[]): JsonObject {
	return {
		id: 'chatcmpl-whole',
		object: 'chat.completion',
		created: 0,
		model: body.model,
		choices: [{index: 0, message: {role: 'assistant', content: words.join('')}, finish_reason: 'stop'}],
		usage: createUsage(body, words),
	};
}

function createUsage(body: CompletionBody, words: string[]): JsonObject {
	const promptTokens = Math.ceil(JSON.stringify(body.messages).length / 4);
	return {prompt_tokens: promptTokens, completion_tokens: words.length, total_tokens: promptTokens + words.length};
}

function formatEvent(data: JsonObject): Uint8Array {
	return Buffer.from(`data: ${JSON.stringify(data)}\n\n`);
}
