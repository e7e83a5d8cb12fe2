/**
 * Parses a completions request into the properties that the scheduler needs.
 */
import {createHash} from 'node:crypto';
import Result, {ok} from 'true-myth/result';
import {z} from 'zod';
import {ErrorKind, SchedulerError} from '../base/errors.js';

/** Common tokenizers produce about one token per four characters of English text. */
const CHARACTERS_PER_TOKEN = 4;
const PREFIX_BLOCK_CHARACTERS = 512;
const DEFAULT_OUTPUT_TOKENS = 256;

/** Validates only the members that scheduling uses; all others are forwarded to the engine unchecked. */
const completionSchema = z.looseObject({
	model: z.string().min(1).max(200),
	messages: z.array(z.looseObject({role: z.string(), content: z.unknown()})).min(1),
	stream: z.boolean().nullish(),
	max_tokens: z.int().min(1).nullish(),
	max_completion_tokens: z.int().min(1).nullish(),
});

/** A completions request as the scheduler sees it. */
export type CompletionRequest = {
	readonly model: string;
	readonly promptTokens: number;
	/** Whether the caller requested a non-streamed response. */
	readonly isWhole: boolean;
	/** Maximum number of tokens of the response, or a default where the request sets none. */
	readonly maxOutputTokens: number;
	/** Cumulative hashes of the prompt's blocks; each covers the prompt up to the end of its block. */
	readonly prefix: readonly number[];
};

/** Parses a request body; only the members used for scheduling are validated. */
export function parseCompletionRequest(body: Uint8Array): Result<CompletionRequest, SchedulerError> {
	let json: unknown;
	try {
		json = JSON.parse(new TextDecoder('utf8', {fatal: true}).decode(body));
	} catch {
		return Result.err(SchedulerError.create(ErrorKind.MalformedRequest, 'The body is not JSON.'));
	}

	const parsed = completionSchema.safeParse(json);
	if (!parsed.success) {
		const [issue] = parsed.error.issues;
		return Result.err(SchedulerError.create(ErrorKind.MalformedRequest, `${issue!.path.join('.')}: ${issue!.message}`));
	}

	const {model, messages, max_tokens: maxTokens, max_completion_tokens: maxCompletionTokens, stream} = parsed.data;
	let prompt: string;
	try {
		prompt = messages.map(message => `${message.role}\n${contentToText(message.content)}\n`).join('');
	} catch {
		// JSON.stringify overflows the stack on deeply nested values that JSON.parse accepts.
		return Result.err(SchedulerError.create(ErrorKind.MalformedRequest, 'messages: nested too deeply.'));
	}

	return ok({
		model,
		promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
		isWhole: stream !== true,
		maxOutputTokens: maxCompletionTokens ?? maxTokens ?? DEFAULT_OUTPUT_TOKENS,
		prefix: hashBlocks(prompt),
	});
}

function contentToText(content: unknown): string {
	return typeof content === 'string' ? content : JSON.stringify(content) ?? '';
}

/**
 * Hashes the complete blocks of a prompt; a partial last block is left out.
 *
 * @returns One 32-bit hash per block, covering all text up to the end of the block.
 */
export function hashBlocks(prompt: string): number[] {
	if (prompt.length < PREFIX_BLOCK_CHARACTERS) {
		return [];
	}

	const blockHash = createHash('sha1');
	const hashes: number[] = [];
	for (let end = PREFIX_BLOCK_CHARACTERS; end <= prompt.length; end += PREFIX_BLOCK_CHARACTERS) {
		blockHash.update(prompt.slice(end - PREFIX_BLOCK_CHARACTERS, end));
		hashes.push(blockHash.copy().digest().readUInt32BE());
	}

	return hashes;
}
