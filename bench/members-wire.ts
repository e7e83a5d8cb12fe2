/**
 * Bytes on the wire and processor time of one call over the connect-es transport on loopback, beyond its messages.
 */
import process from 'node:process';
import {randomBytes} from 'node:crypto';
import {connect, createServer, type AddressInfo} from 'node:net';
import {once} from 'node:events';
import {Authenticator} from '../src/peer/authentication.js';
import {ConnectTransport} from '../src/peer/connect-transport.js';
import {PeerPart} from '../src/peer/peer-part.js';

const WARM_UP_CALLS = 500;
const CALLS = 1000;
const TIMEOUT_MS = 5000;

export type WireCost = {
	/** Bytes of one call in both directions, without the encoded messages. */
	readonly overheadBytes: number;
	/** Bytes until the first answer on a new connection. */
	readonly firstCallBytes: number;
	/** Processor time of both sides together, in microseconds. */
	readonly cpuMicros: number;
};

/** Measures empty calls through a relay that counts bytes. */
export async function measureWire(): Promise<WireCost> {
	const key = randomBytes(32);
	const part = PeerPart.create({
		host: '127.0.0.1', port: 0, authenticator: Authenticator.create(key, () => 1), handlers: {loadReport: () => ({})},
	});
	await part.start(() => undefined);
	let bytes = 0;
	const relay = createServer({noDelay: true}, socket => {
		const target = connect(Number(part.address.split(':')[1]), '127.0.0.1');
		target.setNoDelay(true);
		socket.on('data', data => {
			bytes += data.length;
			target.write(data);
		});
		target.on('data', data => {
			bytes += data.length;
			socket.write(data);
		});
		socket.on('error', () => target.destroy());
		target.on('error', () => socket.destroy());
	}).listen(0, '127.0.0.1');
	await once(relay, 'listening');
	const transport = ConnectTransport.create(Authenticator.create(key, () => 1));
	const run = async (address: string, calls: number) => {
		for (let call = 0; call < calls; call += 1) {
			// eslint-disable-next-line no-await-in-loop
			const answer = await transport.call(address, 'loadReport', {}, TIMEOUT_MS);
			if (answer.isErr) {
				throw new Error(answer.error.detail);
			}
		}
	};

	const relayed = `127.0.0.1:${(relay.address() as AddressInfo).port}`;
	await run(relayed, 1);
	const firstCallBytes = bytes;
	await run(relayed, WARM_UP_CALLS);
	bytes = 0;
	await run(relayed, CALLS);
	const overheadBytes = bytes / CALLS;
	await run(part.address, WARM_UP_CALLS);
	const before = process.cpuUsage();
	await run(part.address, CALLS);
	const used = process.cpuUsage(before);
	transport.close();
	await part.stop();
	relay.close();
	return {overheadBytes, firstCallBytes, cpuMicros: (used.user + used.system) / CALLS};
}
