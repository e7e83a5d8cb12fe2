/**
 * The HTTP server for callers and operators, as a part of the supervisor tree.
 */
import {type Server} from 'node:http';
import {type Server as HttpsServer} from 'node:https';
import {type AddressInfo} from 'node:net';
import {type DynamicModule, Module} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter, type NestFastifyApplication} from '@nestjs/platform-fastify';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import {ConnectionLimit} from '../base/connection-limit.js';
import {listen} from '../base/listening.js';
import {Log, LogPrefix} from '../base/log.js';
import {Part} from '../supervisor/part.js';
import {CompletionsController} from './completions-controller.js';
import {ENTRY_CONTEXT, type EntryContext, type EntryDependencies} from './context.js';
import {
	ClientErrorHandler, defaultHttpLimits, findAmbiguity, type HttpLimits, MAX_CONNECTIONS, toServerOptions,
} from './http-limits.js';
import {NodeController} from './node-controller.js';
import {OPERATOR_CONTEXT, type OperatorContext} from './operator-context.js';
import {OperatorController} from './operator-controller.js';
import {OperatorNodeController} from './operator-node-controller.js';
import {ProblemFilter} from './problem-filter.js';
import {RateLimiter} from './rate-limiter.js';
import {ServicesController} from './services-controller.js';
import {readTlsCredentials, type TlsFiles, TlsReloader} from './tls.js';

const CLOSE_TIMEOUT_MS = 10_000;

/** Nest module with the controllers of callers and, where enabled, of operators. */
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

/** Address, limits and TLS files of the server. */
export type ListenOptions = {
	readonly host: string;
	/** With 0, the operating system chooses a free port. */
	readonly port: number;
	readonly limits?: HttpLimits | undefined;
	/** If set, the server uses TLS. */
	readonly tls?: TlsFiles | undefined;
	readonly log?: Log | undefined;
};

/** Runs the HTTP server for callers and operators. */
export class EntryPart extends Part {
	/**
	 * @param dependencies - Dependencies of the callers' routes.
	 * @param options - Options of the server.
	 * @param operators - Dependencies of the operators' routes, which are registered only if this is given.
	 */
	static create(dependencies: EntryDependencies, options: ListenOptions, operators?: OperatorContext): EntryPart {
		const {clock} = dependencies;
		const context = {...dependencies, rateLimiter: RateLimiter.create(clock)};
		return new EntryPart(context, options, operators);
	}

	readonly #context: EntryContext;
	readonly #options: ListenOptions;
	readonly #operators: OperatorContext | undefined;
	#app: NestFastifyApplication | undefined;
	#reloader: TlsReloader | undefined;
	#stopping = new AbortController();
	readonly #connectionLimit: ConnectionLimit;

	private constructor(context: EntryContext, options: ListenOptions, operators: OperatorContext | undefined) {
		super();
		this.#context = context;
		this.#options = options;
		this.#operators = operators;
		this.#connectionLimit = ConnectionLimit.create({
			clock: context.clock,
			log: (options.log ?? Log.create('silent')).part(LogPrefix.Entry),
			maxConnections: options.limits?.maxConnections ?? MAX_CONNECTIONS,
			onClosed() {
				context.instruments?.countClosedConnection();
			},
		});
	}

	/** Number of callers' connections. */
	get connectionCount(): number {
		return this.#connectionLimit.size;
	}

	get name(): string {
		return 'entry';
	}

	/** The `host:port` on which the server listens. */
	get address(): string {
		const {address, port} = this.#server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	/** Whether callers can connect. */
	get isListening(): boolean {
		return this.#app?.getHttpServer().listening ?? false;
	}

	/** Waits until the address is available or the part is stopped. */
	async start(): Promise<void> {
		const {limits = defaultHttpLimits, log, tls, host, port} = this.#options;
		const stopping = new AbortController();
		this.#stopping = stopping;
		const credentials = tls && readTlsCredentials(tls);
		const clientErrorHandler = ClientErrorHandler.create(this.#context.instruments);
		const filter = new ProblemFilter(log?.part(LogPrefix.Entry), this.#context.instruments);
		const adapter = new FastifyAdapter({
			bodyLimit: Number.MAX_SAFE_INTEGER,
			...(credentials ? {https: {...toServerOptions(limits), ...credentials}} : {http: toServerOptions(limits)}),
			// Fastify overwrites the server's own timeout with this option.
			requestTimeout: limits.requestTimeoutMs,
			// The length of path segments is already limited by the header size.
			routerOptions: {maxParamLength: limits.maxHeaderBytes},
			clientErrorHandler: clientErrorHandler.handle,
			frameworkErrors(err: Error, req: FastifyRequest, reply: FastifyReply) {
				filter.answer(err, req, reply);
			},
		});
		disableBodyParsing(adapter);
		addRequestChecks(adapter, this.#context);
		const app = await NestFactory.create<NestFastifyApplication>(EntryModule.create(this.#context, this.#operators), adapter, {
			logger: false, bodyParser: false, abortOnError: false,
		});
		app.useGlobalFilters(filter);
		this.#app = app;
		clientErrorHandler.attach(this.#server);
		this.#connectionLimit.attach(this.#server);
		await app.init();
		await adapter.getInstance().ready();
		const listenLog = log ?? Log.create('silent');
		const isListening = await listen(this.#server, {host, port}, {
			clock: this.#context.clock, log: listenLog.part(LogPrefix.Entry), signal: stopping.signal,
		});
		if (isListening && tls !== undefined && credentials !== undefined) {
			const server = app.getHttpServer() as unknown as HttpsServer;
			this.#reloader = TlsReloader.start({
				server, files: tls, current: credentials, clock: this.#context.clock, log: log?.part(LogPrefix.Entry),
			});
		}
	}

	/** Closes all connections immediately, for a graceful shutdown that exceeded its time limit. */
	closeConnections(): void {
		this.#server.closeAllConnections();
	}

	/** Ends a start that waits for the address; a server that listens goes on. */
	override async drain(): Promise<void> {
		this.#stopping.abort();
	}

	async stop(): Promise<void> {
		this.#stopping.abort();
		const app = this.#app;
		if (app === undefined) {
			return;
		}

		// Closing the server waits for open responses, and watches could stay open for up to MAX_WATCH_DURATION_MS.
		this.#operators?.watches.endAll();
		this.#app = undefined;
		this.#reloader?.stop();
		const server: Server = app.getHttpServer();
		// Callers that do not read the rest of their responses must not delay the shutdown beyond CLOSE_TIMEOUT_MS.
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

/** Disables Fastify's body parsers, because the controllers read bodies within the limit of each service. */
function disableBodyParsing(adapter: FastifyAdapter): void {
	const fastify = adapter.getInstance();
	fastify.removeAllContentTypeParsers();
	// Uses callbacks, because Fastify adds overhead to each request for hooks and parsers that return promises.
	fastify.addContentTypeParser('*', (_req: FastifyRequest, _payload: unknown, done: (err: Error | null) => void) => { // eslint-disable-line @typescript-eslint/no-restricted-types -- Fastify's own type
		done(null);
	});
}

function addRequestChecks(adapter: FastifyAdapter, context: EntryContext): void {
	adapter.getInstance().addHook('onRequest', (req: FastifyRequest, reply: FastifyReply, done: (err?: Error) => void) => {
		if (context.isLeaving?.()) {
			// Node then sends `Connection: close`.
			reply.raw.shouldKeepAlive = false;
		}

		done(findAmbiguity(req.raw));
	});
}
