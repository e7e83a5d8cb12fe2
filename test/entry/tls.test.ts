import {
	mkdtempSync, renameSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {connect} from 'node:tls';
import {once} from 'node:events';
import {expect} from 'chai';
import {generate} from 'selfsigned';
import {SystemClock} from '../../src/base/clock.js';
import {Node} from '../../src/serve/node.js';
import {MemoryTable} from '../../src/store/memory-table.js';
import {eventually} from '../support/eventually.js';
import {createStrictLog} from '../support/strict-log.js';

describe('TLS for callers', () => {
	it('serves the certificate from its files and reloads a replaced one without a restart', async () => {
		const folder = mkdtempSync(path.join(tmpdir(), 'tls-test-'));
		const files = {keyFile: path.join(folder, 'key.pem'), certFile: path.join(folder, 'cert.pem')};
		const write = async (name: string) => {
			const pair = await generate([{name: 'commonName', value: name}], {keySize: 2048});
			for (const [file, text] of [[files.keyFile, pair.private], [files.certFile, pair.cert]] as const) {
				writeFileSync(`${file}.new`, text);
				renameSync(`${file}.new`, file);
			}
		};

		await write('first');
		const node = Node.create({
			clock: SystemClock.create(),
			log: createStrictLog(),
			platform: {table: MemoryTable.create()},
			host: '127.0.0.1',
			port: 0,
			region: 'local',
			dataCentre: 'local-1',
			throwOnViolation: true,
			tls: files,
		});
		await node.start();
		const [host, port] = node.address.split(':');
		const servedName = async () => {
			const socket = connect({host, port: Number(port), rejectUnauthorized: false});
			await once(socket, 'secureConnect');
			const {CN} = socket.getPeerCertificate().subject;
			socket.write('GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n');
			const [answer] = await once(socket, 'data') as [Uint8Array];
			socket.destroy();
			expect(new TextDecoder().decode(answer)).to.match(/^HTTP\/1\.1 200/v);
			return CN;
		};

		expect(await servedName()).to.equal('first');
		writeFileSync(files.certFile, 'not a certificate');
		expect(await servedName()).to.equal('first');
		await write('second');
		await eventually(async () => await servedName() === 'second', 100);
		await node.stop();
		rmSync(folder, {recursive: true});
	});
});
