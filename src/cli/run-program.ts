/**
 * Runs the command-line program, with the same exit status for all usage errors.
 */
import process from 'node:process';
import {type CommandDef, runMain, showUsage} from 'citty';
import {ExitStatus} from './config-exit.js';

const helpFlags = new Set(['--help', '-h']);

/** @param rawArguments - Command-line arguments without the program name. */
export async function runProgram(command: CommandDef, rawArguments: string[]): Promise<void> {
	const asksForHelp = rawArguments.some(argument => helpFlags.has(argument));
	await runMain(command, {
		rawArgs: rawArguments,
		async showUsage(shownCommand, parent) {
			await showUsage(shownCommand, parent);
			if (!asksForHelp) {
				// Citty also shows the usage for an invalid argument or command, and then exits with 1.
				process.once('exit', () => {
					process.exitCode = ExitStatus.Usage;
				});
			}
		},
	});
}
