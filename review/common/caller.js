/**
 * A requester: sends one request on a channel of its own and reports how it was answered.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {request} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {split} from './network.js';

/** Host of all routes. */
export const HOST = 'desk.example';

/**
 * @returns Status, body, the code of an error and whether the answer is complete; status 0 if the channel ended without an
 * answer, and `isSilent` if there was no final answer within `timeoutMs`.
 */
export async function call(address, {method = 'GET', target, headers = {}, body, timeoutMs = 5000, agent = false}) {
	const id = randomBytes(8).toString('hex');
	const sentAt = performance.now();
	return new Promise(resolve => {
		let status = 0;
		let answerHeaders = {};
		let error;
		const chunks = [];
		const finish = (isWhole, isSilent) => {
			clearTimeout(timer);
			resolve({
				id, sentAt, status, isWhole, isSilent, error, headers: answerHeaders, body: Buffer.concat(chunks).toString('latin1'), ms: performance.now() - sentAt,
			});
			if (!isWhole) {
				req.destroy();
			}
		};

		const req = request({
			...split(address), method, path: target, agent, headers: {Host: HOST, 'X-Request-Id': id, ...headers},
		}, res => {
			status = res.statusCode;
			answerHeaders = res.headers;
			res.on('data', chunk => {
				chunks.push(chunk);
			});
			res.once('end', () => {
				finish(res.complete, false);
			});
			res.on('error', () => {
				finish(false, false);
			});
		});
		req.on('error', err => {
			error = err.code;
			finish(false, false);
		});
		const timer = setTimeout(() => {
			finish(false, true);
		}, timeoutMs);
		req.end(body);
	});
}
