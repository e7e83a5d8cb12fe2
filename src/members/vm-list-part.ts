/**
 * Reads the platform's lagging VM list: addresses of entry VMs as gossip seeds, and upstream VMs that are leaving.
 */
import {type Clock} from '../base/clock.js';
import {type Log, LogPrefix} from '../base/log.js';
import {type VmEntry, type VmList, VmState} from '../store/vm-list.js';
import {IntervalPart} from '../supervisor/interval-part.js';

const POLL_INTERVAL_MS = 1000;

/** What the part is made of. */
export type VmListPartOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly vmList: VmList;
	/** Called with the peer addresses of all entry VMs in the list. */
	readonly onSeeds: (addresses: readonly string[]) => void;
	/** Called with each upstream VM that the list shows as leaving, at every poll. */
	readonly onLeavingUpstream: (vm: VmEntry) => void;
};

/** The part that polls the list. While the list does not answer, what was known stays. */
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
		this.#noteAnswer(listed.isOk);
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

	#noteAnswer(isAnswering: boolean): void {
		if (isAnswering !== this.#isAnswering) {
			this.#isAnswering = isAnswering;
			this.#log.warn(isAnswering ? 'The VM list answers again.' : 'The VM list does not answer.');
		}
	}
}
