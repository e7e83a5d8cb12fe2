import {expect} from 'chai';
import {findConfigurationFaults, type HandledCall} from '../../soak/configuration-rule.js';
import {type Manifest, type WrittenManifest} from '../../soak/operator.js';
import {VmProcess} from '../../soak/vm-process.js';

const vm = new VmProcess('vm-1', '/nonexistent', {
	front: '', ready: '', directory: '', metrics: '', control: '',
});

/** Version 1 has the route `/old/` to `desk`; version 2, 10 s later, has `/new/` to `counter` and no key but `key-1`. */
const written: readonly WrittenManifest[] = [
	{manifest: createManifest(1, '/old/', 'desk', ['key-1', 'key-2']), at: 1000},
	{manifest: createManifest(2, '/new/', 'counter', ['key-1']), at: 11_000},
];

function createManifest(version: number, prefix: string, service: string, apiKeys: string[]): Manifest {
	return {
		version,
		routes: [{
			name: prefix, prefix, service, timeoutMs: 3000,
		}],
		services: [],
		limits: {
			maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
		},
		tenants: [{name: 'crew', apiKeys}],
	};
}

function handle(at: number, prefix: string, status: number, {service, apiKey = 'key-1', isCalm = true}: {service?: string; apiKey?: string; isCalm?: boolean} = {}): HandledCall {
	const id = `r${at}`;
	return {
		call: {
			id, kind: 'safe', vm, pid: 1, method: 'GET', prefix, target: `${prefix}${id}`, body: '', apiKey, prompt: undefined, followsOpenRequest: false, startedAt: at, sentAt: at, endedAt: at + 20, hasCallerLeft: false,
			answer: {
				id, status, headers: {}, body: '', isWhole: true,
			},
		},
		service,
		isCalm,
		isVmDisturbed: false,
	};
}

describe('check of the configuration that requests were handled under', () => {
	// Each is a way in which a configuration was not in force, or went back: the check must find it.
	const faults: ReadonlyArray<readonly [string, HandledCall[], RegExp]> = [
		['a route that was dropped long ago', [handle(14_000, '/old/', 200, {service: 'desk'})], /version 2 had to apply/v],
		['a route that was added long ago and is unknown', [handle(14_000, '/new/', 404)], /version 2 had to apply/v],
		['a key that was withdrawn long ago', [handle(14_000, '/new/', 200, {service: 'counter', apiKey: 'key-2'})], /only versions up to -1/v],
		['a service that no version names', [handle(5000, '/old/', 200, {service: 'counter'})], /only versions up to -1/v],
		['a refusal that no version allows', [handle(5000, '/old/', 404)], /only versions up to -1/v],
		['a version that goes back', [handle(11_500, '/new/', 200, {service: 'counter'}), handle(12_000, '/new/', 404)], /version 2 had been seen/v],
		['one that goes back in a disturbance', [handle(11_500, '/old/', 404, {isCalm: false}), handle(12_000, '/old/', 200, {service: 'desk', isCalm: false})], /version 2 had been seen/v],
	];
	for (const [title, calls, expected] of faults) {
		it(`finds ${title}`, () => {
			expect(findConfigurationFaults(calls, written)).to.have.length(1);
			expect(findConfigurationFaults(calls, written)[0]).to.match(expected);
		});
	}

	it('allows either version while the newer one spreads, and the older one at a disturbed VM', () => {
		const spreading = [handle(11_500, '/old/', 200, {service: 'desk'}), handle(12_000, '/new/', 200, {service: 'counter'})];
		expect(findConfigurationFaults(spreading, written)).to.deep.equal([]);
		expect(findConfigurationFaults([handle(14_000, '/old/', 200, {service: 'desk', isCalm: false})], written)).to.deep.equal([]);
	});
});
