/**
 * Subtrees in files: YAML or JSON, with the version that they were read at.
 */
import {readFile} from 'node:fs/promises';
import Result, {ok} from 'true-myth/result';
import {
	Document, isSeq, parseDocument, stringify,
} from 'yaml';
import {z} from 'zod';
import {ExitStatus, type Failure} from './config-exit.js';

/** A subtree from a file. */
export type SubtreeFile = {
	readonly subtree: unknown;
	/** The version that the file was made from, where it says so. */
	readonly fromVersion: number | undefined;
};

const wrapperSchema = z.strictObject({version: z.int().min(0), subtree: z.unknown(), mayBeOld: z.boolean().optional()});

/** Reads a file; `-` is standard input. */
export async function readSubtreeFile(path: string): Promise<Result<SubtreeFile, Failure>> {
	try {
		return parseSubtree(await readFile(path === '-' ? '/dev/stdin' : path, 'utf8'), path);
	} catch (error) {
		return Result.err(fileFailure(`cannot read ${path}: ${(error as Error).message}`));
	}
}

/** @returns The subtree of a text in YAML or JSON. */
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

/** @returns The value, or what is wrong with the text. */
function parseYaml(text: string): Result<unknown, string> {
	try {
		const document = parseDocument(text);
		// Aliases without an anchor show only when the document is converted.
		return document.errors.length > 0 ? Result.err(document.errors[0]!.message) : ok(document.toJS());
	} catch (error) {
		return Result.err((error as Error).message);
	}
}

/** @returns A subtree in YAML whose first line names the version, which `config put` reads. */
export function formatSubtree(team: string, version: number, subtree: unknown): string {
	return `# redwingspool ${team} version ${version}\n${stringify(subtree)}`;
}

/** An assignment such as `customers.guest.weight=2`; without a value the entry is removed. */
export type Edit = {
	readonly path: readonly string[];
	readonly value: unknown;
};

/** @returns The edit of an assignment, or `undefined` for a text that is none. */
export function parseEdit(text: string): Edit | undefined {
	const match = /^(?<path>[^=]+)=(?<value>.*)$/sv.exec(text);
	if (match === null) {
		return undefined;
	}

	const value = match.groups!.value!;
	const parsed = value === '' ? ok(undefined) : parseYaml(value);
	return parsed.isOk ? {path: match.groups!.path!.split('.'), value: parsed.value} : undefined;
}

/** @returns The subtree with the edits made, or the edit that does not fit it. */
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
				status: ExitStatus.Usage, message: `${path.join('.')}: there is no such place in the subtree`, details: [], next: 'look at `config get`',
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
