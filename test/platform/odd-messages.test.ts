import {readFile} from 'node:fs/promises';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {splitAddress} from '../../src/base/address.js';

/** Time in which a VM reads a line, in ms. */
const READ_MS = 300;

describe('lines that another process sends to the port for links', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;

	before(async () => {
		deployment = await PlatformDeployment.start(1, 1);
	});

	after(async () => {
		await deployment.stop();
	});

	// Guards against a message that lacks a field, or names an address that no VM has: it ended the process that read it.
	it('close that connection, and leave the VM running', async () => {
		const [vm] = deployment.vms;
		const {listen} = JSON.parse(await readFile(vm!.settingsPath, 'utf8')) as {listen: {control: string}};
		const leader = {
			name: 'x', linkAddress: '127.0.0.1:70000', boot: 'x', term: {era: 9, version: 1e6}, vmCount: 3,
		};
		const lines = [
			'{"kind":"hello"}',
			'{"kind":"leading"}',
			JSON.stringify({kind: 'leading', leader}),
			JSON.stringify({kind: 'leading', leader: {...leader, linkAddress: 7}}),
			'{"kind":"places"}',
			`{"kind":"hello","member":${'['.repeat(20_000)}${']'.repeat(20_000)}}`,
			'no message',
		];
		for (const line of lines) {
			const socket = connect(splitAddress(listen.control));
			socket.on('error', () => {
				// The VM may close the connection while the line is sent.
			});
			socket.write(`${line}\n`);
			await sleep(READ_MS); // eslint-disable-line no-await-in-loop -- one line after the other shows which one fails
			expect(vm!.hasExitedUnexpectedly, `${line.slice(0, 100)}: ${vm!.log.slice(-10).join('\n')}`).to.equal(false);
			socket.destroy();
		}

		const answer = await deployment.call(vm!, 'unsafe');
		expect(answer.status).to.equal(200);
		expect(vm!.log.filter(line => line.includes('Message on a link not usable')).length).to.equal(lines.length);
	});
});
