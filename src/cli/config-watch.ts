/**
 * Reads and prints the event stream of `config watch`.
 */
import {EventSourceParserStream} from 'eventsource-parser/stream';
import Result from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {fetch} from 'undici';
import {type ClientOptions, teamConfigUrl} from './config-client.js';
import {ExitStatus, type Failure} from './config-exit.js';

/** Prints a line for each applied version until the node closes the stream. */
export async function printEvents(options: ClientOptions, isJson: boolean): Promise<Result<Unit, Failure>> {
	try {
		const res = await fetch(teamConfigUrl(options, '/watch'), {headers: {authorization: `Bearer ${options['operator-key']}`}});
		if (!res.ok || res.body === null) {
			const {detail} = await res.json() as {detail?: string};
			return Result.err({
				status: ExitStatus.Refused, message: detail ?? `the node responded with status ${res.status}`, details: [], next: 'use an operator key of this team',
			});
		}

		const events = (res.body as ReadableStream<Uint8Array>).pipeThrough(new TextDecoderStream()).pipeThrough(new EventSourceParserStream());
		for await (const event of events as unknown as AsyncIterable<{data: string; id?: string}>) {
			console.log(isJson ? event.data : `version ${event.id}`);
		}

		return Result.ok();
	} catch (error) {
		return Result.err({
			status: ExitStatus.NotReachable, message: `the watch was interrupted: ${(error as Error).message}`, details: [], next: 'check --address, or use another node',
		});
	}
}
