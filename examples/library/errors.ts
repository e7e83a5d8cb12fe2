/** Derives from an error kind whether the request was executed. */
import {ErrorKind, ranOf, SchedulerError} from 'redwingspool/errors';

const err = SchedulerError.create(ErrorKind.Overloaded);
const ran = ranOf(err.kind, {isKeyed: false, holdsClaim: false, isFirstAttempt: true});
console.log(`${err.answer.status} ran=${ran} retry after ${err.retryAfterMs} ms`);
