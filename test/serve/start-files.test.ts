import {randomBytes} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {generate} from 'selfsigned';
import {readSettings} from '../../src/base/settings.js';
import {createNode} from '../../src/serve/create-node.js';
import {nodeSettings} from '../../src/serve/node-settings.js';
import {createStrictLog} from '../support/strict-log.js';

const flags = {
	'vm-id': 'vm-1', region: 'azraq', 'data-centre': 'azraq-1', 'table-url': 'http://127.0.0.1:1', 'objects-url': 'http://127.0.0.1:1', 'vm-list-url': 'http://127.0.0.1:1',
};

describe('files named in the settings of a node', () => {
	let folder: string;

	const file = (name: string) => path.join(folder, name);
	const problemsOf = (files: Readonly<Record<string, string>>) => {
		const settings = readSettings(nodeSettings, {...flags, ...files}, {}).unwrapOrElse(problems => {
			throw new Error(problems.join('\n'));
		});
		const created = createNode(settings, createStrictLog(), () => undefined);
		return created.isErr ? created.error : [];
	};

	before(async () => {
		folder = mkdtempSync(path.join(tmpdir(), 'start-files-'));
		const [pair, other] = await Promise.all(['first', 'second'].map(async name => generate([{name: 'commonName', value: name}], {keySize: 2048})));
		writeFileSync(file('key.pem'), pair!.private);
		writeFileSync(file('cert.pem'), pair!.cert);
		writeFileSync(file('half.pem'), pair!.cert.slice(0, 200));
		writeFileSync(file('other.pem'), other!.cert);
		writeFileSync(file('empty'), '');
		writeFileSync(file('peer-key'), randomBytes(32));
	});

	after(() => {
		rmSync(folder, {recursive: true});
	});

	// Guards against a start that names only the first problem, or one that fails after it has begun.
	it('are refused with each problem', () => {
		const problems = problemsOf({
			'peer-key-file': file('missing'), 'store-secret-file': file('empty'), 'tls-key-file': file('key.pem'), 'tls-cert-file': file('half.pem'),
			'peer-tls-key-file': file('key.pem'), 'peer-tls-cert-file': file('other.pem'), 'peer-tls-ca-file': file('other.pem'),
		});
		expect(problems).to.have.length(4);
		for (const [index, pattern] of [/^--store-secret-file: .*empty/v, /^--peer-key-file: ENOENT/v, /^--peer-tls-key-file, .* cannot be used/v, /^--tls-key-file, .* cannot be used/v].entries()) {
			expect(problems[index]).to.match(pattern);
		}
	});

	it('are accepted if they are whole', () => {
		expect(problemsOf({
			'peer-key-file': file('peer-key'), 'store-secret-file': file('peer-key'), 'tls-key-file': file('key.pem'), 'tls-cert-file': file('cert.pem'),
		})).to.deep.equal([]);
	});
});
