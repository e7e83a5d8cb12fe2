/**
 * Schema of the settings tree. Each team owns one subtree, which is validated as a whole against this schema.
 */
import {z} from 'zod';
import {findCrossReferenceProblems} from './cross-references.js';

const KIB = 1024;
const MIB = 1024 * KIB;

const name = z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'expected lower-case letters, digits and hyphens');
const durationMs = z.int().min(1).max(3_600_000);
const keyDigests = z.array(z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 digest in hex')).max(20);
/** Informational text without effect. */
const description = z.string().max(500).optional();

/** A priority tier. Tiers are listed in descending order of priority. */
const tierSchema = z.strictObject({
	name,
	/** Time in ms from the arrival of a request to the first byte of the response, after which the response is useless. */
	deadlineMs: durationMs,
});

/** A language-model service, available at `/v1/chat/completions`. */
const modelServiceSchema = z.strictObject({
	kind: z.literal('model'),
	description,
	models: z.array(z.string().min(1).max(200)).min(1).max(100),
	tiers: z.array(tierSchema).min(1).max(5),
	defaultTier: name,
	bodyLimitBytes: z.int().min(KIB).max(64 * MIB).default(4 * MIB),
	/** Maximum time between two chunks of a response, in ms. */
	idleTimeoutMs: durationMs.default(60_000),
});

/** An operation of a plain service. The first operation whose method and path match applies to a request. */
const operationSchema = z.strictObject({
	method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
	/** Path below the service; `*` matches one segment, a trailing `**` any remainder. */
	path: z.string().startsWith('/').max(500),
	idempotent: z.boolean(),
	tier: name.optional(),
});

/** A plain HTTP service, available at `/services/<name>/...`. Undeclared operations are idempotent if they are GET or HEAD. */
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

/** A customer; only the SHA-256 digests of its API keys are stored. */
const customerSchema = z.strictObject({
	description,
	keyDigests,
	/** Share of a contended tier relative to the weights of other customers. */
	weight: z.number().min(0.01).max(1000).default(1),
	/** Services that the customer may use; defaults to all services of the subtree. */
	services: z.array(name).max(100).optional(),
	/** Rate limit in requests per second over all services, for each VM; unlimited if absent. */
	requestsPerSecond: z.number().min(0.1).max(100_000).optional(),
});

/** An upstream: a model server or a backend of a plain service. */
const upstreamSchema = z.strictObject({
	description,
	service: name,
	url: z.url({protocol: /^https?$/v}),
	region: name,
	dataCentre: name,
	/** Models that the upstream serves; defaults to all models of the service. */
	models: z.array(z.string()).max(100).optional(),
	/** Whether the upstream rejects commands with an outdated fencing number. */
	checksFencing: z.boolean().default(false),
	/** Whether the upstream can resume a stream at an offset. */
	canResume: z.boolean().default(false),
	/** Maximum number of requests in flight over all VMs. */
	maxConcurrency: z.int().min(1).max(10_000).default(256),
	/** Set by operators to take the upstream out of service. */
	leaving: z.boolean().default(false),
});

/** An operator of the team; only the SHA-256 digests of its keys are stored. */
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
	for (const {path, message} of findCrossReferenceProblems(ctx.value)) {
		ctx.issues.push({
			code: 'custom', path: [...path], message, input: undefined,
		});
	}
});

/** A validated subtree with defaults applied. */
export type Subtree = z.output<typeof subtreeSchema>;
export type ServiceSettings = Subtree['services'][string];
export type ModelServiceSettings = Extract<ServiceSettings, {kind: 'model'}>;
export type PlainServiceSettings = Extract<ServiceSettings, {kind: 'plain'}>;
export type CustomerSettings = Subtree['customers'][string];
export type UpstreamSettings = Subtree['upstreams'][string];
export type TierSettings = ServiceSettings['tiers'][number];
export type OperationSettings = PlainServiceSettings['operations'][number];
