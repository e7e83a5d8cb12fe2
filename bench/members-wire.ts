/**
 * Measures the bytes on the wire and the CPU time of a call over the connect-es transport on loopback, without its messages.
 */
import process from 'node:process';
import {randomBytes} from 'node:crypto';
import {connect, createServer, type AddressInfo} from 'node:net';
import {once} from 'node:events';
import {SystemClock} from '../src/base/clock.js';
import {Log} from '../src/base/log.js';
import {Authenticator} from '../src/peer/authentication.js';
import {ConnectTransport} from '../src/peer/connect-transport.js';
import {PeerPart} from '../src/peer/peer-part.js';

const WARM_UP_CALLS = 500;
const CALLS = 1000;
const TIMEOUT_MS = 5000;

export type WireCost = {
	/** Bytes of a call in both directions, without the encoded messages. */
	readonly overheadBytes: number;
	/** Bytes in both directions until the first response on a new connection. */
	readonly firstCallBytes: number;
	/** CPU time of client and server together, in us per call. */
	readonly cpuMicros: number;
};

/** Measures empty calls: bytes through a counting TCP proxy, CPU time on a direct connection. */
export async function measureWire(): Promise<WireCost> {
	const key = randomBytes(32);
	const part = PeerPart.create({
		host: '127.0.0.1', port: 0, authenticator: Authenticator.create(key, () => 1), handlers: {loadReport: () => ({})}, clock: SystemClock.create(), log: Log.create('silent'),
	});
	await part.start();
	let bytes = 0;
	const proxy = createServer({noDelay: true}, socket => {
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
	await once(proxy, 'listening');
	const transport = ConnectTransport.create(Authenticator.create(key, () => 1));
	const makeCalls = async (address: string, calls: number) => {
		for (let call = 0; call < calls; call += 1) {
			// eslint-disable-next-line no-await-in-loop
			const response = await transport.call(address, 'loadReport', {}, TIMEOUT_MS);
			if (response.isErr) {
				throw new Error(response.error.detail);
			}
		}
	};

	const proxyAddress = `127.0.0.1:${(proxy.address() as AddressInfo).port}`;
	await makeCalls(proxyAddress, 1);
	const firstCallBytes = bytes;
	await makeCalls(proxyAddress, WARM_UP_CALLS);
	bytes = 0;
	await makeCalls(proxyAddress, CALLS);
	const overheadBytes = bytes / CALLS;
	await makeCalls(part.address, WARM_UP_CALLS);
	const before = process.cpuUsage();
	await makeCalls(part.address, CALLS);
	const used = process.cpuUsage(before);
	transport.close();
	await part.stop();
	proxy.close();
	return {overheadBytes, firstCallBytes, cpuMicros: (used.user + used.system) / CALLS};
}
