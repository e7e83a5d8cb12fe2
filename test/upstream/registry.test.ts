import {expect} from 'chai';
import {Deployment} from '../../src/config/deployment.js';
import {subtreeSchema} from '../../src/config/schema.js';
import {UpstreamClient} from '../../src/upstream/engine.js';
import {UpstreamRegistry} from '../../src/upstream/registry.js';
import {createStrictLog} from '../support/strict-log.js';

/** A client that only records whether it was destroyed. */
class IdleClient extends UpstreamClient {
	isDestroyed = false;

	send(): never {
		throw new Error('No exchange is expected.');
	}

	async destroy(): Promise<void> {
		this.isDestroyed = true;
	}
}

function createDeployment(maxConcurrency: number | undefined): Deployment {
	return Deployment.create(new Map([['team', subtreeSchema.parse({
		services: {
			booking: {
				kind: 'plain', tiers: [{name: 'only', deadlineMs: 1000}], defaultTier: 'only',
			},
		},
		upstreams: maxConcurrency === undefined
			? {}
			: {
				first: {
					service: 'booking', url: 'http://127.0.0.1:1', region: 'north', dataCentre: 'north-1', maxConcurrency,
				},
			},
	})]]));
}

describe('upstream registry', () => {
	let client: IdleClient;
	let registry: UpstreamRegistry;

	beforeEach(() => {
		client = new IdleClient();
		registry = UpstreamRegistry.create(createStrictLog(), () => client);
		registry.update(createDeployment(1));
	});

	it('destroys the client of a removed upstream after its last exchange', () => {
		const exchange = registry.acquire('team/first')!;
		registry.update(createDeployment(undefined));
		expect(client.isDestroyed).to.equal(false);
		exchange.release();
		expect(client.isDestroyed).to.equal(true);
	});

	it('keeps it while an exchange runs that began after a change of the settings', () => {
		const exchange = registry.acquire('team/first')!;
		registry.update(createDeployment(2));
		expect(registry.acquire('team/first')!.upstream.settings.maxConcurrency).to.equal(2);
		registry.update(createDeployment(undefined));
		exchange.release();
		expect(client.isDestroyed).to.equal(false);
	});

	// Guards against clients that stay open, each with its connections, after settings changed during an exchange.
	it('destroys it when the exchanges before and after a change of the settings have ended', () => {
		const exchanges = [registry.acquire('team/first')!];
		registry.update(createDeployment(2));
		exchanges.push(registry.acquire('team/first')!);
		for (const exchange of exchanges) {
			exchange.release();
		}

		registry.update(createDeployment(undefined));
		expect(client.isDestroyed).to.equal(true);
	});
});
