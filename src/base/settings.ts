/**
 * Settings of the process from flags and environment variables of the same names, checked by one schema.
 */
import {type ArgsDef} from 'citty';
import Result, {ok} from 'true-myth/result';
import {type z} from 'zod';

const ENV_PREFIX = 'REDWINGSPOOL_';

/** One setting: `--listen-port` and `REDWINGSPOOL_LISTEN_PORT`. */
export type SettingDefinition = {
	/** Shown by `--help`. */
	readonly description: string;
	/** Schema of the text form; gives the typed value. */
	readonly schema: z.ZodType<unknown, string | undefined>;
	/** Text shown in place of the value, such as `PORT`. */
	readonly valueHint: string;
};

/** Settings by flag name, lower case with hyphens. */
export type SettingDefinitions = Readonly<Record<string, SettingDefinition>>;

/** The typed values of checked settings. */
export type SettingValues<Definitions extends SettingDefinitions> = {
	readonly [Name in keyof Definitions]: z.output<Definitions[Name]['schema']>;
};

/** @returns The name of the environment variable of a setting. */
export function environmentName(flag: string): string {
	return ENV_PREFIX + flag.replaceAll('-', '_').toUpperCase();
}

/** @returns Flag definitions for the command line. */
export function toArguments(definitions: SettingDefinitions): ArgsDef {
	return Object.fromEntries(Object.entries(definitions).map(([flag, definition]) => [flag, {
		type: 'string' as const,
		description: `${definition.description} [${environmentName(flag)}]`,
		valueHint: definition.valueHint,
	}]));
}

/**
 * Reads and checks settings. Flags go before environment variables.
 *
 * @param definitions - The settings of the command.
 * @param flags - Parsed flags.
 * @param env - The environment.
 * @returns The values, or one line for each wrong setting.
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
			const given = text === undefined ? 'it is missing' : `got '${text}'`;
			problems.push(`--${flag} (${environmentName(flag)}): ${parsed.error.issues[0]!.message}; ${given}`);
		}
	}

	return problems.length === 0 ? ok(values as SettingValues<Definitions>) : Result.err(problems);
}
