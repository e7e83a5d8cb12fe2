/**
 * Polls the platform's VM list, which may lag, for the addresses of entry VMs (used as gossip seeds) and for upstream VMs
 * that are leaving.
 */
import {type Clock} from '../base/clock.js';
import {type Log, LogPrefix} from '../base/log.js';
import {type VmEntry, type VmList, VmState} from '../store/vm-list.js';
import {IntervalPart} from '../supervisor/interval-part.js';

const POLL_INTERVAL_MS = 1000;

/** Dependencies and callbacks of a `VmListPart`. */
export type VmListPartOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly vmList: VmList;
	/** Called with the peer addresses of all entry VMs in the list. */
	readonly onSeeds: (addresses: readonly string[]) => void;
	/** Called with each upstream VM that the list shows as leaving, at every poll. */
	readonly onLeavingUpstream: (vm: VmEntry) => void;
};

/** Polls the VM list. While the list is unavailable, the last known values stay in use. */
export class VmListPart extends IntervalPart {
	static create(options: VmListPartOptions): VmListPart {
		return new VmListPart(options);
	}

	readonly #options: VmListPartOptions;
	readonly #log: Log;
	#isAnswering = true;

	private constructor(options: VmListPartOptions) {
		super(options.clock, POLL_INTERVAL_MS);
		this.#options = options;
		this.#log = options.log.part(LogPrefix.Members);
	}

	get name(): string {
		return 'vm-list';
	}

	protected async round(): Promise<void> {
		const {vmList, onSeeds, onLeavingUpstream} = this.#options;
		const listed = await vmList.list();
		this.#logAvailabilityChange(listed.isOk);
		if (listed.isErr) {
			return;
		}

		onSeeds(listed.value.filter(vm => vm.role === 'entry').map(vm => vm.address));
		for (const vm of listed.value) {
			if (vm.role === 'upstream' && vm.state === VmState.Leaving) {
				onLeavingUpstream(vm);
			}
		}
	}

	#logAvailabilityChange(isAnswering: boolean): void {
		if (isAnswering !== this.#isAnswering) {
			this.#isAnswering = isAnswering;
			this.#log.warn(isAnswering ? 'The VM list answers again.' : 'The VM list does not answer.');
		}
	}
}
