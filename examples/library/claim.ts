/** Idempotency: a booking runs once, and a retry that reaches another process receives the recorded response. */
import {Buffer} from 'node:buffer';
import {TableClaims} from 'redwingspool/claim';
import {MemoryTable} from 'redwingspool/memory-table';

const table = MemoryTable.create();
const request = {
	pool: 'tea-rooms/booking', customer: 'tea-rooms/guest', key: 'hold-17', digest: 'c0ffee', isFirstAttempt: false, keepsAnswer: true,
};
const claims = TableClaims.create(table, 'process-a');
const decision = await claims.acquire(request);
if (decision.kind === 'granted' && claims.noteCommitted(decision.claim)) {
	// Send the request to the upstream here.
	await claims.complete(decision.claim, {status: 201, contentType: 'text/plain', body: Buffer.from('table 4')});
}

const repeat = await TableClaims.create(table, 'process-b').acquire(request);
console.log(repeat.kind === 'replay' ? `replay: ${Buffer.from(repeat.answer.body).toString()}` : repeat.kind);
