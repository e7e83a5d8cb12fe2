/**
 * Messages between the processes of the relay benchmark and their parent process.
 */
import process from 'node:process';

/** Memory and CPU usage of a process. */
export type Usage = {
	readonly rssBytes: number;
	/** CPU time since the start of the process, in ms. */
	readonly cpuMs: number;
};

/** Parameters of a closed-loop load: each of a fixed number of callers sends its next request when it has its response. */
export type LoadOptions = {
	readonly url: string;
	readonly callers: number;
	readonly isStreamed: boolean;
	readonly warmUpMs: number;
	readonly durationMs: number;
};

/** Results of a load after its warm-up. */
export type LoadReport = {
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
	/** Percentiles of the time from sending a request to the end of its response, in ms. */
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly failures: number;
};

/** Sends the URL of a listening server to the parent process, and responds to its queries for the resource usage. */
export function announceServer(url: string): void {
	process.on('message', () => {
		const {user, system} = process.cpuUsage();
		process.send!({rssBytes: process.memoryUsage.rss(), cpuMs: (user + system) / 1000} satisfies Usage, () => undefined);
	});
	process.on('disconnect', () => {
		process.exit(0);
	});
	process.send!(url);
}
