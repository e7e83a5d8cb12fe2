/**
 * The HTTP server for callers, as a part of the supervisor tree.
 */
import {type Server} from 'node:http';
import {type Server as HttpsServer} from 'node:https';
import {type AddressInfo} from 'node:net';
import {type DynamicModule, Module} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter, type NestFastifyApplication} from '@nestjs/platform-fastify';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import {type Log, LogPrefix} from '../base/log.js';
import {Part} from '../supervisor/part.js';
import {BodyBudget} from './body.js';
import {CompletionsController} from './completions-controller.js';
import {ENTRY_CONTEXT, type EntryContext, type EntryDependencies} from './context.js';
import {
	ClientErrors, defaultHttpLimits, findAmbiguity, type HttpLimits, toServerOptions,
} from './http-limits.js';
import {NodeController} from './node-controller.js';
import {OPERATOR_CONTEXT, type OperatorContext} from './operator-context.js';
import {OperatorController} from './operator-controller.js';
import {OperatorNodeController} from './operator-node-controller.js';
import {ProblemFilter} from './problem-filter.js';
import {RateLimiter} from './rate-limiter.js';
import {ServicesController} from './services-controller.js';
import {readTlsPair, type TlsFiles, TlsReloader} from './tls.js';

const CLOSE_TIMEOUT_MS = 10_000;

/** Nest's module of the callers' interface. */
@Module({})
class EntryModule {
	static create(context: EntryContext, operators: OperatorContext | undefined): DynamicModule {
		return {
			module: EntryModule,
			controllers: [CompletionsController, ServicesController, NodeController, ...(operators ? [OperatorController] : []), ...(operators?.node ? [OperatorNodeController] : [])],
			providers: [{provide: ENTRY_CONTEXT, useValue: context}, {provide: OPERATOR_CONTEXT, useValue: operators}],
		};
	}
}

/** Where the server listens. */
export type ListenOptions = {
	readonly host: string;
	/** 0 lets the operating system choose. */
	readonly port: number;
	readonly limits?: HttpLimits | undefined;
	/** Callers use TLS where it is set. */
	readonly tls?: TlsFiles | undefined;
	readonly log?: Log | undefined;
};

/** Runs the HTTP server for callers. */
export class EntryPart extends Part {
	/**
	 * @param dependencies - What the callers' routes need.
	 * @param options - Where to listen.
	 * @param operators - What the operators' routes need; they are absent without it.
	 */
	static create(dependencies: EntryDependencies, options: ListenOptions, operators?: OperatorContext): EntryPart {
		const {clock} = dependencies;
		const context = {...dependencies, rateLimiter: RateLimiter.create(clock), bodyBudget: BodyBudget.create()};
		return new EntryPart(context, options, operators);
	}

	readonly #context: EntryContext;
	readonly #options: ListenOptions;
	readonly #operators: OperatorContext | undefined;
	#app: NestFastifyApplication | undefined;
	#reloader: TlsReloader | undefined;

	private constructor(context: EntryContext, options: ListenOptions, operators: OperatorContext | undefined) {
		super();
		this.#context = context;
		this.#options = options;
		this.#operators = operators;
	}

	get name(): string {
		return 'entry';
	}

	/** `host:port` on which the server listens. */
	get address(): string {
		const {address, port} = this.#server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	async start(onFailure: (err: Error) => void): Promise<void> {
		const {limits = defaultHttpLimits, log, tls} = this.#options;
		const pair = tls && readTlsPair(tls);
		const clientErrors = ClientErrors.create(this.#context.instruments);
		const filter = new ProblemFilter(log?.part(LogPrefix.Entry), this.#context.instruments);
		const adapter = new FastifyAdapter({
			bodyLimit: Number.MAX_SAFE_INTEGER,
			...(pair ? {https: {...toServerOptions(limits), ...pair}} : {http: toServerOptions(limits)}),
			// Fastify overwrites the server's own with this.
			requestTimeout: limits.requestTimeoutMs,
			// Long path segments are bounded by the size of the headers.
			routerOptions: {maxParamLength: limits.maxHeaderBytes},
			clientErrorHandler: clientErrors.handle,
			frameworkErrors(err: Error, req: FastifyRequest, reply: FastifyReply) {
				filter.answer(err, req, reply);
			},
		});
		leaveBodiesUnread(adapter);
		checkRequests(adapter, this.#context);
		const app = await NestFactory.create<NestFastifyApplication>(EntryModule.create(this.#context, this.#operators), adapter, {
			logger: false, bodyParser: false, abortOnError: false,
		});
		app.useGlobalFilters(filter);
		this.#app = app;
		clientErrors.attach(this.#server);
		await app.listen(this.#options.port, this.#options.host);
		this.#server.on('error', onFailure);
		if (tls !== undefined && pair !== undefined) {
			const server = app.getHttpServer() as unknown as HttpsServer;
			this.#reloader = TlsReloader.start({
				server, files: tls, current: pair, clock: this.#context.clock, log: log?.part(LogPrefix.Entry),
			});
		}
	}

	/** Cuts off all callers, at the end of a stop that took too long. */
	closeConnections(): void {
		this.#server.closeAllConnections();
	}

	async stop(): Promise<void> {
		const app = this.#app;
		if (app === undefined) {
			return;
		}

		// The server waits for open responses, and watches end only by themselves.
		this.#operators?.watches.endAll();
		this.#app = undefined;
		this.#reloader?.stop();
		const server: Server = app.getHttpServer();
		// Callers that do not read the end of their answers must not hold up the stop.
		const timer = this.#context.clock.setTimer(CLOSE_TIMEOUT_MS, () => {
			server.closeAllConnections();
		});
		await app.close();
		timer.cancel();
	}

	get #server(): Server {
		return this.#app!.getHttpServer();
	}
}

/** The controllers read bodies within the limit of their service. */
function leaveBodiesUnread(adapter: FastifyAdapter): void {
	const fastify = adapter.getInstance();
	fastify.removeAllContentTypeParsers();
	// Callbacks, as Fastify wraps promises of hooks and parsers at a cost on each request.
	fastify.addContentTypeParser('*', (_req: FastifyRequest, _payload: unknown, done: (err: Error | null) => void) => { // eslint-disable-line @typescript-eslint/no-restricted-types -- Fastify's own type
		done(null);
	});
}

function checkRequests(adapter: FastifyAdapter, context: EntryContext): void {
	adapter.getInstance().addHook('onRequest', (req: FastifyRequest, reply: FastifyReply, done: (err?: Error) => void) => {
		if (context.isLeaving?.()) {
			// Node then answers with `Connection: close`.
			reply.raw.shouldKeepAlive = false;
		}

		done(findAmbiguity(req.raw));
	});
}
