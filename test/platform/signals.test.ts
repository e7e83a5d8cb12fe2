import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {expect} from 'chai';

describe('signals of the platform', () => {
	// A process that received SIGHUP while its modules were loading was terminated by the signal's default action.
	it('do not terminate a process before the rest of the program has loaded', async () => {
		const script = 'import("./platform/signals.ts").then(() => { process.kill(process.pid, "SIGHUP"); setTimeout(() => { console.log("alive"); process.exit(0); }, 50); });';
		const child = spawn(process.execPath, ['--import', 'tsx', '--eval', script], {stdio: ['ignore', 'pipe', 'inherit']});
		let text = '';
		child.stdout.on('data', (chunk: Uint8Array) => {
			text += new TextDecoder().decode(chunk);
		});
		await once(child, 'exit');
		expect(text.trim()).to.equal('alive');
	});

	it('are handled before the program is loaded', async () => {
		const source = await readFile('platform/main.ts', 'utf8');
		const imports = [...source.matchAll(/import (?:.*)|import\(.*?\)/gv)].map(match => match[0]);
		expect(imports).to.deep.equal(['import \'./signals.js\'; // eslint-disable-line import-x/no-unassigned-import -- imported for its side effects', 'import(\'./program.js\')']);
	});
});
