/**
 * Resident memory and open descriptors of the VM processes, as the platform counts them.
 */
import {readdir, readFile} from 'node:fs/promises';
import {clearInterval, setInterval} from 'node:timers';
import {type VmProcess} from './vm-process.js';
import {MAX_DESCRIPTORS, MEMORY_LIMIT_MB} from './vm-settings.js';

/** Time between two readings, in ms. */
const READING_INTERVAL_MS = 200;
const KB_PER_MB = 1024;

/** Reads the resources that processes use. */
export class ResourceGauge {
	/** @param onExcess - Called once for each process and limit. */
	static start(vms: readonly VmProcess[], onExcess: (detail: string) => void): ResourceGauge {
		return new ResourceGauge(vms, onExcess);
	}

	/** Highest values that were read. */
	readonly peak = {memoryMb: 0, descriptors: 0};
	readonly #vms: readonly VmProcess[];
	readonly #onExcess: (detail: string) => void;
	readonly #reported = new Set<string>();
	readonly #timer: NodeJS.Timeout;

	private constructor(vms: readonly VmProcess[], onExcess: (detail: string) => void) {
		this.#vms = vms;
		this.#onExcess = onExcess;
		this.#timer = setInterval(() => {
			void this.#readAll();
		}, READING_INTERVAL_MS).unref();
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	async #readAll(): Promise<void> {
		await Promise.all(this.#vms.map(async vm => {
			const pid = vm.child?.pid;
			if (pid === undefined) {
				return;
			}

			const [memoryMb, descriptors] = await Promise.all([readResidentMb(pid), countDescriptors(pid)]);
			// The memory of a program that is compiled while it loads is not that of the deployed one.
			if (vm.program.isDeployed) {
				this.#note('memoryMb', memoryMb, MEMORY_LIMIT_MB, `${vm.name} (${pid})`);
			}

			this.#note('descriptors', descriptors, MAX_DESCRIPTORS, `${vm.name} (${pid})`);
		}));
	}

	#note(resource: keyof ResourceGauge['peak'], value: number, limit: number, process: string): void {
		this.peak[resource] = Math.max(this.peak[resource], value);
		const key = `${process} ${resource}`;
		if (value > limit && !this.#reported.has(key)) {
			this.#reported.add(key);
			this.#onExcess(`${process}: ${resource} ${value}, ${limit} allowed`);
		}
	}
}

/** @returns 0 if the process has ended. */
async function readResidentMb(pid: number): Promise<number> {
	try {
		const [, kilobytes] = /^VmRSS:\s+(\d+) kB$/mv.exec(await readFile(`/proc/${pid}/status`, 'utf8')) ?? [];
		return Math.round(Number(kilobytes ?? 0) / KB_PER_MB);
	} catch {
		return 0;
	}
}

/** @returns 0 if the process has ended. */
async function countDescriptors(pid: number): Promise<number> {
	try {
		const entries = await readdir(`/proc/${pid}/fd`);
		return entries.length;
	} catch {
		return 0;
	}
}
