/**
 * Compares rendezvous assignment with a change table in the number of moved pairs and in balance. The change table records
 * removals in order and remaps removed slots to the remaining ones.
 */
import process from 'node:process';
import {Assignment, NODES_PER_UPSTREAM} from '../src/members/assignment.js';
import {hashText, mixHashes} from '../src/members/hash.js';
import {MemberStatus, type MemberView} from '../src/members/member.js';

const NODES = 360;
const CHANGES = 60;
/** With `leaves`, each change removes a node, so that many numbers of nodes are covered. */
const isRemovalOnly = process.argv.includes('leaves');
/** Each of 9 teams has a service on 3 upstreams; its other upstreams are in a single pool. */
const SMALL_POOLS = 9;
const SMALL_POOL_SIZE = 3;
const upstreams = Array.from({length: 790}, (_, index) => ({
	id: `team-${index % 9}/engine-${index}`,
	pool: index < SMALL_POOLS * SMALL_POOL_SIZE ? `team-${index % 9}/bookings` : `team-${index % 9}/chat`,
	region: index % 2 === 0 ? 'north' : 'south',
	dataCentre: `dc-${index % 5}`,
}));

/** Hash slots with a table of removals; all nodes must know the same removals in the same order. */
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

	/** Adds a node in the slot that was removed last, or in a new slot if none is removed. */
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

function createMember(id: string, region: string): MemberView {
	return {
		id, process: id, address: id, entryAddress: id, region, dataCentre: region, incarnation: 1, status: MemberStatus.Alive, load: 0,
	};
}

let members: readonly MemberView[] = [];

function collectPairs(nodesOf: (id: string) => readonly string[]): Set<string> {
	return new Set(upstreams.flatMap(({id}) => nodesOf(id).map(node => `${id} ${node}`)));
}

function measureBalance(pairs: Set<string>): {least: number; most: number} {
	const counts = new Map<string, number>();
	for (const pair of pairs) {
		const node = pair.split(' ')[1]!;
		counts.set(node, (counts.get(node) ?? 0) + 1);
	}

	return {least: counts.size < members.length ? 0 : Math.min(...counts.values()), most: Math.max(...counts.values())};
}

function countMoved(before: Set<string>, after: Set<string>): number {
	return [...after].filter(pair => !before.has(pair)).length;
}

members = Array.from({length: NODES}, (_, index) => createMember(`vm-${index}`, index % 2 === 0 ? 'north' : 'south'));
const table = new ChangeTable(members.map(({id}) => id));
const startedAt = performance.now();
const assignByRendezvous = () => {
	const assignment = Assignment.create(members, upstreams);
	return collectPairs(id => assignment.nodesOf(id).map(node => node.id));
};

let rendezvousPairs = assignByRendezvous();
console.log(JSON.stringify({assignmentMs: Number((performance.now() - startedAt).toFixed(1))}));
let tablePairs = collectPairs(id => table.nodesOf(id));
const movedTotals = {rendezvous: 0, table: 0};
let maxMovedPairs = 0;
for (let change = 0; change < CHANGES; change += 1) {
	const index = isRemovalOnly ? change : Math.floor(change / 2);
	if (isRemovalOnly || change % 2 === 0) {
		members = members.filter(({id}) => id !== `vm-${index * 7}`);
		table.remove(`vm-${index * 7}`);
	} else {
		members = [...members, createMember(`new-${index}`, (index * 7) % 2 === 0 ? 'north' : 'south')];
		table.add(`new-${index}`);
	}

	const [nextRendezvous, nextTable] = [assignByRendezvous(), collectPairs(id => table.nodesOf(id))];
	const movedPairs = countMoved(rendezvousPairs, nextRendezvous);
	movedTotals.rendezvous += movedPairs;
	maxMovedPairs = Math.max(maxMovedPairs, movedPairs);
	movedTotals.table += countMoved(tablePairs, nextTable);
	[rendezvousPairs, tablePairs] = [nextRendezvous, nextTable];
}

const finalAssignment = Assignment.create(members, upstreams);
const nodeCounts = upstreams.map(({id}) => finalAssignment.nodesOf(id).length).toSorted((a, b) => a - b);
console.log(JSON.stringify({
	nodesOfAnUpstream: {least: nodeCounts[0], median: nodeCounts[Math.floor(nodeCounts.length / 2)], most: nodeCounts.at(-1)},
	changes: CHANGES,
	pairs: rendezvousPairs.size,
	rendezvous: {movedPerChange: movedTotals.rendezvous / CHANGES, mostMoved: maxMovedPairs, ...measureBalance(rendezvousPairs)},
	table: {movedPerChange: movedTotals.table / CHANGES, ...measureBalance(tablePairs), tableSize: table.tableSize},
}));
