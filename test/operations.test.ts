import {access, readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {expect} from 'chai';
import {ErrorKind} from '../src/base/errors.js';
import {LogPrefix} from '../src/base/log.js';
import {MemoryTable} from '../src/store/memory-table.js';
import {createTestNode} from './support/dev-cluster.js';

/** @returns The sorted first column of the table in a section. */
function firstCells(page: string, section: string): string[] {
	const text = page.split(`\n## ${section}\n`)[1]!.split('\n## ', 1)[0]!;
	return [...text.matchAll(/^\| `(?<name>[^`]+)` \|/gmv)].map(match => match.groups!.name!).toSorted();
}

describe('docs/OPERATIONS.md', () => {
	let page: string;

	before(async () => {
		page = await readFile('docs/OPERATIONS.md', 'utf8');
	});

	// Guards against metrics that are not documented, and documented ones that no longer exist.
	it('documents exactly the metrics that a node exposes', async () => {
		const node = createTestNode(MemoryTable.create());
		await node.start();
		const text = await node.metrics.expose();
		await node.stop();
		const names = [...text.matchAll(/^# TYPE (?<name>\S+)/gmv)].map(match => match.groups!.name!);
		expect(firstCells(page, 'Metrics')).to.deep.equal(names.toSorted());
		const mentioned = [...page.matchAll(/`(?<name>redwingspool_\w+)`/gv)].map(match => match.groups!.name!);
		expect(mentioned.filter(name => !names.includes(name))).to.deep.equal([]);
	});

	// Guards against quoted log lines that the program no longer writes, and log lines and prefixes that are not documented.
	it('documents each log prefix, and quotes exactly the log lines of the source code', async () => {
		const prefixes: string[] = Object.values(LogPrefix);
		const toSet = (lines: readonly string[]) => [...new Set(lines)].toSorted((a, b) => a < b ? -1 : 1);
		expect(firstCells(page, 'Log prefixes')).to.deep.equal(prefixes.toSorted());
		const folders = await Promise.all(['src', 'platform'].map(async folder => readdir(folder, {recursive: true, withFileTypes: true})));
		const entries = folders.flat();
		const files = entries.filter(entry => entry.isFile() && entry.name.endsWith('.ts'));
		const sources = await Promise.all(files.map(async file => readFile(path.join(file.parentPath, file.name), 'utf8')));
		const code = sources.join('\n').replaceAll(String.raw`\'`, '\'');
		const written = [...code.matchAll(/(?:log|Log\)?|\))\??\.(?:error|warn|info|debug)\((?:\w+ \? )?(?<rest>[^\n]*)/gv)]
			.flatMap(match => [...match.groups!.rest!.matchAll(/'(?<line>[A-Z].*?\.)'/gv)].map(line => line.groups!.line!));
		const quoted = [...page.matchAll(/`(?<prefix>[a-z]+): (?<line>[A-Z][^`]*\.)`/gv)].map(match => match.groups!);
		expect(toSet(quoted.map(({line}) => line!))).to.deep.equal(toSet(written));
		expect(quoted.map(({prefix}) => prefix!).filter(prefix => !prefixes.includes(prefix))).to.deep.equal([]);
	});
});

describe('pages for contributors', () => {
	// Guards against error kinds that callers can receive but the design document does not explain.
	it('explain each error kind', async () => {
		const design = await readFile('docs/design.md', 'utf8');
		const table = design.split('\n### 5.3 ')[1]!.split('\n## ', 1)[0]!;
		const kinds = new Set(table.match(/[a-z]+(?:-[a-z]+)*/gv));
		expect(Object.values(ErrorKind).filter(kind => !kinds.has(kind))).to.deep.equal([]);
	});

	// Guards against instructions that refer to files that were moved.
	it('refer to files that exist', async () => {
		const page = await readFile('docs/CONTRIBUTING.md', 'utf8');
		const paths = [...page.matchAll(/`(?<path>(?:src|test|bench|docs|standins|examples)\/[\w\-.\/]+)`/gv)].map(match => match.groups!.path!);
		expect(paths).to.have.length.above(10);
		await Promise.all(paths.map(async file => access(file)));
	});
});
