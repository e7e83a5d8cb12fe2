/**
 * Reads, formats and edits subtrees as YAML or JSON files that record their base version.
 */
import {readFile} from 'node:fs/promises';
import Result, {ok} from 'true-myth/result';
import {
	Document, isSeq, parseDocument, stringify,
} from 'yaml';
import {z} from 'zod';
import {ExitStatus, type Failure} from './config-exit.js';

/** A subtree that was read from a file. */
export type SubtreeFile = {
	readonly subtree: unknown;
	/** The version that the file is based on, if the file states it. */
	readonly fromVersion: number | undefined;
};

const wrapperSchema = z.strictObject({version: z.int().min(0), subtree: z.unknown(), mayBeOld: z.boolean().optional()});

/** Reads a subtree from a file, or from standard input for `-`. */
export async function readSubtreeFile(path: string): Promise<Result<SubtreeFile, Failure>> {
	try {
		return parseSubtree(await readFile(path === '-' ? '/dev/stdin' : path, 'utf8'), path);
	} catch (error) {
		return Result.err(fileFailure(`cannot read ${path}: ${(error as Error).message}`));
	}
}

/** Parses YAML or JSON: a subtree, optionally with a version comment as its first line, or the output of `config get --json`. */
export function parseSubtree(text: string, path: string): Result<SubtreeFile, Failure> {
	const parsed = parseYaml(text);
	if (parsed.isErr) {
		return Result.err(fileFailure(`${path}: ${parsed.error}`));
	}

	const value = parsed.value ?? {};
	const wrapper = wrapperSchema.safeParse(value);
	if (wrapper.success) {
		return ok({subtree: wrapper.data.subtree, fromVersion: wrapper.data.version});
	}

	const version = /^# .* version (?<version>\d+)$/mv.exec(text.split('\n', 1)[0]!)?.groups?.version;
	return ok({subtree: value, fromVersion: version === undefined ? undefined : Number(version)});
}

/** @returns The parsed value, or the message of the syntax error. */
function parseYaml(text: string): Result<unknown, string> {
	try {
		const document = parseDocument(text);
		// Aliases without an anchor are only detected when the document is converted.
		return document.errors.length > 0 ? Result.err(document.errors[0]!.message) : ok(document.toJS());
	} catch (error) {
		return Result.err((error as Error).message);
	}
}

/** @returns A subtree in YAML, with its version in a comment on the first line, from which `config put` reads it. */
export function formatSubtree(team: string, version: number, subtree: unknown): string {
	return `# redwingspool ${team} version ${version}\n${stringify(subtree)}`;
}

/** An assignment such as `customers.guest.weight=2`; an undefined value removes the entry. */
export type Edit = {
	readonly path: readonly string[];
	readonly value: unknown;
};

/** @returns The parsed assignment, or `undefined` if the text is not one. */
export function parseEdit(text: string): Edit | undefined {
	const match = /^(?<path>[^=]+)=(?<value>.*)$/sv.exec(text);
	if (match === null) {
		return undefined;
	}

	const value = match.groups!.value!;
	const parsed = value === '' ? ok(undefined) : parseYaml(value);
	return parsed.isOk ? {path: match.groups!.path!.split('.'), value: parsed.value} : undefined;
}

/** @returns The edited subtree, or a failure that names the first path that cannot be edited. */
export function applyEdits(subtree: unknown, edits: readonly Edit[]): Result<unknown, Failure> {
	const document = new Document(subtree);
	for (const {path, value} of edits) {
		const segments = path.map((segment, index) => isSeq(document.getIn(path.slice(0, index))) ? Number(segment) : segment);
		try {
			if (value === undefined) {
				document.deleteIn(segments);
			} else {
				document.setIn(segments, value);
			}
		} catch {
			return Result.err({
				status: ExitStatus.Usage, message: `${path.join('.')}: this path does not exist in the subtree`, details: [], next: 'look at `config get`',
			});
		}
	}

	return ok(document.toJS());
}

function fileFailure(message: string): Failure {
	return {
		status: ExitStatus.Usage, message, details: [], next: 'give a file in YAML or JSON',
	};
}
