/**
 * Retry-After of refused requests.
 */
import {ErrorKind} from '../base/errors.js';

/** Shortest Retry-After, in ms; a short queue can clear within this time. */
export const MIN_RETRY_AFTER_MS = 100;
/** Retry-After is multiplied by a random factor in this range, so that refused callers do not retry at the same time. */
export const RETRY_JITTER = {min: 0.75, max: 1.2} as const;
/** Refusals for want of room, after which callers are invited to return when there is some. */
export const invitingKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.Overloaded, ErrorKind.DeadlineUnreachable]);
