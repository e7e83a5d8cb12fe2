/**
 * In-memory table service, object store and VM list for `redwingspool dev`, tests and randomised simulation.
 */
import Result, {ok} from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {
	type Condition, type Row, type StoreError, Table, type Write, WriteOutcome,
} from './table.js';
import {ObjectStore} from './object-store.js';
import {type VmEntry, VmList} from './vm-list.js';

function isSatisfied(condition: Condition, row: Row | undefined): boolean {
	switch (condition.kind) {
		case 'any': {
			return true;
		}

		case 'absent': {
			return row === undefined;
		}

		case 'version': {
			return row?.version === condition.version;
		}

		case 'token': {
			return row?.token === condition.token;
		}
	}
}

/** In-memory table. Calls never fail, and rows are lost when the process exits. */
export class MemoryTable extends Table {
	static create(): MemoryTable {
		return new MemoryTable();
	}

	readonly #rows = new Map<string, Row>();

	private constructor() {
		super();
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		return ok(this.#rows.get(key));
	}

	async list(prefix: string, limit: number, after = ''): Promise<Result<readonly Row[], StoreError>> {
		const rows = [...this.#rows.values()].filter(row => row.key.startsWith(prefix) && row.key > after);
		rows.sort((a, b) => a.key < b.key ? -1 : 1);
		return ok(rows.slice(0, limit));
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		if (!writes.every(write => isSatisfied(write.condition, this.#rows.get(write.key)))) {
			return ok(WriteOutcome.ConditionFailed);
		}

		for (const write of writes) {
			this.#apply(write);
		}

		return ok(WriteOutcome.Written);
	}

	#apply(write: Write): void {
		if (write.value === undefined) {
			this.#rows.delete(write.key);
			return;
		}

		const version = (this.#rows.get(write.key)?.version ?? 0) + 1;
		this.#rows.set(write.key, {
			key: write.key, value: write.value, version, token: write.token,
		});
	}
}

/** In-memory object store. Calls never fail, and objects are lost when the process exits. */
export class MemoryObjectStore extends ObjectStore {
	static create(): MemoryObjectStore {
		return new MemoryObjectStore();
	}

	readonly #objects = new Map<string, Uint8Array>();

	private constructor() {
		super();
	}

	async get(key: string): Promise<Result<Uint8Array | undefined, StoreError>> {
		return ok(this.#objects.get(key));
	}

	async put(key: string, bytes: Uint8Array): Promise<Result<Unit, StoreError>> {
		this.#objects.set(key, bytes);
		return Result.ok();
	}
}

/** In-memory VM list, set by its owner. */
export class MemoryVmList extends VmList {
	static create(entries: readonly VmEntry[] = []): MemoryVmList {
		return new MemoryVmList(entries);
	}

	#entries: readonly VmEntry[];

	private constructor(entries: readonly VmEntry[]) {
		super();
		this.#entries = entries;
	}

	/** Replaces the list. */
	set(entries: readonly VmEntry[]): void {
		this.#entries = entries;
	}

	async list(): Promise<Result<readonly VmEntry[], StoreError>> {
		return ok(this.#entries);
	}
}
