/**
 * The operator's manifest of a small deployment: engines behind two routes of streams, a desk behind two plain routes.
 */
import {HOST} from './caller.js';

const route = {
	host: HOST, timeoutMs: 6000, targetLatencyMs: 600, priority: 1, maxAttempts: 2, public: false, sticky: false, resumable: false,
};

/** @returns The manifest, with changed routes by name. */
export function manifest(version, changes = {}) {
	return {
		version,
		routes: [
			{
				...route, name: 'stream', prefix: '/stream/', kind: 'streaming', service: 'engine', resumable: true, gapTargetMs: 250, timeoutMs: 12_000, targetLatencyMs: 800,
			},
			{
				...route, name: 'stream-once', prefix: '/stream-once/', kind: 'streaming', service: 'engine', gapTargetMs: 250, maxAttempts: 1,
			},
			{
				...route, name: 'look', prefix: '/look/', kind: 'idempotent', service: 'desk', timeoutMs: 1200, targetLatencyMs: 200,
			},
			{
				...route, name: 'hold', prefix: '/hold/', kind: 'non_idempotent', service: 'desk', timeoutMs: 1200, targetLatencyMs: 200, maxAttempts: 1,
			},
		].map(entry => ({...entry, ...changes[entry.name]})),
		services: [
			{
				name: 'engine', healthPath: '/health', maxConns: 370, protocol: 'h1', tls: false, engine: {slots: 5, stride: 3},
			},
			{
				name: 'desk', healthPath: '/health', maxConns: 110, protocol: 'h1', tls: false,
			},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{
			name: 'crew', apiKeys: ['key-1'], priority: 1, unit: 'tokens', plainTokens: 200, ratePerS: 0, burst: 0,
		}],
	};
}

/** Headers of a requester with a key. */
export function keyHeaders(deadlineMs) {
	return {Authorization: 'Bearer key-1', 'X-Deadline-Ms': String(deadlineMs)};
}
