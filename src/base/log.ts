/**
 * Structured logging: one JSON object per line, with short messages and a fixed prefix for each component.
 */
import {type Writable} from 'node:stream';
import {
	createLogger, format, transports, type Logger as WinstonLogger,
} from 'winston';

/** Message prefix of each component; listed in docs/OPERATIONS.md. */
export const LogPrefix = {
	Cli: 'cli',
	Serve: 'serve',
	Supervisor: 'supervisor',
	Entry: 'entry',
	Dispatch: 'dispatch',
	Policy: 'policy',
	Upstream: 'upstream',
	Members: 'members',
	Peer: 'peer',
	Coordination: 'coordination',
	Store: 'store',
	Config: 'config',
	Invariant: 'invariant',
	Gateway: 'gateway',
	Allocation: 'allocation',
	Link: 'link',
	Platform: 'platform',
	Rollout: 'rollout',
} as const;

export type LogPrefix = (typeof LogPrefix)[keyof typeof LogPrefix];

/** Fields of a log line. They never contain keys, bodies or other secrets. Lines about a request include its `traceId`. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Log levels, most severe first. */
export const LogLevel = {
	Error: 'error',
	Warn: 'warn',
	Info: 'info',
	Debug: 'debug',
} as const;

export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Logger of one component. */
export class Log {
	/**
	 * @param level - Least severe level to write, or `silent`.
	 * @param stream - Destination of the lines; defaults to standard error.
	 * @returns The root logger; components derive theirs with `part`.
	 */
	static create(level: LogLevel | 'silent', stream?: Writable): Log {
		const logger = createLogger({
			level: level === 'silent' ? LogLevel.Error : level,
			silent: level === 'silent',
			format: format.combine(format.timestamp(), format.json()),
			transports: [stream === undefined ? new transports.Console({stderrLevels: Object.values(LogLevel)}) : new transports.Stream({stream})],
		});
		return new Log(logger, LogPrefix.Serve);
	}

	readonly #logger: WinstonLogger;
	readonly #prefix: LogPrefix;

	private constructor(logger: WinstonLogger, prefix: LogPrefix) {
		this.#logger = logger;
		this.#prefix = prefix;
	}

	/** @returns A logger that writes to the same destination with the given prefix. */
	part(prefix: LogPrefix): Log {
		return new Log(this.#logger, prefix);
	}

	/** Whether debug lines are written; checked before fields are computed that would cost time on each request. */
	get isDebugEnabled(): boolean {
		return !this.#logger.silent && this.#logger.isDebugEnabled();
	}

	error(message: string, fields: LogFields = {}): void {
		this.#write(LogLevel.Error, message, fields);
	}

	warn(message: string, fields: LogFields = {}): void {
		this.#write(LogLevel.Warn, message, fields);
	}

	info(message: string, fields: LogFields = {}): void {
		this.#write(LogLevel.Info, message, fields);
	}

	debug(message: string, fields: LogFields = {}): void {
		this.#write(LogLevel.Debug, message, fields);
	}

	#write(level: LogLevel, message: string, fields: LogFields): void {
		this.#logger.log({level, message: `${this.#prefix}: ${message}`, ...fields});
	}
}
