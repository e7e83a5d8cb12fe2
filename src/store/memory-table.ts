/**
 * Table service, object store and VM list in memory, for `redwingspool dev`, tests and randomised runs.
 */
import Result, {ok} from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {
	type Condition, type Row, type StoreError, Table, type Write, WriteOutcome,
} from './table.js';
import {ObjectStore} from './object-store.js';
import {type VmEntry, VmList} from './vm-list.js';

function holds(condition: Condition, row: Row | undefined): boolean {
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

/** A table that never fails and loses everything with the process. */
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
		if (!writes.every(write => holds(write.condition, this.#rows.get(write.key)))) {
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

/** An object store that never fails and loses everything with the process. */
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

/** A VM list that its owner sets. */
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
