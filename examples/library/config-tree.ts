/** Optimistic concurrency: two operators change the same version, and the second change is rejected as a conflict. */
import {SettingsTree} from 'redwingspool/config-tree';
import {MemoryObjectStore, MemoryTable} from 'redwingspool/memory-table';
import {VirtualClock} from 'redwingspool/virtual-clock';

const tree = SettingsTree.create({table: MemoryTable.create(), objects: MemoryObjectStore.create(), clock: VirtualClock.create()});
const createChange = (author: string) => ({
	team: 'tea-rooms', fromVersion: 0, author, body: JSON.stringify({author}),
});
for (const author of ['indra', 'maya']) {
	// eslint-disable-next-line no-await-in-loop -- the second commit must follow the first
	const result = await tree.commit(createChange(author));
	console.log(`${author}: ${result.match({Ok: head => `version ${head.version}`, Err: failure => failure})}`);
}
