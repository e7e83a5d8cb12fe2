/** The limit of an engine falls when the time between its tokens triples. */
import {ConcurrencyLimit} from 'redwingspool/limit';

const limit = ConcurrencyLimit.create(16);
let now = 0;
const run = (gapMs: number, tokens: number) => {
	for (let token = 0; token < tokens; token += 1) {
		now += gapMs;
		limit.noteGap(gapMs, true, now);
	}
};

run(20, 200);
const before = limit.value;
run(80, 100);
console.log(`limit before the slowdown ${before}, after it ${limit.value}`);
