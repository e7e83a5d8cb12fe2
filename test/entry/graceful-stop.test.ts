import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {expect} from 'chai';
import {Agent, request} from 'undici';
import {SystemClock} from '../../src/base/clock.js';
import {Node} from '../../src/serve/node.js';
import {MemoryTable} from '../../src/store/memory-table.js';
import {BookingStandIn} from '../../standins/booking.js';
import {EngineStandIn} from '../../standins/engine.js';
import {expectedWords} from '../../standins/engine-answers.js';
import {createDeployment, testApiKey} from '../support/dev-cluster.js';
import {eventually} from '../support/eventually.js';
import {createStrictLog} from '../support/strict-log.js';

const streamCount = 100;
const tokens = 100;
// The two engines need four seconds to accept all 100 streams, so the 5 s deadline of the default tier could reject some.
const headers = {authorization: 'Bearer dev-key', 'content-type': 'application/json', 'redwingspool-tier': 'summary'};

function bodyFor(prompt: string, maxTokens = tokens): string {
	return JSON.stringify({
		model: 'crew-advice', stream: true, max_tokens: maxTokens, messages: [{role: 'user', content: prompt}],
	});
}

describe('graceful stop', () => {
	let child: ChildProcess;
	let exit: Promise<unknown[]>;
	let url: string;

	// Starting the process compiles the program, which takes most of the time on a busy machine and is not under test.
	before(async () => {
		child = spawn(process.execPath, ['--import', 'tsx', 'src/main.ts', 'dev', '--port', '0', '--log-level', 'error'], {stdio: ['ignore', 'pipe', 'inherit']});
		exit = once(child, 'exit');
		const [line] = await once(createInterface(child.stdout!), 'line') as [string];
		url = `${line.replace('listening on ', '')}/v1/chat/completions`;
	});

	it('completes 100 open streams after SIGTERM, rejects new requests and exits with 0', async () => {
		const dispatcher = new Agent();
		const open = await Promise.all(Array.from({length: streamCount}, async (_, index) => request(url, {
			method: 'POST', headers, body: bodyFor(`note ${index}`), dispatcher,
		})));
		expect(open.map(res => res.statusCode), 'all are open before the signal').to.deep.equal(Array.from({length: streamCount}, () => 200));
		child.kill('SIGTERM');
		let refusal = await request(url, {method: 'POST', headers, body: bodyFor('late')});
		// The process may accept requests before it receives the signal.
		while (refusal.statusCode === 200) {
			refusal.body.destroy();
			refusal.body.on('error', () => undefined);
			// eslint-disable-next-line no-await-in-loop
			refusal = await request(url, {method: 'POST', headers, body: bodyFor('late')});
		}

		expect(refusal.statusCode).to.equal(503);
		expect(refusal.headers.connection).to.equal('close');
		expect(await refusal.body.json()).to.have.nested.property('error.code', 'draining');
		const texts = await Promise.all(open.map(async res => res.body.text()));
		for (const [index, text] of texts.entries()) {
			const words = [...text.matchAll(/"content":"(?<word>w\d+ )"/gv)].map(match => match.groups!.word);
			expect(words, `status ${open[index]!.statusCode}, '${text.slice(0, 200)}'`).to.deep.equal(expectedWords(`note ${index}`, tokens));
			expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
		}

		expect(await exit).to.deep.equal([0, null]);
		await dispatcher.destroy();
	}).timeout(15_000);

	it('stops within its time limit while a stream is still running', async () => {
		const engine = await EngineStandIn.start({tokenIntervalMs: 10, defaultTokens: 1_000_000});
		const booking = await BookingStandIn.start();
		const node = Node.create({
			clock: SystemClock.create(),
			log: createStrictLog(),
			platform: {table: MemoryTable.create()},
			host: '127.0.0.1',
			port: 0,
			region: 'local',
			dataCentre: 'local-1',
			throwOnViolation: false,
			maxDrainMs: 100,
		});
		node.settings.apply(createDeployment([engine], booking, true));
		await node.start();
		const res = await request(`http://${node.address}/v1/chat/completions`, {
			method: 'POST', headers: {authorization: `Bearer ${testApiKey}`}, body: bodyFor('long', 1_000_000),
		});
		const ended = Promise.allSettled([res.body.text()]);
		const start = performance.now();
		await node.stop();
		expect(performance.now() - start).to.be.within(100, 5000);
		const [outcome] = await ended;
		expect(outcome.status).to.equal('rejected');
		expect(node.invariants.counts.get('P7')).to.deep.equal({evaluated: 1, violated: 1});
		await eventually(() => engine.canceled.length === 1);
		await Promise.all([engine, booking].map(async standIn => standIn.stop()));
	});
});
