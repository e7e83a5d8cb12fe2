import {execFileSync} from 'node:child_process';
import {readdir, readFile} from 'node:fs/promises';
import process from 'node:process';
import {expect} from 'chai';
import {build} from 'esbuild';

type Exports = Record<string, Record<'redwingspool-source' | 'types' | 'default', string>>;

/** Expected output of each example. */
const expectedOutputs: Readonly<Record<string, string>> = {
	admission: 'pressure announced for tiers 0; tier 0 may be shed from 1060; tier 1 is blocked until 3000',
	claim: 'replay: table 4',
	clock: 'time passed',
	'config-tree': 'indra: version 1\nmaya: conflict',
	errors: '503 ran=no retry after 1000 ms',
	lease: 'a holds it: true, b holds it: false\nafter the ttl: a undefined, b holds it: true with fencing number 2',
	limit: 'limit before the slowdown 16, after it 1',
	members: 'b knows: a, b',
	quarantine: 'poison: quarantined, harmless: clear, other: suspect',
	retry: 'retries of 1000 failing requests: 109',
	router: 'chosen: engine-north',
	shares: 'slots: 6 and 2',
};
const libraryFolders = /^src\/(?:base|store|policy|coordination|members|config|peer\/generated)\//v;
const daemonPackages = /^(?:@nestjs|fastify|@connectrpc|citty|reflect-metadata|undici|winston)/v;

describe('library', () => {
	let exported: Exports;

	before(async () => {
		({exports: exported} = JSON.parse(await readFile('package.json', 'utf8')) as {exports: Exports});
	});

	// Guards against a sub-path whose imports pull in the daemon.
	it('reaches neither the framework nor the daemon from any sub-path', async () => {
		const entryPoints = Object.values(exported).map(target => target['redwingspool-source']);
		const {metafile} = await build({
			entryPoints, bundle: true, write: false, outdir: 'dist/lib', platform: 'node', packages: 'external', metafile: true,
		});
		expect(Object.keys(metafile.inputs).filter(input => !libraryFolders.test(input))).to.deep.equal([]);
		const packages = Object.values(metafile.inputs).flatMap(({imports}) => imports).filter(({external}) => external);
		expect(packages.map(({path}) => path).filter(path => daemonPackages.test(path))).to.deep.equal([]);
	});

	// Guards against a sub-path that is missing from the library build or from docs/LIBRARY.md.
	it('builds and documents each sub-path', async () => {
		const {files} = JSON.parse(await readFile('tsconfig.lib.json', 'utf8')) as {files: string[]};
		const documentation = await readFile('docs/LIBRARY.md', 'utf8');
		for (const [subPath, {types, default: code, 'redwingspool-source': source}] of Object.entries(exported)) {
			expect(files).to.include(source.slice('./'.length));
			expect(code).to.equal(source.replace('./src/', './dist/lib/').replace(/\.ts$/v, '.js'));
			expect(types).to.equal(code.replace(/\.js$/v, '.d.ts'));
			expect(documentation).to.include(`\`redwingspool${subPath.slice(1)}\``);
		}
	});

	// Guards against examples that no longer match the library's interfaces.
	it('runs each example', async () => {
		const files = await readdir('examples/library');
		const names = files.map(file => file.replace('.ts', '')).toSorted();
		expect(names).to.deep.equal(Object.keys(expectedOutputs).toSorted());
		for (const name of names) {
			const output = execFileSync(process.execPath, ['--conditions=redwingspool-source', '--import', 'tsx', `examples/library/${name}.ts`], {encoding: 'utf8'});
			expect(output.trim(), name).to.equal(expectedOutputs[name]);
		}
	}).timeout(60_000);
});
