import {Buffer} from 'node:buffer';
import {createHmac, randomBytes} from 'node:crypto';
import {expect} from 'chai';
import {generate} from 'selfsigned';
import {
	AuthFailure, Authenticator, type AuthFields,
} from '../../src/peer/authentication.js';
import {SystemClock} from '../../src/base/clock.js';
import {ClaimHolder, ClaimStatus} from '../../src/coordination/claim-peers.js';
import {MemberStatus, type MemberView} from '../../src/members/member.js';
import {claimStatusHandler, NetworkClaimPeers} from '../../src/peer/claim-status.js';
import {ConnectTransport, type PeerTls} from '../../src/peer/connect-transport.js';
import {PeerErrorKind, type PeerTransport} from '../../src/peer/peer-transport.js';
import {PeerPart} from '../../src/peer/peer-part.js';
import {createStrictLog} from '../support/strict-log.js';

const key = randomBytes(32);
const TIMEOUT_MS = 2000;

class SingleClaimHolder extends ClaimHolder {
	statusOf(token: string): ClaimStatus {
		return token === 'token' ? ClaimStatus.NeverDispatched : ClaimStatus.NotKnown;
	}
}

type TestNode = {part: PeerPart; transport: ConnectTransport; authenticator: Authenticator};

async function startTestNode(sharedKey: Uint8Array, tls?: PeerTls): Promise<TestNode> {
	const authenticator = Authenticator.create(sharedKey, () => 1);
	const part = PeerPart.create({
		host: '127.0.0.1', port: 0, authenticator, tls, handlers: claimStatusHandler(new SingleClaimHolder()), clock: SystemClock.create(), log: createStrictLog(),
	});
	await part.start();
	return {part, authenticator, transport: ConnectTransport.create(authenticator, tls)};
}

async function withTestNodes(starting: Array<Promise<TestNode>>, run: (...nodes: TestNode[]) => Promise<void>): Promise<void> {
	const started = await Promise.all(starting);
	try {
		await run(...started);
	} finally {
		for (const node of started) {
			node.transport.close();
		}

		await Promise.all(started.map(async node => node.part.stop()));
	}
}

function memberAt(address: string): MemberView {
	return {
		id: 'vm', process: 'process', address, entryAddress: '', region: 'a', dataCentre: 'a-1', incarnation: 1, status: MemberStatus.Alive, load: 0,
	};
}

async function callClaimStatus(transport: PeerTransport, address: string): Promise<string> {
	const response = await transport.call(address, 'claimStatus', {token: 'token'}, TIMEOUT_MS);
	return response.isOk ? 'ok' : response.error.kind;
}

function createSignedRequest(receiver: Authenticator, sender: Authenticator): {fields: AuthFields; mac: string} {
	const fields = sender.nextRequestFields(receiver.session);
	return {fields, mac: sender.sign('request', 'Exchange', fields, Buffer.from('body'))};
}

