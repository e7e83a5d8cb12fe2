/**
 * Runs the command line, with one exit status for all wrong usage.
 */
import process from 'node:process';
import {type CommandDef, runMain, showUsage} from 'citty';
import {ExitStatus} from './config-exit.js';

const helpFlags = new Set(['--help', '-h']);

/** @param rawArguments - Arguments after the name of the program. */
export async function runProgram(command: CommandDef, rawArguments: string[]): Promise<void> {
	const asksForHelp = rawArguments.some(argument => helpFlags.has(argument));
	await runMain(command, {
		rawArgs: rawArguments,
		async showUsage(used, parent) {
			await showUsage(used, parent);
			if (!asksForHelp) {
				// Citty shows the usage on a wrong argument or command too, and then exits with 1.
				process.once('exit', () => {
					process.exitCode = ExitStatus.Usage;
				});
			}
		},
	});
}
