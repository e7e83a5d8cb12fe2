/** The concurrency limit of an engine falls when the time between its tokens rises from 20 to 80 ms. */
import {ConcurrencyLimit} from 'redwingspool/limit';

const limit = ConcurrencyLimit.create(16);
let now = 0;
const simulateTokens = (gapMs: number, tokens: number) => {
	for (let token = 0; token < tokens; token += 1) {
		now += gapMs;
		limit.noteGap(gapMs, true, now);
	}
};

simulateTokens(20, 200);
const before = limit.value;
simulateTokens(80, 100);
console.log(`limit before the slowdown ${before}, after it ${limit.value}`);
