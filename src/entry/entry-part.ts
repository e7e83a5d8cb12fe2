/**
 * The HTTP server for callers, as a part of the supervisor tree.
 */
import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type DynamicModule, Module} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter, type NestFastifyApplication} from '@nestjs/platform-fastify';
import {Part} from '../supervisor/part.js';
import {CompletionsController} from './completions-controller.js';
import {ENTRY_CONTEXT, type EntryContext} from './context.js';
import {NodeController} from './node-controller.js';
import {OPERATOR_CONTEXT, type OperatorContext} from './operator-context.js';
import {OperatorController} from './operator-controller.js';
import {ServicesController} from './services-controller.js';

/** Nest's module of the callers' interface. */
@Module({})
class EntryModule {
	static create(context: EntryContext, operators: OperatorContext | undefined): DynamicModule {
		return {
			module: EntryModule,
			controllers: [CompletionsController, ServicesController, NodeController, ...(operators ? [OperatorController] : [])],
			providers: [{provide: ENTRY_CONTEXT, useValue: context}, {provide: OPERATOR_CONTEXT, useValue: operators}],
		};
	}
}

/** Where the server listens. */
export type ListenOptions = {
	readonly host: string;
	/** 0 lets the operating system choose. */
	readonly port: number;
};

/** Runs the HTTP server for callers. */
export class EntryPart extends Part {
	/**
	 * @param context - What the callers' routes need.
	 * @param options - Where to listen.
	 * @param operators - What the operators' routes need; they are absent without it.
	 */
	static create(context: EntryContext, options: ListenOptions, operators?: OperatorContext): EntryPart {
		return new EntryPart(context, options, operators);
	}

	readonly #context: EntryContext;
	readonly #options: ListenOptions;
	readonly #operators: OperatorContext | undefined;
	#app: NestFastifyApplication | undefined;

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
		const adapter = new FastifyAdapter({bodyLimit: Number.MAX_SAFE_INTEGER});
		// Bodies are left unread; the controllers read them within the limit of their service.
		const fastify = adapter.getInstance();
		fastify.removeAllContentTypeParsers();
		fastify.addContentTypeParser('*', async () => undefined);
		const app = await NestFactory.create<NestFastifyApplication>(EntryModule.create(this.#context, this.#operators), adapter, {
			logger: false, bodyParser: false, abortOnError: false,
		});
		this.#app = app;
		await app.listen(this.#options.port, this.#options.host);
		this.#server.on('error', onFailure);
	}

	async stop(): Promise<void> {
		// The server waits for open responses, and watches end only by themselves.
		this.#operators?.watches.endAll();
		await this.#app?.close();
		this.#app = undefined;
	}

	get #server(): Server {
		return this.#app!.getHttpServer();
	}
}
