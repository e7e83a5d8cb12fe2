import {expect} from 'chai';
import {Registry} from 'prom-client';
import {CustomerMetrics} from '../../src/base/customer-metrics.js';
import {ErrorKind} from '../../src/base/errors.js';

describe('metrics by customer', () => {
	// Guards against time series without bound where customers come and go.
	it('count customers beyond a fixed number together, and lose none', async () => {
		const registry = new Registry();
		const metrics = CustomerMetrics.create(registry);
		for (let index = 0; index < 500; index += 1) {
			metrics.countGrant(`customer-${index}`, 2000);
			metrics.countRefusal(`customer-${index}`, ErrorKind.Overloaded, index % 2 === 0);
		}

		metrics.readWaiting = () => new Map([['customer-1', 3], ['customer-400', 2], ['', 1]]);
		const text = await registry.metrics();
		const values = (name: string) => [...text.matchAll(new RegExp(String.raw`^${name}\{(?<labels>[^\}]*)\} (?<value>\S+)$`, 'gmv'))]
			.map(match => ({labels: match.groups!.labels!, value: Number(match.groups!.value)}));
		const service = values('redwingspool_customer_service_seconds_total');
		expect(service).to.have.length(65);
		expect(service.reduce((sum, {value}) => sum + value, 0)).to.equal(1000);
		expect(values('redwingspool_customer_invited_returns_total').reduce((sum, {value}) => sum + value, 0)).to.equal(250);
		expect(values('redwingspool_customer_waiting')).to.deep.equal([{labels: 'customer="customer-1"', value: 3}, {labels: 'customer="other"', value: 3}]);
	});
});
