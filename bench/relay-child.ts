/**
 * What the processes of the relay bench tell their parent.
 */
import process from 'node:process';

/** Use of memory and processor by a process. */
export type Usage = {
	readonly rssBytes: number;
	/** Processor time since the start, in ms. */
	readonly cpuMs: number;
};

/** What the load does: a fixed number of callers, each sending its next request when it has its answer. */
export type LoadOrder = {
	readonly url: string;
	readonly callers: number;
	readonly isStreamed: boolean;
	readonly warmUpMs: number;
	readonly durationMs: number;
};

/** What the load saw after the warm-up. */
export type LoadReport = {
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
	/** From sending a request to the end of its answer, in ms. */
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly failures: number;
};

/** Announces that a server listens, and answers the parent's questions about its usage. */
export function announce(url: string): void {
	process.on('message', () => {
		const {user, system} = process.cpuUsage();
		process.send!({rssBytes: process.memoryUsage.rss(), cpuMs: (user + system) / 1000} satisfies Usage, () => undefined);
	});
	process.on('disconnect', () => {
		process.exit(0);
	});
	process.send!(url);
}
