/**
 * Claims kept in the platform's table service.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type Table, WriteOutcome} from '../store/table.js';
import {
	type Claim, type ClaimDecision, type ClaimRequest, Claims, type RecordedAnswer,
} from './claims.js';

const claimValueSchema = z.object({
	state: z.enum(['claimed', 'done']),
	holder: z.string(),
	digest: z.string(),
	answer: z.object({
		status: z.number(),
		contentType: z.string().optional(),
		/** Base64. */
		body: z.string(),
	}).optional(),
});

type ClaimValue = z.infer<typeof claimValueSchema>;

/** Claims by conditional writes. */
export class TableClaims extends Claims {
	/**
	 * @param table - The platform's table service.
	 * @param holder - Identity of this process, never used again by another.
	 */
	static create(table: Table, holder: string): TableClaims {
		return new TableClaims(table, holder);
	}

	readonly #table: Table;
	readonly #holder: string;

	private constructor(table: Table, holder: string) {
		super();
		this.#table = table;
		this.#holder = holder;
	}

	async acquire(request: ClaimRequest): Promise<ClaimDecision> {
		const rowKey = `claim/${request.customer}/${request.pool}/${request.key}`;
		const token = randomUUID();
		const value: ClaimValue = {state: 'claimed', holder: this.#holder, digest: request.digest};
		const written = await this.#table.write({
			key: rowKey, value: JSON.stringify(value), condition: {kind: 'absent'}, token,
		});
		if (written.isErr) {
			return refuse(request.isFirstAttempt ? ErrorKind.StoreUnavailable : ErrorKind.EarlierAttemptUnknown);
		}

		if (written.value === WriteOutcome.Written) {
			return {
				kind: 'granted', claim: {
					rowKey, token, request,
				},
			};
		}

		return this.#decideRepeat(rowKey, request);
	}

	noteCommitted(): void {
		// The row says `claimed` until it is completed.
	}

	async release(claim: Claim): Promise<void> {
		await this.#table.write({
			key: claim.rowKey, value: undefined, condition: {kind: 'token', token: claim.token}, token: randomUUID(),
		});
	}

	async complete(claim: Claim, answer: RecordedAnswer | undefined): Promise<void> {
		const value: ClaimValue = {
			state: 'done',
			holder: this.#holder,
			digest: claim.request.digest,
			...(answer && {
				answer: {status: answer.status, contentType: answer.contentType, body: Buffer.from(answer.body).toString('base64')},
			}),
		};
		await this.#table.write({
			key: claim.rowKey, value: JSON.stringify(value), condition: {kind: 'token', token: claim.token}, token: randomUUID(),
		});
	}

	async #decideRepeat(rowKey: string, request: ClaimRequest): Promise<ClaimDecision> {
		const read = await this.#table.get(rowKey);
		if (read.isErr || read.value === undefined) {
			return refuse(ErrorKind.EarlierAttemptUnknown);
		}

		const value = claimValueSchema.parse(JSON.parse(read.value.value));
		if (value.digest !== request.digest) {
			return refuse(ErrorKind.KeyConflict);
		}

		if (value.answer !== undefined) {
			const {status, contentType, body} = value.answer;
			return {kind: 'replay', answer: {status, contentType, body: Buffer.from(body, 'base64')}};
		}

		if (value.state === 'done') {
			return refuse(ErrorKind.AlreadyDispatched);
		}

		return refuse(value.holder === this.#holder ? ErrorKind.InProgress : ErrorKind.OutcomeUnknown);
	}
}

function refuse(kind: ErrorKind): ClaimDecision {
	return {kind: 'refused', err: SchedulerError.create(kind)};
}
