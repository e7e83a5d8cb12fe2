import {expect} from 'chai';
import {isStoreObserver} from '../../src/link/store-observers.js';
import {type Member} from '../../src/link/messages.js';

const members: Member[] = Array.from({length: 82}, (_, index) => ({
	name: `vm-${index}`, frontAddress: 'vm:80', linkAddress: 'vm:81', dataCentre: 'a', region: 'r', strength: 1, boot: `${index}`, isReady: true,
}));

describe('VMs that try the store in place of their leader', () => {
	// Guards against thousands of calls in an outage: all VMs of a large deployment would try at the same time.
	it('are a few at a time, and others after a while until each has tried', () => {
		const tried = new Set<string>();
		for (let elapsedMs = 0; elapsedMs < 22_000; elapsedMs += 2000) {
			const now = members.filter(({name}) => isStoreObserver(name, members, elapsedMs)).map(({name}) => name);
			expect(now.length).to.equal(8);
			for (const name of now) {
				tried.add(name);
			}
		}

		expect(tried.size).to.equal(82);
	});

	it('are all VMs of a small deployment, and a VM that is in no list', () => {
		const few = members.slice(0, 8);
		expect(few.every(({name}) => isStoreObserver(name, few, 5000))).to.equal(true);
		expect(isStoreObserver('unknown', members, 5000)).to.equal(true);
	});
});
