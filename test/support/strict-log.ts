import {Writable} from 'node:stream';
import {Log, LogLevel} from '../../src/base/log.js';

/** Lines about errors that their owner has logged, and that a test must not miss. */
const failureLine = /Background work failed|A background write failed/v;

/** @returns A log that writes nothing, and ends the test process on a line about failed background work. */
export function createStrictLog(): Log {
	return Log.create(LogLevel.Error, new Writable({
		write(line: Uint8Array, _encoding, done) {
			const text = String(line);
			if (failureLine.test(text)) {
				queueMicrotask(() => {
					throw new Error(text);
				});
			}

			done();
		},
	}));
}
