/**
 * Relay benchmark: compares this program with a minimal pass-through proxy of fastify and undici. Each runs as a separate
 * process in front of the same stand-in engines, under the same load from another process. Prints a JSON object.
 *
 * `npm run bench:relay [-- --seconds=5 --rounds=3]`
 */
import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {build} from 'esbuild';
import {type LoadOptions, type LoadReport, type Usage} from './relay-child.js';

const ENGINE_COUNT = 3;
const MIB = 1024 * 1024;
const programs = ['engine', 'node', 'pass', 'load'] as const;
const optionalPackages = ['@nestjs/microservices', '@nestjs/websockets', '@nestjs/platform-express', 'class-transformer', 'class-validator', '@fastify/static', '@fastify/view', '@fastify/multipart'];

type ByVariant<Value> = {readonly node: Value; readonly pass: Value};

const {values: flags} = parseArgs({options: {seconds: {type: 'string', default: '5'}, rounds: {type: 'string', default: '3'}}});
const durationMs = Number(flags.seconds) * 1000;
const rounds = Number(flags.rounds);
// Bundles are written here; the external packages are optional and need not be resolvable.
const outputFolder = mkdtempSync(path.join(tmpdir(), 'relay-bench-'));
const children: ChildProcess[] = [];

function startChild(program: (typeof programs)[number], ...arguments_: string[]): ChildProcess {
	const child = fork(path.join(outputFolder, `relay-${program}.cjs`), arguments_, {execArgv: ['--enable-source-maps']});
	children.push(child);
	return child;
}

async function startServer(program: 'engine' | 'node' | 'pass', ...arguments_: string[]): Promise<{child: ChildProcess; url: string}> {
	const child = startChild(program, ...arguments_);
	const [url] = await once(child, 'message') as [string];
	return {child, url};
}

async function startServers(tokenIntervalMs: number, tokens: number) {
	const engines = await Promise.all(Array.from({length: ENGINE_COUNT}, async () => startServer('engine', String(tokenIntervalMs), String(tokens))));
	const urls = engines.map(engine => engine.url);
	return {node: await startServer('node', ...urls), pass: await startServer('pass', ...urls), direct: urls[0]!};
}

async function queryUsage(child: ChildProcess): Promise<Usage> {
	child.send('usage');
	const [usage] = await once(child, 'message') as [Usage];
	return usage;
}

async function runLoad(options: LoadOptions): Promise<LoadReport> {
	const [report] = await once(startChild('load', JSON.stringify(options)), 'message') as [LoadReport];
	return report;
}

async function stopChildren(): Promise<void> {
	await Promise.all(children.splice(0).filter(child => child.connected).map(async child => {
		const exit = once(child, 'exit');
		child.disconnect();
		await exit;
	}));
}

function median(list: readonly number[]): number {
	return list.toSorted((a, b) => a - b)[Math.floor(list.length / 2)]!;
}

/** Alternates between the two servers in each round, so that changes in the load of the machine affect both. */
async function compare(servers: ByVariant<{child: ChildProcess; url: string}>, callers: number, isStreamed: boolean) {
	const reports: {node: LoadReport[]; pass: LoadReport[]} = {node: [], pass: []};
	const cpu = {node: 0, pass: 0};
	for (let round = 0; round < rounds; round++) {
		for (const variant of ['pass', 'node'] as const) {
			/* eslint-disable no-await-in-loop -- runs must not overlap */
			const before = await queryUsage(servers[variant].child);
			reports[variant].push(await runLoad({
				url: servers[variant].url, callers, isStreamed, warmUpMs: 1000, durationMs,
			}));
			const after = await queryUsage(servers[variant].child);
			/* eslint-enable no-await-in-loop */
			cpu[variant] += (after.cpuMs - before.cpuMs) / (durationMs + 1000) / rounds;
		}
	}

	const summarize = (variant: 'node' | 'pass') => ({
		requestsPerSecond: median(reports[variant].map(report => report.requestsPerSecond)),
		tokensPerSecond: median(reports[variant].map(report => report.tokensPerSecond)),
		p50Ms: median(reports[variant].map(report => report.p50Ms)),
		p99Ms: median(reports[variant].map(report => report.p99Ms)),
		failures: reports[variant].reduce((sum, report) => sum + report.failures, 0),
		cores: cpu[variant],
	});
	return {node: summarize('node'), pass: summarize('pass')};
}

async function measureCompletions() {
	const servers = await startServers(0, 16);
	const idle = await queryUsage(servers.node.child);
	const saturated = await compare(servers, 64, false);
	const light = await compare(servers, 4, false);
	const direct = await runLoad({
		url: servers.direct, callers: 4, isStreamed: false, warmUpMs: 1000, durationMs,
	});
	await stopChildren();
	return {
		requestsRatio: saturated.node.requestsPerSecond / saturated.pass.requestsPerSecond,
		addedP50Ms: light.node.p50Ms - light.pass.p50Ms,
		addedP99Ms: light.node.p99Ms - light.pass.p99Ms,
		idleMib: idle.rssBytes / MIB,
		saturated,
		light,
		direct,
	};
}

async function measureStreams() {
	const servers = await startServers(1, 200);
	const streams = await compare(servers, 192, true);
	await stopChildren();
	return {tokensRatio: streams.node.tokensPerSecond / streams.pass.tokensPerSecond, streams};
}

async function measureOpenStreams() {
	const servers = await startServers(170, 1000);
	const running = runLoad({
		url: servers.node.url, callers: 1000, isStreamed: true, warmUpMs: 3000, durationMs,
	});
	let peakBytes = 0;
	const timer = setInterval(async () => {
		const {rssBytes} = await queryUsage(servers.node.child);
		peakBytes = Math.max(peakBytes, rssBytes);
	}, 500);
	const report = await running;
	clearInterval(timer);
	await stopChildren();
	return {open1000Mib: peakBytes / MIB, tokensPerSecond: report.tokensPerSecond, failures: report.failures};
}

try {
	await build({
		entryPoints: programs.map(program => `bench/relay-${program}.ts`),
		outdir: outputFolder,
		outExtension: {'.js': '.cjs'},
		bundle: true,
		platform: 'node',
		target: 'node20',
		format: 'cjs',
		external: optionalPackages,
		define: {'import.meta.url': 'importMetaUrl'},
		banner: {js: 'const importMetaUrl = require("node:url").pathToFileURL(__filename).href;'},
		logLevel: 'warning',
	});
	const whole = await measureCompletions();
	const streams = await measureStreams();
	const open = await measureOpenStreams();
	console.log(JSON.stringify({whole, streams, open}, (_key, value: unknown) => typeof value === 'number' ? Number(value.toPrecision(4)) : value, 1));
} finally {
	await stopChildren();
	rmSync(outputFolder, {recursive: true});
}

process.exit(0);
