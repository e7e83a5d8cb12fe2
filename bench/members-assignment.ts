/**
 * Movement and balance of the assignment against a table of past changes (removed slots are handed to the slots that
 * remained, in the order of the removals).
 */
import process from 'node:process';
import {Assignment, NODES_PER_UPSTREAM} from '../src/members/assignment.js';
import {hashText, mixHashes} from '../src/members/hash.js';
import {MemberStatus, type MemberView} from '../src/members/member.js';

const NODES = 360;
const CHANGES = 60;
/** `leaves` removes a node at each change, so that the number of nodes passes many values. */
const isLeaves = process.argv.includes('leaves');
/** Each of 9 teams has a service on 3 upstreams; the other upstreams are in one pool a team. */
const SMALL_POOLS = 9;
const SMALL_POOL_SIZE = 3;
const upstreams = Array.from({length: 790}, (_, index) => ({
	id: `team-${index % 9}/engine-${index}`,
	pool: index < SMALL_POOLS * SMALL_POOL_SIZE ? `team-${index % 9}/bookings` : `team-${index % 9}/chat`,
	region: index % 2 === 0 ? 'north' : 'south',
	dataCentre: `dc-${index % 5}`,
}));

/** Consistent slots with a table of removals; all nodes must know the same removals in the same order. */
class ChangeTable {
	readonly #slots: string[];
	readonly #removed = new Map<number, number>();

	constructor(ids: readonly string[]) {
		this.#slots = [...ids];
	}

	get tableSize(): number {
		return this.#removed.size;
	}

	remove(id: string): void {
		this.#removed.set(this.#slots.indexOf(id), this.#slots.length - this.#removed.size - 1);
	}

	/** The first free removed slot takes a new node, else a slot is added. */
	add(id: string): void {
		const last = [...this.#removed.keys()].at(-1);
		if (last === undefined) {
			this.#slots.push(id);
		} else {
			this.#removed.delete(last);
			this.#slots[last] = id;
		}
	}

	nodesOf(upstream: string): string[] {
		const chosen = new Set<string>();
		for (let replica = 0; chosen.size < NODES_PER_UPSTREAM; replica += 1) {
			let hash = mixHashes(hashText(upstream), replica);
			let slot = hash % this.#slots.length;
			while (this.#removed.has(slot)) {
				hash = mixHashes(hash, slot + 1);
				slot = hash % this.#slots.length;
			}

			chosen.add(this.#slots[slot]!);
		}

		return [...chosen];
	}
}

function member(id: string, region: string): MemberView {
	return {
		id, process: id, address: id, entryAddress: id, region, dataCentre: region, incarnation: 1, status: MemberStatus.Alive, load: 0,
	};
}

let members: readonly MemberView[] = [];

function pairsOf(nodesOf: (id: string) => readonly string[]): Set<string> {
	return new Set(upstreams.flatMap(({id}) => nodesOf(id).map(node => `${id} ${node}`)));
}

function balance(pairs: Set<string>): {least: number; most: number} {
	const counts = new Map<string, number>();
	for (const pair of pairs) {
		const node = pair.split(' ')[1]!;
		counts.set(node, (counts.get(node) ?? 0) + 1);
	}

	return {least: counts.size < members.length ? 0 : Math.min(...counts.values()), most: Math.max(...counts.values())};
}

function moved(before: Set<string>, after: Set<string>): number {
	return [...after].filter(pair => !before.has(pair)).length;
}

members = Array.from({length: NODES}, (_, index) => member(`vm-${index}`, index % 2 === 0 ? 'north' : 'south'));
const table = new ChangeTable(members.map(({id}) => id));
const startedAt = performance.now();
const rendezvous = () => {
	const assignment = Assignment.create(members, upstreams);
	return pairsOf(id => assignment.nodesOf(id).map(node => node.id));
};

let byRendezvous = rendezvous();
console.log(JSON.stringify({assignmentMs: Number((performance.now() - startedAt).toFixed(1))}));
let byTable = pairsOf(id => table.nodesOf(id));
const movements = {rendezvous: 0, table: 0};
let most = 0;
for (let change = 0; change < CHANGES; change += 1) {
	const index = isLeaves ? change : Math.floor(change / 2);
	if (isLeaves || change % 2 === 0) {
		members = members.filter(({id}) => id !== `vm-${index * 7}`);
		table.remove(`vm-${index * 7}`);
	} else {
		members = [...members, member(`new-${index}`, (index * 7) % 2 === 0 ? 'north' : 'south')];
		table.add(`new-${index}`);
	}

	const [nextRendezvous, nextTable] = [rendezvous(), pairsOf(id => table.nodesOf(id))];
	const byThis = moved(byRendezvous, nextRendezvous);
	movements.rendezvous += byThis;
	most = Math.max(most, byThis);
	movements.table += moved(byTable, nextTable);
	[byRendezvous, byTable] = [nextRendezvous, nextTable];
}

const last = Assignment.create(members, upstreams);
const sizes = upstreams.map(({id}) => last.nodesOf(id).length).toSorted((a, b) => a - b);
console.log(JSON.stringify({
	nodesOfAnUpstream: {least: sizes[0], median: sizes[Math.floor(sizes.length / 2)], most: sizes.at(-1)},
	changes: CHANGES,
	pairs: byRendezvous.size,
	rendezvous: {movedPerChange: movements.rendezvous / CHANGES, mostMoved: most, ...balance(byRendezvous)},
	table: {movedPerChange: movements.table / CHANGES, ...balance(byTable), tableSize: table.tableSize},
}));
