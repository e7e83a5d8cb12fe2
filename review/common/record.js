/**
 * The record of a run: what was sent, answered and run, and how processes ended.
 */
import {writeFileSync} from 'node:fs';

/** Collects lines and writes them to a file. */
export class Record {
	constructor(path) {
		this.path = path;
		this.lines = [];
		this.startedAt = performance.now();
	}

	note(kind, fields) {
		const at = ((performance.now() - this.startedAt) / 1000).toFixed(3);
		this.lines.push(`${at} ${kind} ${Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')}`);
	}

	/** Writes the lines, the verdict last. */
	finish(verdict) {
		this.lines.push(verdict);
		writeFileSync(this.path, `${this.lines.join('\n')}\n`);
		console.log(verdict);
	}
}
