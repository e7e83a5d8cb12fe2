/**
 * What the scheduler needs to know of a completions request.
 */
import {createHash} from 'node:crypto';
import Result, {ok} from 'true-myth/result';
import {z} from 'zod';
import {ErrorKind, SchedulerError} from '../base/errors.js';

/** English text has about four characters a token in common tokenizers. */
const CHARACTERS_PER_TOKEN = 4;
const BLOCK_CHARACTERS = 512;
const DEFAULT_OUTPUT_TOKENS = 256;

/** Only what is decided on; everything else is passed to the engine unread. */
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
	/** The caller wants the answer in one piece. */
	readonly isWhole: boolean;
	/** Greatest number of tokens of the answer, or a default. */
	readonly maxOutputTokens: number;
	/** Hashes of the prompt's blocks, each covering the blocks before it. */
	readonly prefix: readonly number[];
};

/** Reads a request body; only the members that decisions need are checked. */
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
		prompt = messages.map(message => `${message.role}\n${textOf(message.content)}\n`).join('');
	} catch {
		// Values nested deeper than the stack, which JSON.parse reads but JSON.stringify does not write.
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

function textOf(content: unknown): string {
	return typeof content === 'string' ? content : JSON.stringify(content) ?? '';
}

/**
 * Hashes the whole blocks of a prompt.
 *
 * @returns One 32-bit hash a block, covering all text up to the end of the block.
 */
export function hashBlocks(prompt: string): number[] {
	if (prompt.length < BLOCK_CHARACTERS) {
		return [];
	}

	const running = createHash('sha1');
	const hashes: number[] = [];
	for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
		running.update(prompt.slice(end - BLOCK_CHARACTERS, end));
		hashes.push(running.copy().digest().readUInt32BE());
	}

	return hashes;
}
