/**
 * Checks messages of other VMs where they are read: what passes can be used without further checks. Fields that a schema
 * does not name are dropped, and messages of kinds that this program does not know are ignored.
 */
import Result, {ok} from 'true-myth/result';
import * as z from 'zod/mini';
import {isConnectable} from '../base/address.js';
import {ErrorKind} from '../base/errors.js';
import {isHeaderValue} from '../base/header-text.js';
import {describeIssues} from '../base/parse-json.js';
import {Ending} from '../gateway/exchange-ending.js';
import {Operation} from '../gateway/routing-table.js';
import {RolloutPhase} from '../rollout/rollout-course.js';
import {
	type FromLeader, type FromPeer, type ToLeader, type ToPeer,
} from './messages.js';

/** Longest time limit of callers' connections, in ms; sockets throw at times that timers cannot count. */
const MAX_CONNECTION_TIMEOUT_MS = 2_000_000_000;

/** @returns The message; `undefined` if it is of an unknown kind; or why it is not usable. */
export type MessageDecoder<Message> = (value: unknown) => Result<Message | undefined, string>;

const amount = z.number().check(z.nonnegative());
const count = z.int().check(z.nonnegative());
const address = z.string().check(z.refine(text => isConnectable(text), 'expected IP:PORT'));
const headerText = z.string().check(z.refine(text => isHeaderValue(text), 'not usable as the value of a header'));
const texts = z.array(z.string());
const connectionTimeout = amount.check(z.maximum(MAX_CONNECTION_TIMEOUT_MS));

const member = z.object({
	name: z.string(),
	frontAddress: address,
	linkAddress: address,
	operatorAddress: z.optional(address),
	dataCentre: z.string(),
	region: z.string(),
	strength: z.number(),
	boot: z.string(),
	isReady: z.boolean(),
});
const leader = z.object({
	name: z.string(),
	linkAddress: address,
	boot: z.string(),
	term: z.object({era: count, version: count}),
	vmCount: z.int().check(z.positive()),
});
const placeRequest = z.object({
	id: z.string(),
	requestId: z.string(),
	pool: z.string(),
	route: z.optional(z.string()),
	customer: z.optional(z.string()),
	rank: z.number(),
	operation: z.enum(Operation),
	promptTokens: amount,
	outputEvents: amount,
	maxOutputTokens: z.optional(amount),
	quotaCost: amount,
	isCharged: z.boolean(),
	isCounted: z.boolean(),
	isContinuation: z._default(z.boolean(), false),
	objectiveMs: z.number(),
	remainingMs: z.number(),
	patienceMs: z.number(),
	callerLeavesMs: z.number(),
	maxPauseMs: amount,
	dataCentre: z.string(),
	region: z.string(),
	attempt: count,
	excluded: texts,
	fingerprint: z.string(),
	features: texts,
});
const statedPace = z.object({factor: z.number().check(z.positive()), ageMs: amount});
const placeReport = z.object({
	ending: z.enum(Ending), firstMs: z.optional(z.number()), streamMs: z.number(), events: amount, load: z.optional(amount), pace: z.optional(statedPace),
});
const upstream = z.object({
	id: headerText,
	pool: z.string(),
	address,
	dataCentre: z.string(),
	region: z.string(),
	slots: z.int().check(z.positive()),
	isLeaving: z.boolean(),
	startedAt: z.int(),
	version: z.optional(z.string()),
});
const departures = z.array(z.object({id: z.string(), startedAt: z.int(), era: count}));
const limits = z.array(z.object({
	id: z.string(), startedAt: z.int(), perSecond: z.optional(amount), ageMs: z.number(),
}));
const suspicions = z.array(z.object({
	feature: z.string(),
	crashes: texts,
	agesMs: z.optional(z.array(z.number())),
	pool: z.optional(z.string()),
	companions: z.optional(texts),
	seenBy: z.optional(texts),
	isCleared: z.boolean(),
	quarantinedMs: z.number(),
	remainingMs: z.number(),
}));
const rollouts = z.array(z.object({
	pool: z.string(),
	known: texts,
	record: z.optional(z.object({
		pool: z.string(),
		orderedAt: z.object({era: count, version: count}),
		to: z.string(),
		periodMs: amount,
		phase: z.enum(RolloutPhase),
		reason: z.string(),
		base: texts,
		rejected: texts,
		ageMs: amount,
	})),
}));
const configuration = z.object({
	version: count,
	routes: z.array(z.object({
		name: z.string(),
		host: z.string(),
		prefix: z.string(),
		operation: z.enum(Operation),
		timeoutMs: amount,
		objectiveMs: amount,
		rank: z.number(),
		targets: z.array(z.object({pool: z.string(), weight: amount})),
		maxAttempts: amount,
		isPublic: z.boolean(),
		isResumable: z.boolean(),
		maxPauseMs: z.optional(amount),
	})),
	customers: z.array(z.object({
		name: headerText,
		apiKeys: texts,
		rank: z.optional(z.number()),
		quota: z.optional(z.object({
			perSecond: amount, burst: amount, isInTokens: z.boolean(), plainTokens: amount,
		})),
	})),
	pools: z.array(z.object({
		name: z.string(),
		slots: z.optional(z.number()),
		maxConnections: amount,
		isEngine: z.boolean(),
		tokensPerEvent: z.number().check(z.positive()),
		memoryTokens: z.optional(z.number().check(z.positive())),
	})),
	limits: z.object({
		maxHeaderBytes: amount, maxBodyBytes: amount, headerTimeoutMs: connectionTimeout, idleTimeoutMs: connectionTimeout,
	}),
	hasCustomers: z.boolean(),
});

