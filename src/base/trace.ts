/**
 * Traces by OpenTelemetry: a span for each hop of a request, with W3C trace context in both directions.
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

/** The hops of a request. */
export const SpanName = {
	Entry: 'entry',
	Claim: 'claim',
	Queue: 'queue',
	Upstream: 'upstream',
	Resume: 'resume',
} as const;

export type SpanName = (typeof SpanName)[keyof typeof SpanName];

/** Attributes of a span; never keys, bodies or other secrets. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean>>;

/** Settings of the traces. */
export type TracingOptions = {
	/** URL to which OTLP over HTTP is sent, or a processor of spans. */
	readonly target: string | SpanProcessor;
	/** Part of the requests that is sampled where the caller did not decide, from 0 to 1. */
	readonly sampleRatio: number;
	/** Identity of the process. */
	readonly instanceId: string;
};

const propagator = new W3CTraceContextPropagator();

/** Starts the traces of requests. */
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
	 * Starts the trace of a request, or continues its caller's.
	 *
	 * @param headers - Headers of the request.
	 */
	start(headers: Readonly<Record<string, string | string[] | undefined>>, attributes: SpanAttributes): RequestTrace {
		const parent = propagator.extract(context.active(), headers, defaultTextMapGetter);
		const span = this.#tracer.startSpan(SpanName.Entry, {attributes}, parent);
		return new RequestTrace(this.#tracer, span);
	}

	/** Sends what is not sent yet. */
	async stop(): Promise<void> {
		await this.#provider.shutdown();
	}
}

/** The trace of one request. */
export class RequestTrace {
	readonly #tracer: Tracer;
	readonly #entry: Span;
	readonly #context: Context;

	constructor(tracer: Tracer, entry: Span) {
		this.#tracer = tracer;
		this.#entry = entry;
		this.#context = trace.setSpan(context.active(), entry);
	}

	get traceId(): string {
		return this.#entry.spanContext().traceId;
	}

	/** Starts the span of a hop. */
	startSpan(name: SpanName, attributes: SpanAttributes = {}): Span {
		return this.#tracer.startSpan(name, {attributes}, this.#context);
	}

	/** @returns Headers that pass the trace on to an upstream. */
	headers(): Record<string, string> {
		const headers: Record<string, string> = {};
		propagator.inject(this.#context, headers, defaultTextMapSetter);
		return headers;
	}

	/** @param errorKind - The kind that the request was answered with, if any. */
	end(errorKind?: string): void {
		endSpan(this.#entry, errorKind);
	}
}

/** Ends the span of a hop. */
export function endSpan(span: Span | undefined, errorKind?: string): void {
	if (errorKind !== undefined) {
		span?.setStatus({code: SpanStatusCode.ERROR, message: errorKind});
	}

	span?.end();
}
