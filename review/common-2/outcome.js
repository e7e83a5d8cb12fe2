/**
 * The end of a script: its record and its exit status.
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';

/** Whether the script runs with its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

const BROKEN_STATUS = 1;
const NOT_RUN_STATUS = 2;

/**
 * Runs a case.
 *
 * @param recordPath - `record.txt` in the folder of the case, which is written anew.
 * @param play - Plays the case; returns the lines of the record and what broke the rule.
 */
export async function runCase(recordPath, play) {
	const lines = [`disruption: ${isTroubled ? 'yes' : 'no'}`];
	let status = NOT_RUN_STATUS;
	try {
		const {record, broken} = await play();
		lines.push(...record, ...broken.map(text => `BROKEN: ${text}`), broken.length === 0 ? 'the rule held' : 'the rule was broken');
		status = broken.length === 0 ? 0 : BROKEN_STATUS;
	} catch (error) {
		lines.push(`the case could not run: ${error.message}`);
	}

	writeFileSync(recordPath, `${lines.join('\n')}\n`);
	console.log(lines.slice(-Math.min(lines.length, 12)).join('\n'));
	process.exit(status); // eslint-disable-line unicorn/no-process-exit -- the status is the result
}
