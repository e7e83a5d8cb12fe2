/**
 * Load of requesters, and an answer without an end.
 */
import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from './caller.js';
import {keyHeaders} from './manifest.js';
import {answerHeaders} from './server.js';

/** Time limit of requesters of streams, in ms. */
const STREAM_DEADLINE_MS = 12_000;
/** How long requesters wait for an answer beyond their time limit, in ms. */
const PATIENCE_MS = 3000;
const ONE_BYTE_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(10_000));

/**
 * @param statusLine - Status and reason.
 * @returns A handler that sends bytes that never become an answer, until the other side closes the channel.
 */
export function answerWithoutEnd(statusLine) {
	return (req, {socket}) => {
		const head = Object.entries(answerHeaders(req)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		socket.on('error', () => undefined);
		socket.write(`HTTP/1.1 ${statusLine}\r\n${head}Transfer-Encoding: chunked\r\n\r\n`);
		const fill = () => {
			while (!socket.destroyed && socket.write(ONE_BYTE_CHUNKS)) {
				// Until the channel takes no more.
			}
		};

		socket.on('drain', fill);
		fill();
	};
}

/** @returns A handler of lookups that answers after a while. */
export function answerAfter(ms) {
	return async (req, res) => {
		await sleep(ms);
		res.writeHead(200, {...answerHeaders(req), 'Content-Length': '2'});
		res.end('ok');
	};
}

/** Sends one lookup after another on a channel that is kept open, and calls `onAnswer` with each result. */
export async function lookOnKeptChannel({record, machine, endsAt, deadlineMs, onAnswer}) {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	while (performance.now() < endsAt) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const answer = await call(machine.front, {
			target: '/look/1', headers: keyHeaders(deadlineMs), timeoutMs: deadlineMs + PATIENCE_MS, agent,
		});
		record.note('look', {
			machine: machine.name, request: answer.id, status: answer.status, whole: answer.isWhole, ms: Math.round(answer.ms),
		});
		onAnswer(answer);
		if (answer.status === 0) {
			await sleep(100); // eslint-disable-line no-await-in-loop
		}
	}

	agent.destroy();
}

/** Sends streams at an even rate to all machines in turn. */
export async function sendStreams({record, deployment, endsAt, intervalMs}) {
	const {machines} = deployment;
	const streams = [];
	for (let count = 0; performance.now() < endsAt; count += 1) {
		const machine = machines[count % machines.length];
		streams.push((async () => {
			const answer = await call(machine.front, {
				method: 'POST', target: '/stream/1', headers: {...keyHeaders(STREAM_DEADLINE_MS), 'X-Token-Count': '300,30', 'Content-Length': '0'}, timeoutMs: STREAM_DEADLINE_MS + PATIENCE_MS,
			});
			record.note('stream', {
				machine: machine.name, request: answer.id, status: answer.status, whole: answer.isWhole, ms: Math.round(answer.ms),
			});
		})());
		await sleep(intervalMs); // eslint-disable-line no-await-in-loop
	}

	await Promise.all(streams);
}

/** Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(record, run) {
	let status = 2;
	try {
		status = await run() ? 1 : 0;
	} catch (error) {
		record.finish(`not run: ${error.stack}`);
	}

	process.exit(status); // eslint-disable-line unicorn/no-process-exit -- the status is the verdict
}