describe('peer', () => {
	// Guards against calls that work only with the in-memory transport, and against a claim status that cannot be queried
	// after the server of its holder was restarted.
	it('queries a claim holder over HTTP/2, including after a restart of the server', async () => {
		await withTestNodes([startTestNode(key), startTestNode(key)], async (a, b) => {
			const peers = NetworkClaimPeers.create(a.transport, () => [memberAt(b.part.address)]);
			expect(await peers.ask('process', 'token')).to.equal(ClaimStatus.NeverDispatched);
			expect(await peers.ask('process', 'other')).to.equal(ClaimStatus.NotKnown);
			expect(await peers.ask('earlier process', 'token')).to.equal(ClaimStatus.Unreachable);
			await b.part.stop();
			expect(await peers.ask('process', 'token')).to.equal(ClaimStatus.Unreachable);
			await b.part.start();
			expect(await peers.ask('process', 'token')).to.equal(ClaimStatus.NeverDispatched);
		});
	});

	// Guards against an error that escapes the transport and ends the process, as the VM list may have any text as an address.
	it('reports a peer whose address is not usable as unreachable', async () => {
		await withTestNodes([startTestNode(key)], async ({transport}) => {
			for (const address of ['not an address', '127.0.0.1:99999', '']) {
				// eslint-disable-next-line no-await-in-loop -- one call at a time
				expect(await callClaimStatus(transport, address), address).to.equal(PeerErrorKind.Unreachable);
			}
		});
	});

	// Guards against a party that joins with another key, and against responses to calls that have no handler.
	it('rejects a wrong key and calls without a handler', async () => {
		await withTestNodes([startTestNode(key), startTestNode(randomBytes(32))], async (a, b) => {
			expect(await callClaimStatus(a.transport, b.part.address)).to.equal(PeerErrorKind.Unauthenticated);
			expect(await callClaimStatus(b.transport, a.part.address)).to.equal(PeerErrorKind.Unauthenticated);
			const response = await a.transport.call(a.part.address, 'exchange', {}, TIMEOUT_MS);
			expect(response.isErr && response.error.kind).to.equal(PeerErrorKind.Unimplemented);
		});
	});

	// Guards against peers without a certificate of the deployment, and against unencrypted connections to a TLS port.
	it('requires certificates on both sides if TLS is configured', async () => {
		const pem = await generate([{name: 'commonName', value: 'node'}], {keySize: 2048, algorithm: 'sha256'});
		const otherPem = await generate([{name: 'commonName', value: 'node'}], {keySize: 2048, algorithm: 'sha256'});
		const tls = {key: pem.private, cert: pem.cert, ca: pem.cert};
		const untrustedTls = {key: otherPem.private, cert: otherPem.cert, ca: pem.cert};
		await withTestNodes([startTestNode(key, tls), startTestNode(key, tls)], async (a, b) => {
			expect(await callClaimStatus(a.transport, b.part.address)).to.equal('ok');
			const untrustedTransport = ConnectTransport.create(a.authenticator, untrustedTls);
			const plainTransport = ConnectTransport.create(a.authenticator);
			expect(await callClaimStatus(untrustedTransport, b.part.address)).to.equal(PeerErrorKind.Unreachable);
			expect(await callClaimStatus(plainTransport, b.part.address)).to.equal(PeerErrorKind.Unreachable);
			untrustedTransport.close();
			plainTransport.close();
		});
	});

	// Guards against recorded messages that are replayed to the same process or to its successor.
	it('rejects replayed, modified and redirected messages', () => {
		const sender = Authenticator.create(key, () => 1);
		const receiver = Authenticator.create(key, () => 1);
		const body = Buffer.from('body');
		const {fields, mac} = createSignedRequest(receiver, sender);
		const later = createSignedRequest(receiver, sender);
		expect(receiver.verifyRequest('Exchange', later.fields, body, later.mac)).to.equal(undefined);
		expect(receiver.verifyRequest('Exchange', fields, body, mac)).to.equal(undefined);
		expect(receiver.verifyRequest('Exchange', fields, body, mac)).to.equal(AuthFailure.Replayed);
		expect(receiver.verifyRequest('Demand', fields, body, mac)).to.equal(AuthFailure.WrongMac);
		expect(receiver.verifyRequest('Exchange', {...fields, incarnation: '2'}, body, mac)).to.equal(AuthFailure.WrongMac);
		expect(Authenticator.create(key, () => 1).verifyRequest('Exchange', fields, body, mac)).to.equal(AuthFailure.OtherSession);
		expect(receiver.verifyRequest('Exchange', fields, body, createHmac('sha256', 'x').digest('base64url'))).to.equal(AuthFailure.WrongMac);
	});

	// Guards against a response that is delivered to another request, and against one kind of message that is accepted as
	// another.
	it('rejects responses to other requests', () => {
		const sender = Authenticator.create(key, () => 1);
		const receiver = Authenticator.create(key, () => 1);
		const body = Buffer.from('answer');
		const [first, second] = [createSignedRequest(receiver, sender).fields, createSignedRequest(receiver, sender).fields];
		const fields = receiver.responseFields(first);
		const response = {fields, body, mac: receiver.sign('response', 'Exchange', fields, body)};
		expect(sender.verifyResponse('response', 'Exchange', first, response)).to.equal(undefined);
		expect(sender.verifyResponse('response', 'Exchange', second, response)).to.equal(AuthFailure.Replayed);
		expect(sender.verifyResponse('refusal', 'Exchange', first, response)).to.equal(AuthFailure.WrongMac);
	});

	// Guards against replays that are accepted because the receiver has evicted the state of their sender.
	it('changes its session ID when it evicts a sender', () => {
		const receiver = Authenticator.create(key, () => 1);
		const body = Buffer.from('body');
		const first = createSignedRequest(receiver, Authenticator.create(key, () => 1));
		expect(receiver.verifyRequest('Exchange', first.fields, body, first.mac)).to.equal(undefined);
		for (let count = 0; count < 4096; count += 1) {
			const {fields, mac} = createSignedRequest(receiver, Authenticator.create(key, () => 1));
			receiver.verifyRequest('Exchange', fields, body, mac);
		}

		expect(receiver.verifyRequest('Exchange', first.fields, body, first.mac)).to.equal(AuthFailure.OtherSession);
	});
});
