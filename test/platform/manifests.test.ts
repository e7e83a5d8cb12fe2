import {createServer, validateHeaderValue} from 'node:http';
import {Socket} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {type Configuration, pickTarget, RoutingTable} from '../../src/gateway/routing-table.js';
import {decodeManifest} from '../../platform/manifest.js';
import {foreignText} from '../support/foreign-values.js';

const route = {
	name: 'r1', host: 'h', prefix: '/a/', kind: 'streaming', timeoutMs: 6000, targetLatencyMs: 600, priority: 1, service: 's1', maxAttempts: 2, public: false, resumable: true, gapTargetMs: 250,
};
const manifest = {
	version: 7,
	routes: [route, {
		...route, prefix: '/b/', service: undefined, split: [{service: 's1', weight: 90}, {service: 's2', weight: 10}],
	}],
	services: [{name: 's1', maxConns: 10, engine: {slots: 5, stride: 3}}, {name: 's2', maxConns: 5}],
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4,
	},
	tenants: [{
		name: 't', apiKeys: ['k'], priority: 1, unit: 'tokens', plainTokens: 200, ratePerS: 100, burst: 50,
	}],
};

/** Calls what the program calls with the values of a configuration. */
function useConfiguration(configuration: Configuration): void {
	const server = createServer();
	const socket = new Socket();
	server.headersTimeout = configuration.limits.headerTimeoutMs;
	socket.setTimeout(configuration.limits.idleTimeoutMs);
	socket.destroy();
	for (const {name} of configuration.customers) {
		validateHeaderValue('X-Tenant', name);
	}

	const table = RoutingTable.create(configuration);
	for (const {host, prefix, targets} of configuration.routes) {
		table.findRoute(host, prefix);
		pickTarget(targets, 0.5);
	}
}

/** @returns The paths of numbers that are negative, infinite or none. */
function oddNumbers(value: unknown, path = ''): string[] {
	if (typeof value === 'number') {
		return Number.isFinite(value) && value >= 0 ? [] : [path];
	}

	return typeof value === 'object' && value !== null ? Object.entries(value).flatMap(([name, child]) => oddNumbers(child, `${path}.${name}`)) : [];
}

describe('configurations of the operators', () => {
	// Guards against a value that throws where it is used, such as a negative time, and against a reason that quotes an API key.
	it('are refused whole, with a reason, or can be used in all parts', () => {
		let usableCount = 0;
		fc.assert(fc.property(foreignText(manifest), text => {
			const decoded = decodeManifest(text);
			if (decoded.isErr) {
				expect(decoded.error).to.have.length.within(1, 1000);
				return;
			}

			usableCount += 1;
			useConfiguration(decoded.value);
			expect(oddNumbers(decoded.value)).to.deep.equal([]);
			expect(() => JSON.stringify(decoded.value)).to.not.throw();
		}), {numRuns: 2000});
		expect(usableCount).to.be.above(100);
	});

	it('are refused for a value that cannot be used', () => {
		const {limits, services: [service], tenants: [tenant]} = manifest;
		const unusable = [
			{version: -1},
			{version: 1.5},
			{version: 2 ** 53},
			...['timeoutMs', 'targetLatencyMs', 'priority', 'maxAttempts', 'gapTargetMs'].map(name => ({routes: [{...route, [name]: -1}]})),
			{routes: [{...route, prefix: 'a/'}]},
			{routes: [{...route, prefix: '/a'}]},
			{routes: [{...route, prefix: ''}]},
			{routes: [{...route, split: [{service: 's1', weight: -1}]}]},
			{services: [{...service, engine: {slots: 0}}]},
			{services: [{...service, engine: {slots: 1, stride: 0}}]},
			{services: [{...service, maxConns: -1}]},
			...Object.keys(limits).map(name => ({limits: {...limits, [name]: -1}})),
			...['priority', 'plainTokens', 'ratePerS', 'burst'].map(name => ({tenants: [{...tenant, [name]: -1}]})),
			{tenants: [{...tenant, name: 'a\nb'}]},
			{tenants: [{...tenant, name: '✓'}]},
			{tenants: [{...tenant, apiKeys: [7]}]},
		];
		for (const change of unusable) {
			expect(decodeManifest(JSON.stringify({...manifest, ...change})).isErr, JSON.stringify(change)).to.equal(true);
		}

		expect(decodeManifest(JSON.stringify(manifest).replace('"ratePerS":100', '"ratePerS":1e999')).isErr).to.equal(true);
		expect(decodeManifest('{"tenants":[{"apiKeys":["secret"').unwrapOrElse(reason => reason)).to.equal('not valid JSON');
	});

	// Guards against refusing what the operators may write, which leaves an older version in force.
	it('may have unknown fields and kinds, services without servers, limits of 0 and very long times', () => {
		const {limits, tenants: [tenant]} = manifest;
		const usable = [
			{unknown: {a: 1}},
			{routes: []},
			{services: []},
			{tenants: []},
			{tenants: undefined},
			{routes: [{...route, kind: 'other'}]},
			{routes: [{...route, kind: 'constructor'}]},
			{routes: [{...route, service: 'nowhere'}]},
			{routes: [{...route, service: undefined}]},
			{routes: [{...route, split: []}]},
			{routes: [{...route, split: [{service: 's1', weight: 0}]}]},
			{routes: [{...route, timeoutMs: 1e15}]},
			{routes: [{...route, maxAttempts: 0}]},
			{
				limits: {
					...limits, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0,
				},
			},
			{limits: {...limits, idleTimeoutMs: 1e15, headerTimeoutMs: 1e15}},
			{tenants: [{name: 't', apiKeys: []}]},
			{tenants: [{...tenant, ratePerS: 0, burst: 0}]},
			{tenants: [{...tenant, name: 'é'}]},
		];
		for (const change of usable) {
			const decoded = decodeManifest(JSON.stringify({...manifest, ...change}));
			expect(decoded.isOk, JSON.stringify(change)).to.equal(true);
			useConfiguration(decoded.unwrapOr(undefined as never));
			expect(decoded.unwrapOr(undefined as never).routes.every(({operation}) => typeof operation === 'string')).to.equal(true);
		}
	});
});
