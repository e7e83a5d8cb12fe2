import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {readNodeFile} from '../../platform/node-file.js';

const settings = {
	nodeName: 'vm',
	zone: 'a',
	region: 'r',
	zones: {a: 'r'},
	listen: {
		front: '10.0.0.1:80', ready: '10.0.0.1:81', control: '10.0.0.1:82', directory: '10.0.0.1:83',
	},
	internalPorts: [7600, 7615],
	seeds: ['10.0.0.2:82'],
	limits: {cpuShare: 0.675, cores: 1, linkMbps: 1000},
	bounds: {
		graceS: 8, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 56, quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 190_000,
	},
	platform: {address: '10.0.0.9:8225'},
};

describe('settings of a process', () => {
	let folder: string;

	before(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'redwingspool-'));
	});

	after(async () => {
		await rm(folder, {recursive: true});
	});

	/** @returns The problems with a file; none if it can be used. */
	async function problemsOf(text: string): Promise<readonly string[]> {
		const file = path.join(folder, 'node.json');
		await writeFile(file, text);
		const read = readNodeFile(file);
		return read.isErr ? read.error : [];
	}

	it('may have unknown fields and no seeds', async () => {
		expect(await problemsOf(JSON.stringify(settings))).to.deep.equal([]);
		expect(await problemsOf(JSON.stringify({...settings, seeds: undefined, added: {a: 1}}))).to.deep.equal([]);
	});

	// Guards against a process that ends for one seed of several, of which none needs to be running.
	it('leave out seeds that cannot be used, and name them', async () => {
		const file = path.join(folder, 'node.json');
		for (const [seeds, usable, unusable] of [
			[['host:82', '10.0.0.2:82', null, 7, '10.0.0.3:0', ''], ['10.0.0.2:82'], ['"host:82"', 'null', '7', '"10.0.0.3:0"', '""']],
			[null, [], []],
		] as const) {
			await writeFile(file, JSON.stringify({...settings, seeds})); // eslint-disable-line no-await-in-loop -- one file is written again and again
			const read = readNodeFile(file);
			expect(read.isOk && [read.value.seeds, read.value.unusableSeeds]).to.deep.equal([usable, unusable]);
		}
	});

	// Guards against settings that a later call throws at, without a reason, or that make windows and shares infinite.
	it('are refused at the start, with the name of each field that cannot be used', async () => {
		const {listen, limits, bounds} = settings;
		const unusable: ReadonlyArray<readonly [field: string, change: Record<string, unknown>]> = [
			...Object.keys(listen).map(name => [`listen.${name}`, {listen: {...listen, [name]: '10.0.0.1:70000'}}] as const),
			...Object.keys(limits).map(name => [`limits.${name}`, {limits: {...limits, [name]: 0}}] as const),
			...Object.keys(bounds).map(name => [`bounds.${name}`, {bounds: {...bounds, [name]: -1}}] as const),
			['bounds.quotaWindowS', {bounds: {...bounds, quotaWindowS: 0}}],
			['bounds.budgetWindowS', {bounds: {...bounds, budgetWindowS: 0}}],
			['internalPorts.0', {internalPorts: [0, 1]}],
			['internalPorts.1', {internalPorts: [1, 65_536]}],
			['seeds', {seeds: '10.0.0.2:82'}],
			['platform.address', {platform: {address: '10.0.0.9:0'}}],
			['nodeName', {nodeName: ''}],
			['zones', {zones: []}],
		];
		for (const [field, change] of unusable) {
			const problems = await problemsOf(JSON.stringify({...settings, ...change})); // eslint-disable-line no-await-in-loop -- one file is written again and again
			expect(problems.join(';'), field).to.match(new RegExp(`^${field}: [^;]+$`, 'v'));
		}

		for (const text of ['', '{', 'null', '[]']) {
			expect(await problemsOf(text), text).to.have.length.above(0); // eslint-disable-line no-await-in-loop
		}
	});
});
