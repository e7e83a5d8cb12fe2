/** Two operators change the same version; one of them wins. */
import {SettingsTree} from 'redwingspool/config-tree';
import {MemoryObjectStore, MemoryTable} from 'redwingspool/memory-table';
import {VirtualClock} from 'redwingspool/virtual-clock';

const tree = SettingsTree.create({table: MemoryTable.create(), objects: MemoryObjectStore.create(), clock: VirtualClock.create()});
const change = (author: string) => ({
	team: 'tea-rooms', fromVersion: 0, author, body: JSON.stringify({author}),
});
for (const author of ['indra', 'maya']) {
	// eslint-disable-next-line no-await-in-loop -- the second change meets the first
	const result = await tree.commit(change(author));
	console.log(`${author}: ${result.match({Ok: head => `version ${head.version}`, Err: failure => failure})}`);
}
