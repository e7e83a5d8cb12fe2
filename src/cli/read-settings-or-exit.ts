/**
 * Reads the settings of a command and ends the process on a wrong one.
 */
import process from 'node:process';
import {readSettings, type SettingDefinitions, type SettingValues} from '../base/settings.js';

/** Exit status for wrong usage. */
export const USAGE_EXIT_STATUS = 2;

/** @returns The settings; a wrong one is named on standard error, and the process exits with 2. */
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
