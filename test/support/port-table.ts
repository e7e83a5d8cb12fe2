/**
 * Ports of this machine that TCP sockets have.
 */
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {createConnection} from 'node:net';
import {splitAddress} from '../../src/base/address.js';
import {ANY_ADDRESS} from '../../standins/tcp-proxy.js';

/** States of a socket in `/proc/net/tcp`. */
export const SocketState = {Established: '01', TimeWait: '06', Listening: '0A'} as const;

export type SocketState = (typeof SocketState)[keyof typeof SocketState];

type SocketEntry = {
	readonly localPort: number;
	readonly remotePort: number;
	readonly state: string;
};

async function readSockets(): Promise<SocketEntry[]> {
	const table = await readFile('/proc/net/tcp', 'utf8');
	return table.trim().split('\n').slice(1).map(line => {
		const [, local = '', remote = '', state = ''] = line.trim().split(/\s+/v);
		return {localPort: portOf(local), remotePort: portOf(remote), state};
	});
}

/** @param address - Address and port in hexadecimal notation. */
function portOf(address: string): number {
	return Number.parseInt(address.split(':')[1] ?? '', 16);
}

/** @returns Local ports of connections in a state to one of the targets. */
export async function findOutgoingPorts(state: SocketState, targets: ReadonlySet<number>): Promise<number[]> {
	const sockets = await readSockets();
	return sockets.filter(socket => socket.state === state && targets.has(socket.remotePort) && !targets.has(socket.localPort)).map(({localPort}) => localPort);
}

/** @returns Local ports of all connections to other ports than the targets, such as those of other programs. */
export async function findForeignPorts(targets: ReadonlySet<number>): Promise<ReadonlySet<number>> {
	const sockets = await readSockets();
	return new Set(sockets.filter(({state, remotePort}) => state !== SocketState.Listening && !targets.has(remotePort)).map(({localPort}) => localPort));
}

/** @returns Whether a process listens on the address. */
export async function canConnect(address: string): Promise<boolean> {
	const socket = createConnection({...splitAddress(address), localAddress: ANY_ADDRESS});
	try {
		await once(socket, 'connect');
		return socket.localPort !== socket.remotePort;
	} catch {
		return false;
	} finally {
		socket.destroy();
	}
}
