import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';

const LINES = 60_000;

/** Writes numbered lines as fast as possible, reports the elapsed ms on standard error, and writes a last line on SIGUSR2. */
const writer = `
	import {BoundedOutput} from './src/base/bounded-output.ts';
	const output = BoundedOutput.create(1);
	const start = performance.now();
	for (let index = 0; index < ${LINES}; index += 1) {
		output.write('{"line":' + index + ',"text":"' + 'x'.repeat(90) + '"}\\n');
		if (index % 1000 === 0) await new Promise(resolve => setImmediate(resolve));
	}
	setInterval(() => undefined, 1000);
	process.stderr.write(String(Math.round(performance.now() - start)));
	process.once('SIGUSR2', () => { output.write('{"line":"last"}\\n'); setTimeout(() => process.exit(0), 300); });
`;

type LogLine = {readonly line?: number | 'last'; readonly lines?: number};

describe('bounded output', function () {
	this.timeout(30_000);

	it('neither blocks nor grows without a reader, and reports the number of dropped lines', async () => {
		const child = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', writer], {stdio: ['ignore', 'pipe', 'pipe']});
		child.stdout.pause();
		const [elapsedMs] = await once(child.stderr, 'data') as [Uint8Array];
		expect(Number(new TextDecoder().decode(elapsedMs))).to.be.below(5000);
		child.stderr.resume();
		let text = '';
		child.stdout.on('data', (chunk: Uint8Array) => {
			text += new TextDecoder().decode(chunk);
		});
		child.stdout.resume();
		await sleep(300);
		child.kill('SIGUSR2');
		await once(child, 'close');
		const lines = text.trim().split('\n').map(line => JSON.parse(line) as LogLine);
		const dropped = lines.reduce((sum, {lines: count}) => sum + (count ?? 0), 0);
		const written = lines.filter(({line}) => typeof line === 'number');
		expect(dropped).to.be.above(LINES / 2);
		expect(written.length + dropped).to.equal(LINES);
		expect(written.map(({line}) => line)).to.deep.equal(written.map(({line}) => line as number).toSorted((left, right) => left - right));
		expect(lines.at(-1)).to.deep.equal({line: 'last'});
	});

	// Guards against the last lines of a process, such as how it stopped, being lost with its exit.
	it('has written all lines before a process exits that waits for it', async () => {
		const program = `
			import {BoundedOutput} from './src/base/bounded-output.ts';
			const output = BoundedOutput.create(1);
			output.write('first\\n');
			output.write('last\\n');
			await output.drain();
			process.exit(0);
		`;
		const child = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', program], {stdio: ['ignore', 'pipe', 'inherit']});
		let text = '';
		child.stdout.on('data', (chunk: Uint8Array) => {
			text += new TextDecoder().decode(chunk);
		});
		await once(child, 'close');
		expect(text).to.equal('first\nlast\n');
	});
});
