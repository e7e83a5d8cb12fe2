/**
 * Relay benchmark: a minimal pass-through proxy of fastify and undici as a process. Arguments: URLs of its engines, which
 * are used round-robin.
 */
import process from 'node:process';
import {fastify} from 'fastify';
import {Pool} from 'undici';
import {announceServer} from './relay-child.js';

async function main(): Promise<void> {
	const pools = process.argv.slice(2).map(url => new Pool(url));
	const app = fastify();
	let nextPool = 0;
	app.removeAllContentTypeParsers();
	app.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) => {
		done(null, body);
	});
	app.post('/v1/chat/completions', async (req, reply) => {
		nextPool = (nextPool + 1) % pools.length;
		const res = await pools[nextPool]!.request({
			method: 'POST', path: '/v1/chat/completions', headers: {'content-type': 'application/json'}, body: req.body as Uint8Array,
		});
		return reply.status(res.statusCode).header('content-type', res.headers['content-type']).send(res.body);
	});
	announceServer(await app.listen({host: '127.0.0.1', port: 0}));
}

// eslint-disable-next-line unicorn/prefer-top-level-await -- the bundle is CommonJS
void main();
