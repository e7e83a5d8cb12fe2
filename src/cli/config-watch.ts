/**
 * Prints the events of `config watch`.
 */
import {EventSourceParserStream} from 'eventsource-parser/stream';
import Result from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {fetch} from 'undici';
import {type ClientOptions, urlOf} from './config-client.js';
import {ExitStatus, type Failure} from './config-exit.js';

/** Prints a line for each version until the node ends the stream. */
export async function printEvents(options: ClientOptions, isJson: boolean): Promise<Result<Unit, Failure>> {
	try {
		const res = await fetch(urlOf(options, '/watch'), {headers: {authorization: `Bearer ${options['operator-key']}`}});
		if (!res.ok || res.body === null) {
			const {detail} = await res.json() as {detail?: string};
			return Result.err({
				status: ExitStatus.Refused, message: detail ?? `the node answered ${res.status}`, details: [], next: 'use an operator key of this team',
			});
		}

		const events = (res.body as ReadableStream<Uint8Array>).pipeThrough(new TextDecoderStream()).pipeThrough(new EventSourceParserStream());
		for await (const event of events as unknown as AsyncIterable<{data: string; id?: string}>) {
			console.log(isJson ? event.data : `version ${event.id}`);
		}

		return Result.ok();
	} catch (error) {
		return Result.err({
			status: ExitStatus.NotReachable, message: `the watch broke off: ${(error as Error).message}`, details: [], next: 'check --address, or use another node',
		});
	}
}
