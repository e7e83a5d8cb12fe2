/**
 * Schema of the settings tree. Each team owns one subtree, checked as a whole by this schema.
 */
import {z} from 'zod';
import {crossReferenceProblems} from './cross-references.js';

const KIB = 1024;
const MIB = 1024 * KIB;

const name = z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'expected lower-case letters, digits and hyphens');
const durationMs = z.int().min(1).max(3_600_000);
const keyDigests = z.array(z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 digest in hex')).max(20);
/** Text for people; has no effect. */
const description = z.string().max(500).optional();

/** A tier of importance; the order in the list is the order of importance, the first being the highest. */
const tierSchema = z.strictObject({
	name,
	/** Time in ms from arrival to the first byte of the answer, after which an answer has no value. */
	deadlineMs: durationMs,
});

/** A service of language-model engines, reached by `/v1/chat/completions`. */
const modelServiceSchema = z.strictObject({
	kind: z.literal('model'),
	description,
	models: z.array(z.string().min(1).max(200)).min(1).max(100),
	tiers: z.array(tierSchema).min(1).max(5),
	defaultTier: name,
	bodyLimitBytes: z.int().min(KIB).max(64 * MIB).default(4 * MIB),
	/** Longest time between two parts of an answer, in ms. */
	idleTimeoutMs: durationMs.default(60_000),
});

/** An operation of a plain service; the first whose method and path match a request applies to it. */
const operationSchema = z.strictObject({
	method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
	/** Path below the service; `*` stands for one segment, a last `**` for any rest. */
	path: z.string().startsWith('/').max(500),
	idempotent: z.boolean(),
	tier: name.optional(),
});

/** A plain service, reached by `/services/<name>/...`. Undeclared operations are idempotent if they are GET or HEAD. */
const plainServiceSchema = z.strictObject({
	kind: z.literal('plain'),
	description,
	operations: z.array(operationSchema).max(500).default([]),
	tiers: z.array(tierSchema).min(1).max(5),
	defaultTier: name,
	bodyLimitBytes: z.int().min(KIB).max(64 * MIB).default(MIB),
	idleTimeoutMs: durationMs.default(30_000),
});

const serviceSchema = z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema])
	.refine(service => service.tiers.some(tier => tier.name === service.defaultTier), {
		path: ['defaultTier'], error: 'expected the name of one of the tiers',
	});

/** A customer; its API keys are kept as SHA-256 digests only. */
const customerSchema = z.strictObject({
	description,
	keyDigests,
	/** Share of a contended tier in proportion to the other customers' weights. */
	weight: z.number().min(0.01).max(1000).default(1),
	/** Services that the customer may use; all of the subtree's where absent. */
	services: z.array(name).max(100).optional(),
	/** Requests per second over all of this customer's services, for each VM; unlimited where absent. */
	requestsPerSecond: z.number().min(0.1).max(100_000).optional(),
});

/** An upstream: a model server or a back end of a plain service. */
const upstreamSchema = z.strictObject({
	description,
	service: name,
	url: z.url({protocol: /^https?$/v}),
	region: name,
	dataCentre: name,
	/** Models that the upstream serves; all of the service's where absent. */
	models: z.array(z.string()).max(100).optional(),
	/** Whether it refuses an order with an old fencing number. */
	checksFencing: z.boolean().default(false),
	/** Whether it can resume a stream at an offset. */
	canResume: z.boolean().default(false),
	/** Upper bound on requests in flight, over all VMs. */
	maxConcurrency: z.int().min(1).max(10_000).default(256),
	/** Set by operators to take the upstream out of service. */
	leaving: z.boolean().default(false),
});

/** An operator of the team; the key is kept as a SHA-256 digest. */
const operatorSchema = z.strictObject({
	description,
	keyDigests,
});

/** One team's subtree. */
export const subtreeSchema = z.strictObject({
	services: z.record(name, serviceSchema).default({}),
	customers: z.record(name, customerSchema).default({}),
	upstreams: z.record(name, upstreamSchema).default({}),
	operators: z.record(name, operatorSchema).default({}),
}).check(ctx => {
	for (const {path, message} of crossReferenceProblems(ctx.value)) {
		ctx.issues.push({
			code: 'custom', path: [...path], message, input: undefined,
		});
	}
});

/** A checked subtree with defaults filled in. */
export type Subtree = z.output<typeof subtreeSchema>;
export type ServiceSettings = Subtree['services'][string];
export type ModelServiceSettings = Extract<ServiceSettings, {kind: 'model'}>;
export type PlainServiceSettings = Extract<ServiceSettings, {kind: 'plain'}>;
export type CustomerSettings = Subtree['customers'][string];
export type UpstreamSettings = Subtree['upstreams'][string];
export type TierSettings = ServiceSettings['tiers'][number];
export type OperationSettings = PlainServiceSettings['operations'][number];
