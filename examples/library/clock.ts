/** Sleeps on the system clock. */
import {SystemClock} from 'redwingspool/clock';

const clock = SystemClock.create();
const start = clock.now();
await clock.sleep(5);
console.log(clock.now() > start ? 'time passed' : 'time did not advance');