type Schemas<Message extends {readonly kind: string}> = Readonly<Record<Message['kind'], z.ZodMiniType>>;

const empty = z.object({});
const toVmSchemas: Schemas<ToLeader | ToPeer> = {
	hello: z.object({member, configurationVersion: count}),
	places: z.object({
		places: z.array(z.object({
			ask: placeRequest, upstreamId: z.string(), heldMs: z.number(), hasFirst: z.boolean(),
		})),
	}),
	member: z.object({member}),
	ask: z.object({ask: placeRequest}),
	withdraw: z.object({id: z.string()}),
	first: z.object({id: z.string(), ms: z.number(), pace: z.optional(statedPace)}),
	release: z.object({id: z.string(), report: placeReport}),
	leaving: z.object({boots: z.array(z.object({id: z.string(), startedAt: z.int()}))}),
	departed: z.object({departures}),
	limits: z.object({limits}),
	suspicions: z.object({suspicions}),
	rollouts: z.object({rollouts}),
	'rollouts-known': z.object({revision: count}),
	resigned: empty,
	'need-configuration': empty,
	configuration: z.object({configuration}),
	beat: empty,
	leading: z.object({leader}),
	probe: z.object({leaderBoot: z.string()}),
};
const fromLeaderSchemas: Schemas<FromLeader> = {
	'not-leader': z.object({leader: z.optional(leader)}),
	welcome: z.object({leader}),
	grant: z.object({id: z.string(), upstreamId: z.string(), expectedFirstMs: z.number()}),
	refuse: z.object({id: z.string(), error: z.enum(ErrorKind), retryAfterMs: amount}),
	upstreams: z.object({isWhole: z.boolean(), changed: z.array(upstream), removed: texts}),
	departed: z.object({departures}),
	limits: z.object({limits}),
	suspicions: z.object({suspicions}),
	rollouts: z.object({revision: count, rollouts}),
	members: z.object({isWhole: z.boolean(), changed: z.array(member), removed: texts}),
	renewed: z.object({leader}),
	'take-over': empty,
	version: z.object({version: count}),
	configuration: z.object({configuration}),
	'need-configuration': empty,
	paces: z.object({paces: z.array(z.readonly(z.tuple([z.string(), z.number()])))}),
	beat: z.object({reachesStore: z.boolean()}),
};
const fromPeerSchemas: Schemas<FromPeer> = {sight: z.object({hearsLeader: z.boolean()})};

function createDecoder<Message extends {readonly kind: string}>(schemas: Schemas<Message>): MessageDecoder<Message> {
	const byKind = new Map<string, z.ZodMiniType>(Object.entries(schemas));
	return value => {
		const kind = typeof value === 'object' && value !== null && 'kind' in value ? value.kind : undefined;
		if (typeof kind !== 'string') {
			return Result.err('no message');
		}

		const schema = byKind.get(kind);
		if (schema === undefined) {
			return ok(undefined);
		}

		const parsed = schema.safeParse(value);
		return parsed.success ? ok({kind, ...parsed.data as Record<string, unknown>} as unknown as Message) : Result.err(`${kind}: ${describeIssues(parsed.error.issues)}`);
	};
}

/** Decodes what a VM receives on links that other VMs open. */
export const decodeToVm: MessageDecoder<ToLeader | ToPeer> = createDecoder(toVmSchemas);
/** Decodes what a VM receives on a link that it opened to a leader. */
export const decodeFromLeader: MessageDecoder<FromLeader> = createDecoder(fromLeaderSchemas);
/** Decodes the answer to a call outside of links. */
export const decodeFromPeer: MessageDecoder<FromPeer> = createDecoder(fromPeerSchemas);
