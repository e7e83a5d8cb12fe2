import {Buffer} from 'node:buffer';
import {createHmac, randomBytes} from 'node:crypto';
import {expect} from 'chai';
import {generate} from 'selfsigned';
import {
	AuthFailure, Authenticator, type AuthFields,
} from '../../src/peer/authentication.js';
import {ClaimHolder, ClaimStatus} from '../../src/coordination/claim-peers.js';
import {MemberStatus, type MemberView} from '../../src/members/member.js';
import {claimStatusHandler, NetworkClaimPeers} from '../../src/peer/claim-status.js';
import {ConnectTransport, type PeerTls} from '../../src/peer/connect-transport.js';
import {PeerErrorKind, type PeerTransport} from '../../src/peer/peer-transport.js';
import {PeerPart} from '../../src/peer/peer-part.js';

const key = randomBytes(32);
const TIMEOUT_MS = 2000;

class OneClaim extends ClaimHolder {
	statusOf(token: string): ClaimStatus {
		return token === 'token' ? ClaimStatus.NeverDispatched : ClaimStatus.NotKnown;
	}
}

type Side = {part: PeerPart; transport: ConnectTransport; authenticator: Authenticator};

async function startSide(sharedKey: Uint8Array, tls?: PeerTls): Promise<Side> {
	const authenticator = Authenticator.create(sharedKey, () => 1);
	const part = PeerPart.create({
		host: '127.0.0.1', port: 0, authenticator, tls, handlers: claimStatusHandler(new OneClaim()),
	});
	await part.start(err => {
		throw err;
	});
	return {part, authenticator, transport: ConnectTransport.create(authenticator, tls)};
}

async function withSides(sides: Array<Promise<Side>>, run: (...sides: Side[]) => Promise<void>): Promise<void> {
	const started = await Promise.all(sides);
	try {
		await run(...started);
	} finally {
		for (const side of started) {
			side.transport.close();
		}

		await Promise.all(started.map(async side => side.part.stop()));
	}
}

function memberAt(address: string): MemberView {
	return {
		id: 'vm', process: 'process', address, entryAddress: '', region: 'a', dataCentre: 'a-1', incarnation: 1, status: MemberStatus.Alive, load: 0,
	};
}

async function ask(transport: PeerTransport, address: string): Promise<string> {
	const answer = await transport.call(address, 'claimStatus', {token: 'token'}, TIMEOUT_MS);
	return answer.isOk ? 'ok' : answer.error.kind;
}

function sendTo(receiver: Authenticator, sender: Authenticator): {fields: AuthFields; mac: string} {
	const fields = sender.nextRequest(receiver.session);
	return {fields, mac: sender.sign('request', 'Exchange', fields, Buffer.from('body'))};
}

