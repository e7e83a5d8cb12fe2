/**
 * Reads the settings of a command and exits the process if any is invalid.
 */
import process from 'node:process';
import {readSettings, type SettingDefinitions, type SettingValues} from '../base/settings.js';

/** Exit status for usage errors. */
export const USAGE_EXIT_STATUS = 2;

/** @returns The settings. If any is invalid, prints each problem to standard error and exits with status 2. */
export function readSettingsOrExit<Definitions extends SettingDefinitions>(
	definitions: Definitions,
	flags: Readonly<Record<string, unknown>>,
): SettingValues<Definitions> {
	const settings = readSettings(definitions, flags, process.env);
	if (settings.isOk) {
		return settings.value;
	}

	for (const problem of settings.error) {
		console.error(problem);
	}

	process.exit(USAGE_EXIT_STATUS);
}
