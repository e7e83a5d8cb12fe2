/**
 * Structured logs: one JSON object a line, short sentences, a fixed prefix for each part.
 */
import {type Writable} from 'node:stream';
import {
	createLogger, format, transports, type Logger as WinstonLogger,
} from 'winston';

/** Prefix of each part's log lines. docs/OPERATIONS.md lists them. */
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
} as const;

export type LogPrefix = (typeof LogPrefix)[keyof typeof LogPrefix];

/** Fields of a log line. Never holds keys, bodies or other secrets. Lines about a request carry its `traceId`. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Log levels, most severe first. */
export const LogLevel = {
	Error: 'error',
	Warn: 'warn',
	Info: 'info',
	Debug: 'debug',
} as const;

export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** A logger of one part. */
export class Log {
	/**
	 * @param level - The least severe level that is written, or `silent`.
	 * @param stream - Where the lines go; standard error by default.
	 * @returns A logger for the program's root; parts take theirs by `part`.
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

	/** @returns A logger whose lines start with the prefix of the given part. */
	part(prefix: LogPrefix): Log {
		return new Log(this.#logger, prefix);
	}

	/** Whether debug lines are written; asked where their fields would cost time for each request. */
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
