import {once} from 'node:events';
import {type AddressInfo, createServer, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {request} from 'undici';
import {eventually} from '../support/eventually.js';
import {freePort} from '../support/free-port.js';
import {Deployment, type LaunchedNode} from '../system/deployment.js';

/** How long an address stays in use after the first log line about it, in ms. */
const IN_USE_MS = 2000;
const IN_USE_LINE = 'Address not available; trying again.';

async function occupy(): Promise<{readonly server: Server; readonly port: string}> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.destroy();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {server, port: String((server.address() as AddressInfo).port)};
}

async function isAlive(url: string, route = '/healthz'): Promise<boolean> {
	try {
		const res = await request(`${url}${route}`);
		await res.body.dump();
		return res.statusCode === 200;
	} catch {
		return false;
	}
}

async function waitForLine(node: LaunchedNode, prefix: string): Promise<void> {
	await eventually(() => node.logLines.some(line => line.includes(`${prefix}: ${IN_USE_LINE}`)) || node.child.exitCode !== null, 400);
	expect(node.child.exitCode, node.logLines.join('\n')).to.equal(null);
}

// Guards against a node that ends while something else has one of its addresses (report FAULT).
describe('serve processes with an address in use', function () {
	this.timeout(60_000);
	let deployment: Deployment;

	before(async () => {
		deployment = await Deployment.start(0);
	});

	after(async () => {
		await deployment.stop();
	});

	for (const [setting, prefix] of [['port', 'entry'], ['peer-port', 'peer']] as const) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func -- mocha runs the tests one after the other
		it(`wait for --${setting}, and serve once it is free`, async () => {
			const {server, port} = await occupy();
			const node = deployment.launchNode(0, {[setting]: port});
			const started = Promise.allSettled([node.started]);
			await waitForLine(node, prefix);
			await sleep(IN_USE_MS);
			expect(node.child.exitCode).to.equal(null);
			if (setting === 'port') {
				expect(await isAlive(`http://127.0.0.1:${port}`, '/readyz')).to.equal(false);
			}

			server.close();
			const [result] = await started;
			expect(result.status).to.equal('fulfilled');
			const running = deployment.running.at(-1)!;
			expect(await isAlive(running.url)).to.equal(true);
			expect(await deployment.stopNode(running)).to.equal(0);
		});

		// eslint-disable-next-line @typescript-eslint/no-loop-func -- mocha runs the tests one after the other
		it(`end with status 0 after SIGTERM while --${setting} is in use`, async () => {
			const {server, port} = await occupy();
			const node = deployment.launchNode(0, {[setting]: port});
			const started = Promise.allSettled([node.started]);
			await waitForLine(node, prefix);
			const exited = once(node.child, 'exit');
			node.child.kill('SIGTERM');
			expect(await exited).to.deep.equal([0, null]);
			await started;
			server.close();
		});
	}

	it('end with status 0 after SIGTERM while they wait for the state of their peers', async () => {
		const {server, port: peerPort} = await occupy();
		const port = await freePort();
		const node = deployment.launchNode(0, {'leave-ms': '0', port: String(port), peers: `127.0.0.1:${peerPort}`});
		const started = Promise.allSettled([node.started]);
		await eventually(async () => isAlive(`http://127.0.0.1:${port}`));
		const exited = once(node.child, 'exit');
		node.child.kill('SIGTERM');
		expect(await exited, node.logLines.join('\n')).to.deep.equal([0, null]);
		await started;
		server.close();
	});
});
