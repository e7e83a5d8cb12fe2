/**
 * Faults of a `ProcessRun` that a process meets while it starts: addresses and ports that are taken, an incomplete settings
 * file, and a build that replaces the program.
 */
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import {
	type AddressInfo, createConnection, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress} from '../src/base/address.js';
import {type AddressName, addressNames} from '../test/support/address-layout.js';
import {canConnect, findOutgoingPorts, SocketState} from '../test/support/port-table.js';
import {type ProcessRun} from './process-run.js';
import {type VmProcess} from './vm-process.js';
import {moveVm} from './vm-settings.js';

/** How long an address is taken, in ms. */
const TAKEN_MS = {min: 1000, max: 25_000} as const;
/** Time within which a process that is not disturbed must listen on addresses that are free, in ms: the platform starts traffic after it. */
const LISTEN_TIMEOUT_MS = 12_000;
const POLL_INTERVAL_MS = 100;
/** How long a settings file is incomplete, in ms. */
const INCOMPLETE_MS = {min: 50, max: 2000} as const;
/** Time between two restarts beside a build, in ms. */
const RESTART_INTERVAL_MS = {min: 20, max: 120} as const;
const VMS_BESIDE_BUILD = 2;
const LOCALHOST = '127.0.0.1';

/** Faults at the start of a process. */
export const startFaults = {
	/** Another process listens on an address of a VM that restarts. */
	async heldAddress(run: ProcessRun) {
		await run.withReservedVm(async vm => {
			const name = run.random.pick(addressNames);
			const takenMs = run.random.integer(TAKEN_MS.min, TAKEN_MS.max);
			const ends = [name === 'front' ? vm.disturbed.begin() : vm.restarting.begin(), ...(name === 'control' ? [run.deployment.beginDisturbance()] : [])];
			await vm.terminate('SIGKILL');
			const holder = await occupy(vm.addresses[name]);
			run.note(`${vm.name} ${name} ${holder === undefined ? 'not taken' : `taken for ${takenMs} ms`}`);
			vm.start();
			await sleep(holder === undefined ? 0 : takenMs);
			holder?.close();
			await checkListening(run, vm, name);
			for (const end of ends) {
				end();
			}
		});
	},
	/** The port of a VM that restarts is that of a connection of another VM, which is open or was closed. */
	async portOfVm(run: ProcessRun) {
		if (!run.sharesAddress) {
			await startFaults.heldAddress(run);
			return;
		}

		await run.withReservedVm(async vm => {
			const name = run.random.pick(addressNames);
			await vm.terminate('SIGKILL');
			const state = run.random.pick([SocketState.Established, SocketState.TimeWait]);
			const ports = await findOutgoingPorts(state, run.deployment.connectionTargets);
			if (ports.length > 0) {
				const port = run.random.pick(ports);
				run.note(`${vm.name} ${name} moves to port ${port} of a connection, state ${state}`);
				moveVm(vm, {[name]: `${LOCALHOST}:${port}`});
			}

			vm.start();
			await checkListening(run, vm, name);
		});
	},
	/** The port of a VM that restarts is that of a connection of a process that is none of ours. */
	async portOfStranger(run: ProcessRun) {
		if (!run.sharesAddress) {
			await startFaults.heldAddress(run);
			return;
		}

		await run.withReservedVm(async vm => {
			const name = run.random.pick(addressNames);
			const takenMs = run.random.integer(TAKEN_MS.min, TAKEN_MS.max);
			const isOpen = run.random.next() < 0.5;
			const before = vm.addresses[name];
			const ends = [vm.disturbed.begin(), run.deployment.beginDisturbance()];
			await vm.terminate('SIGKILL');
			const {port, socket, close} = await connectFromAnyPort();
			moveVm(vm, {[name]: `${LOCALHOST}:${port}`});
			run.note(`${vm.name} ${name} moves to port ${port} of another connection, ${isOpen ? 'open' : 'closed'}, for ${takenMs} ms`);
			if (!isOpen) {
				socket.end();
			}

			vm.start();
			await sleep(takenMs);
			close();
			if (!isOpen) {
				// The port stays in TIME_WAIT for a minute.
				await vm.terminate('SIGKILL');
				moveVm(vm, {[name]: before});
				vm.start();
			}

			await checkListening(run, vm, name);
			for (const end of ends) {
				end();
			}
		});
	},
	/** The settings file is completed after the process has started. */
	async incompleteSettings(run: ProcessRun) {
		await run.withReservedVm(async vm => {
			await vm.terminate('SIGKILL');
			const text = readFileSync(vm.settingsPath, 'utf8');
			writeFileSync(vm.settingsPath, text.slice(0, run.random.integer(0, text.length - 1)));
			vm.start();
			await sleep(run.random.integer(INCOMPLETE_MS.min, INCOMPLETE_MS.max));
			writeFileSync(vm.settingsPath, text);
			await checkListening(run, vm, 'front');
		});
	},
	/** The program is built anew while processes start. */
	async build(run: ProcessRun) {
		const vms = run.random.sample(run.deployment.vms, VMS_BESIDE_BUILD);
		const built = new AbortController();
		const building = (async () => {
			try {
				await run.program.rebuild();
			} finally {
				built.abort();
			}
		})();
		while (!built.signal.aborted) {
			const vm = run.random.pick(vms);
			/* eslint-disable no-await-in-loop -- restarts in series */
			await vm.terminate('SIGKILL');
			vm.start();
			await sleep(run.random.integer(RESTART_INTERVAL_MS.min, RESTART_INTERVAL_MS.max));
			/* eslint-enable no-await-in-loop */
		}

		await building;
	},
} as const satisfies Record<string, (run: ProcessRun) => Promise<void>>;

/** @returns `undefined` if the address is in use. */
async function occupy(address: string): Promise<Server | undefined> {
	const server = createServer(socket => {
		socket.on('error', ignore);
		socket.destroy();
	});
	try {
		server.listen(splitAddress(address));
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
}

/** Opens a connection whose local port the system chooses. */
async function connectFromAnyPort(): Promise<{readonly port: number; readonly socket: Socket; readonly close: () => void}> {
	const server = createServer(socket => {
		socket.on('error', ignore);
		socket.resume();
	});
	server.listen(0, LOCALHOST);
	await once(server, 'listening');
	const socket = createConnection({host: LOCALHOST, port: (server.address() as AddressInfo).port});
	socket.on('error', ignore);
	await once(socket, 'connect');
	return {
		port: socket.localPort!, socket, close() {
			socket.resetAndDestroy();
			server.close();
		},
	};
}

/** Checks that a process listens in time, counted from its last start or disturbance. */
async function checkListening(run: ProcessRun, vm: VmProcess, name: AddressName): Promise<void> {
	let {child} = vm;
	let since = performance.now();
	while (performance.now() - since < LISTEN_TIMEOUT_MS) {
		if (vm.child !== child || !vm.isRunning || vm.isPaused) {
			({child} = vm);
			since = performance.now();
		}

		/* eslint-disable no-await-in-loop -- one attempt after the other */
		if (vm.isRunning && await canConnect(vm.addresses[name])) {
			run.deployment.countCheck();
			return;
		}

		await sleep(POLL_INTERVAL_MS);
		/* eslint-enable no-await-in-loop */
	}

	run.deployment.addViolation(`${vm.name} does not listen on its ${name} address ${vm.addresses[name]} after ${LISTEN_TIMEOUT_MS} ms: ${vm.log.slice(-3).join(' | ')}`);
}

function ignore(): void {
	// The connection is closed anyway.
}