describe('peer', () => {
	// Guards against calls that work only in the in-memory form, and against a lost answer of a claim's holder.
	it('asks the holder of a claim over HTTP/2, also after the holder was restarted', async () => {
		await withSides([startSide(key), startSide(key)], async (a, b) => {
			const peers = NetworkClaimPeers.create(a.transport, () => [memberAt(b.part.address)]);
			expect(await peers.ask('process', 'token')).to.equal(ClaimStatus.NeverDispatched);
			expect(await peers.ask('process', 'other')).to.equal(ClaimStatus.NotKnown);
			expect(await peers.ask('earlier process', 'token')).to.equal(ClaimStatus.Unreachable);
			await b.part.stop();
			expect(await peers.ask('process', 'token')).to.equal(ClaimStatus.Unreachable);
			await b.part.start(() => undefined);
			expect(await peers.ask('process', 'token')).to.equal(ClaimStatus.NeverDispatched);
		});
	});

	// Guards against a stranger that joins with another key, and against an answer that no handler gave.
	it('refuses a wrong key and unknown calls', async () => {
		await withSides([startSide(key), startSide(randomBytes(32))], async (a, b) => {
			expect(await ask(a.transport, b.part.address)).to.equal(PeerErrorKind.Unauthenticated);
			expect(await ask(b.transport, a.part.address)).to.equal(PeerErrorKind.Unauthenticated);
			const answer = await a.transport.call(a.part.address, 'exchange', {}, TIMEOUT_MS);
			expect(answer.isErr && answer.error.kind).to.equal(PeerErrorKind.Unimplemented);
		});
	});

	// Guards against peers without a certificate of the deployment, and against plain connections to a TLS port.
	it('requires certificates on both sides when keys are set', async () => {
		const pem = await generate([{name: 'commonName', value: 'node'}], {keySize: 2048, algorithm: 'sha256'});
		const other = await generate([{name: 'commonName', value: 'node'}], {keySize: 2048, algorithm: 'sha256'});
		const tls = {key: pem.private, cert: pem.cert, ca: pem.cert};
		const strange = {key: other.private, cert: other.cert, ca: pem.cert};
		await withSides([startSide(key, tls), startSide(key, tls)], async (a, b) => {
			expect(await ask(a.transport, b.part.address)).to.equal('ok');
			const stranger = ConnectTransport.create(a.authenticator, strange);
			const plain = ConnectTransport.create(a.authenticator);
			expect(await ask(stranger, b.part.address)).to.equal(PeerErrorKind.Unreachable);
			expect(await ask(plain, b.part.address)).to.equal(PeerErrorKind.Unreachable);
			stranger.close();
			plain.close();
		});
	});

	// Guards against recorded messages that are sent again, to the same process or to its successor.
	it('refuses replayed, changed and redirected messages', () => {
		const sender = Authenticator.create(key, () => 1);
		const receiver = Authenticator.create(key, () => 1);
		const body = Buffer.from('body');
		const {fields, mac} = sendTo(receiver, sender);
		const later = sendTo(receiver, sender);
		expect(receiver.checkRequest('Exchange', later.fields, body, later.mac)).to.equal(undefined);
		expect(receiver.checkRequest('Exchange', fields, body, mac)).to.equal(undefined);
		expect(receiver.checkRequest('Exchange', fields, body, mac)).to.equal(AuthFailure.Replayed);
		expect(receiver.checkRequest('Demand', fields, body, mac)).to.equal(AuthFailure.WrongMac);
		expect(receiver.checkRequest('Exchange', {...fields, incarnation: '2'}, body, mac)).to.equal(AuthFailure.WrongMac);
		expect(Authenticator.create(key, () => 1).checkRequest('Exchange', fields, body, mac)).to.equal(AuthFailure.OtherSession);
		expect(receiver.checkRequest('Exchange', fields, body, createHmac('sha256', 'x').digest('base64url'))).to.equal(AuthFailure.WrongMac);
	});

	// Guards against one caller's answer that is given to another, and against a request that is reflected as an answer.
	it('refuses answers to other requests', () => {
		const sender = Authenticator.create(key, () => 1);
		const receiver = Authenticator.create(key, () => 1);
		const body = Buffer.from('answer');
		const [first, second] = [sendTo(receiver, sender).fields, sendTo(receiver, sender).fields];
		const fields = receiver.response(first);
		const answer = {fields, body, mac: receiver.sign('response', 'Exchange', fields, body)};
		expect(sender.checkAnswer('response', 'Exchange', first, answer)).to.equal(undefined);
		expect(sender.checkAnswer('response', 'Exchange', second, answer)).to.equal(AuthFailure.Replayed);
		expect(sender.checkAnswer('refusal', 'Exchange', first, answer)).to.equal(AuthFailure.WrongMac);
	});

	// Guards against replays that pass because the receiver forgot their sender.
	it('changes its session when it forgets a sender', () => {
		const receiver = Authenticator.create(key, () => 1);
		const body = Buffer.from('body');
		const first = sendTo(receiver, Authenticator.create(key, () => 1));
		expect(receiver.checkRequest('Exchange', first.fields, body, first.mac)).to.equal(undefined);
		for (let count = 0; count < 4096; count += 1) {
			const {fields, mac} = sendTo(receiver, Authenticator.create(key, () => 1));
			receiver.checkRequest('Exchange', fields, body, mac);
		}

		expect(receiver.checkRequest('Exchange', first.fields, body, first.mac)).to.equal(AuthFailure.OtherSession);
	});
});
