/** A retry budget limits retries to a fraction of the requests. */
import {RetryBudget} from 'redwingspool/retry';
import {VirtualClock} from 'redwingspool/virtual-clock';

const budget = RetryBudget.create(VirtualClock.create());
let retries = 0;
for (let request = 0; request < 1000; request += 1) {
	budget.noteRequest('team/guest', 'team/advice');
	retries += budget.spend('team/guest', 'team/advice') ? 1 : 0;
}

console.log(`retries of 1000 failing requests: ${retries}`);
