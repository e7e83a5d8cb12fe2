/**
 * OpenTelemetry tracing: one span for each stage of a request. W3C trace context is extracted from the caller's headers and
 * propagated to upstreams.
 */
import {
	context, type Context, defaultTextMapGetter, defaultTextMapSetter, type Span, SpanStatusCode, trace, type Tracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
	BatchSpanProcessor, NodeTracerProvider, ParentBasedSampler, type SpanProcessor, TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-node';

/** Span names, one for each stage of a request. */
export const SpanName = {
	Entry: 'entry',
	Claim: 'claim',
	Queue: 'queue',
	Upstream: 'upstream',
	Resume: 'resume',
} as const;

export type SpanName = (typeof SpanName)[keyof typeof SpanName];

/** Attributes of a span. They never contain keys, bodies or other secrets. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean>>;

/** Tracing options. */
export type TracingOptions = {
	/** URL of an OTLP/HTTP endpoint, or a span processor. */
	readonly target: string | SpanProcessor;
	/** Fraction of requests to sample, from 0 to 1, where the caller made no sampling decision. */
	readonly sampleRatio: number;
	/** ID of the process, exported as `service.instance.id`. */
	readonly instanceId: string;
};

const propagator = new W3CTraceContextPropagator();

/** Creates the traces of requests. */
export class Tracing {
	static create(options: TracingOptions): Tracing {
		return new Tracing(options);
	}

	readonly #provider: NodeTracerProvider;
	readonly #tracer: Tracer;

	private constructor({target, sampleRatio, instanceId}: TracingOptions) {
		this.#provider = new NodeTracerProvider({
			resource: resourceFromAttributes({'service.name': 'redwingspool', 'service.instance.id': instanceId}),
			sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(sampleRatio)}),
			spanProcessors: [typeof target === 'string' ? new BatchSpanProcessor(new OTLPTraceExporter({url: target})) : target],
		});
		this.#tracer = this.#provider.getTracer('redwingspool');
	}

	/**
	 * Starts the trace of a request, or continues the caller's trace.
	 *
	 * @param headers - Request headers, which may carry a trace context.
	 */
	start(headers: Readonly<Record<string, string | string[] | undefined>>, attributes: SpanAttributes): RequestTrace {
		const parent = propagator.extract(context.active(), headers, defaultTextMapGetter);
		const span = this.#tracer.startSpan(SpanName.Entry, {attributes}, parent);
		return new RequestTrace(this.#tracer, span);
	}

	/** Exports the pending spans and shuts down. */
	async stop(): Promise<void> {
		await this.#provider.shutdown();
	}
}

/** The trace of one request. */
export class RequestTrace {
	readonly #tracer: Tracer;
	readonly #entrySpan: Span;
	readonly #context: Context;

	constructor(tracer: Tracer, entrySpan: Span) {
		this.#tracer = tracer;
		this.#entrySpan = entrySpan;
		this.#context = trace.setSpan(context.active(), entrySpan);
	}

	get traceId(): string {
		return this.#entrySpan.spanContext().traceId;
	}

	/** Starts a child span for a stage of the request. */
	startSpan(name: SpanName, attributes: SpanAttributes = {}): Span {
		return this.#tracer.startSpan(name, {attributes}, this.#context);
	}

	/** @returns Headers that propagate the trace to an upstream. */
	headers(): Record<string, string> {
		const headers: Record<string, string> = {};
		propagator.inject(this.#context, headers, defaultTextMapSetter);
		return headers;
	}

	/** @param errorKind - Error kind of the response, if any. */
	end(errorKind?: string): void {
		endSpan(this.#entrySpan, errorKind);
	}
}

/** Ends a span; with an error kind, its status is set to an error first. */
export function endSpan(span: Span | undefined, errorKind?: string): void {
	if (errorKind !== undefined) {
		span?.setStatus({code: SpanStatusCode.ERROR, message: errorKind});
	}

	span?.end();
}
