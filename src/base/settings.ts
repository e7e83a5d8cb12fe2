/**
 * Process settings from command-line flags and environment variables of the same names, validated by one schema.
 */
import {type ArgsDef} from 'citty';
import Result, {ok} from 'true-myth/result';
import {type z} from 'zod';

const ENV_PREFIX = 'REDWINGSPOOL_';

/** One setting, such as `--listen-port` or `REDWINGSPOOL_LISTEN_PORT`. */
export type SettingDefinition = {
	/** Shown by `--help`. */
	readonly description: string;
	/** Validates the text and converts it to the typed value. */
	readonly schema: z.ZodType<unknown, string | undefined>;
	/** Placeholder for the value in the help text, such as `PORT`. */
	readonly valueHint: string;
};

/** Settings by flag name, lower case with hyphens. */
export type SettingDefinitions = Readonly<Record<string, SettingDefinition>>;

/** Typed values of validated settings. */
export type SettingValues<Definitions extends SettingDefinitions> = {
	readonly [Name in keyof Definitions]: z.output<Definitions[Name]['schema']>;
};

/** @returns The name of the environment variable for a flag. */
export function environmentName(flag: string): string {
	return ENV_PREFIX + flag.replaceAll('-', '_').toUpperCase();
}

/** @returns Argument definitions for the command-line parser. */
export function toArguments(definitions: SettingDefinitions): ArgsDef {
	return Object.fromEntries(Object.entries(definitions).map(([flag, definition]) => [flag, {
		type: 'string' as const,
		description: `${definition.description} [${environmentName(flag)}]`,
		valueHint: definition.valueHint,
	}]));
}

/**
 * Reads and validates settings. Flags take precedence over environment variables.
 *
 * @param definitions - Settings of the command.
 * @param flags - Parsed flags.
 * @param env - Environment variables.
 * @returns The values, or one message for each invalid setting.
 */
export function readSettings<Definitions extends SettingDefinitions>(
	definitions: Definitions,
	flags: Readonly<Record<string, unknown>>,
	env: NodeJS.ProcessEnv,
): Result<SettingValues<Definitions>, readonly string[]> {
	const values: Record<string, unknown> = {};
	const problems: string[] = [];
	for (const [flag, definition] of Object.entries(definitions)) {
		const text = flags[flag]?.toString() ?? env[environmentName(flag)];
		const parsed = definition.schema.safeParse(text);
		if (parsed.success) {
			values[flag] = parsed.data;
		} else {
			const received = text === undefined ? 'it is missing' : `got '${text}'`;
			problems.push(`--${flag} (${environmentName(flag)}): ${parsed.error.issues[0]!.message}; ${received}`);
		}
	}

	return problems.length === 0 ? ok(values as SettingValues<Definitions>) : Result.err(problems);
}
