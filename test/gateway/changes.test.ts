import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {type Configuration, type Route} from '../../src/gateway/routing-table.js';
import {eventually} from '../support/eventually.js';
import {
	formatChunk, formatRequest, formatResponse, formatStreamHead, FrontHarness, type RawUpstream, type ReceivedRequest,
} from '../support/front-harness.js';

const KEY = 'key-1';

/** A change of the deployment beside a request. */
type Change = {
	readonly name: string;
	readonly apply: (harness: FrontHarness, configuration: Configuration) => void;
	/** Status of a request that is read completely only after the change. */
	readonly status: number;
	/** Status of a request that waited for a place before the change. */
	readonly waitingStatus?: number;
};

const changes: readonly Change[] = [
	{
		name: 'moves the route',
		apply(harness, {routes}) {
			harness.change({routes: changeRoutes(routes, {targets: [{pool: 'other', weight: 1}]})});
		},
		status: 503,
	},
	{
		name: 'splits the route',
		apply(harness, {routes}) {
			harness.change({routes: changeRoutes(routes, {targets: [{pool: 'desk', weight: 0}, {pool: 'other', weight: 9}]})});
		},
		status: 503,
	},
	{
		name: 'drops the route',
		apply(harness) {
			harness.change({routes: []});
		},
		status: 404,
	},
	{
		name: 'renames the route',
		apply(harness, {routes}) {
			harness.change({routes: routes.map(route => ({...route, name: `${route.name}-new`, prefix: `/new${route.prefix}`}))});
		},
		status: 404,
	},
	{
		name: 'drops the service',
		apply(harness, {pools}) {
			harness.change({pools: pools.filter(({name}) => name !== 'desk')});
		},
		status: 503,
	},
	{
		name: 'withdraws the key',
		apply(harness, {customers}) {
			harness.change({customers: customers.map(customer => ({...customer, apiKeys: ['another']}))});
		},
		status: 401,
	},
	{
		name: 'drops the customer',
		apply(harness) {
			harness.change({customers: []});
		},
		status: 401,
	},
	{
		name: 'lowers the quota',
		apply(harness, {customers}) {
			const quota = {
				perSecond: 0.001, burst: 1, isInTokens: false, plainTokens: 1,
			};
			harness.change({customers: customers.map(customer => ({...customer, quota}))});
		},
		status: 200,
	},
	{
		name: 'shortens the timeout',
		apply(harness, {routes}) {
			harness.change({routes: changeRoutes(routes, {timeoutMs: 1})});
		},
		status: 503,
	},
	{
		name: 'lengthens the timeout',
		apply(harness, {routes}) {
			harness.change({routes: changeRoutes(routes, {timeoutMs: 60_000})});
		},
		status: 200,
	},
	{
		name: 'lowers the limits of callers',
		apply(harness) {
			harness.setLimits({
				maxBodyBytes: 1, maxHeaderBytes: 1, headerTimeoutMs: 100, idleTimeoutMs: 1,
			});
		},
		status: 413,
	},
	{
		name: 'removes the upstream',
		apply(harness) {
			harness.state.replaceUpstreams([]);
		},
		status: 503,
		waitingStatus: 503,
	},
	{
		name: 'moves the upstream to another service',
		apply(harness) {
			harness.state.replaceUpstreams(harness.state.upstreams.all.map(upstream => ({...upstream, pool: 'other'})));
		},
		status: 503,
		waitingStatus: 503,
	},
	{
		name: 'drains the upstream',
		apply(harness) {
			harness.state.noteLeaving(harness.state.upstreams.all);
		},
		status: 503,
		waitingStatus: 503,
	},
	{
		name: 'begins the stop',
		apply(harness) {
			harness.beginStop(20_000);
		},
		status: 200,
	},
];

function changeRoutes(routes: readonly Route[], change: Partial<Route>): Route[] {
	return routes.map(route => ({...route, ...change}));
}

// Guards against requests that end without an answer beside a change, or get more than one.
describe('a change beside a request', () => {
	let harness: FrontHarness;
	let upstream: RawUpstream;

	beforeEach(async () => {
		harness = await FrontHarness.start();
		const {configuration} = harness.state.table!;
		harness.change({
			pools: [...configuration.pools, {...configuration.pools[0]!, name: 'other'}],
			customers: [{
				name: 'customer', apiKeys: [KEY], rank: undefined, quota: undefined,
			}],
			hasCustomers: true,
		});
		upstream = await harness.startUpstream('one', answer, {slots: 1});
	});

	afterEach(() => {
		harness.stop();
	});

	function answer({id, target, socket}: ReceivedRequest): void {
		socket.write(target.startsWith('/safe') || target.startsWith('/unsafe') ? formatResponse(id, 'done') : `${formatStreamHead(id)}${formatChunk('id: 1\ndata: a\n\n')}0\r\n\r\n`);
	}

	function ignore(): void {
		// The test answers later.
	}

	const routes = ['unsafe', 'resumable'];

	/** @param point - Brings a request to a point, and returns what brings it on. */
	async function check(change: Change, route: string, point: (send: (text: string) => void, request: string) => Promise<() => void>, status: number): Promise<void> {
		const caller = harness.connect();
		const request = formatRequest(route, 'a', `Authorization: Bearer ${KEY}\r\nX-Deadline-Ms: 1500\r\n`, 'body');
		const proceed = await point(text => caller.socket.write(text), request);
		change.apply(harness, harness.state.table!.configuration);
		await sleep(20);
		proceed();
		await eventually(() => harness.ends.some(([id]) => id === 'a'));
		await eventually(() => caller.text.endsWith('0\r\n\r\n') || caller.text.endsWith('done') || caller.text.endsWith('"}'));
		expect(caller.statuses).to.deep.equal([status]);
		expect(upstream.received.filter(({id}) => id === 'a').length, 'runs').to.equal(status === 200 ? 1 : 0);
		expect(harness.ends.filter(([id]) => id === 'a')).to.deep.equal([['a', status === 200 ? 'answered' : 'refused']]);
		expect(harness.violations).to.deep.equal([]);
		caller.socket.destroy();
	}

	for (const change of changes) {
		for (const route of routes) {
			it(`${change.name}, while the head of a ${route} request is read`, async () => check(change, route, readTo(30), change.status));
			it(`${change.name}, while the body of a ${route} request is read`, async () => check(change, route, readTo(-2), change.name === 'lowers the limits of callers' ? 200 : change.status));
			it(`${change.name}, while a ${route} request waits for a place`, async () => check(change, route, waitForPlace, change.waitingStatus ?? 200));
			it(`${change.name}, while a ${route} request runs`, async () => check(change, route, run, 200));
		}

		it(`${change.name}, in the middle of a stream`, async () => check(change, 'stream', runStream, 200));
	}

	function readTo(end: number) {
		return async (send: (text: string) => void, request: string) => {
			send(request.slice(0, end));
			await sleep(20);
			return () => {
				send(request.slice(end));
			};
		};
	}

	async function waitForPlace(send: (text: string) => void, request: string): Promise<() => void> {
		upstream.answer = ignore;
		const first = harness.connect();
		first.socket.write(formatRequest('unsafe', 'first', `Authorization: Bearer ${KEY}\r\nX-Deadline-Ms: 1400\r\n`));
		await eventually(() => upstream.received.length === 1);
		send(request);
		await eventually(() => harness.ledger.counts.begun === 2);
		upstream.answer = answer;
		return () => {
			answer(upstream.received[0]!);
		};
	}

	async function run(send: (text: string) => void, request: string): Promise<() => void> {
		upstream.answer = ignore;
		send(request);
		await eventually(() => upstream.received.length === 1);
		return () => {
			answer(upstream.received[0]!);
		};
	}

	async function runStream(send: (text: string) => void, request: string): Promise<() => void> {
		upstream.answer = ({id, socket}) => socket.write(formatStreamHead(id) + formatChunk('id: 1\ndata: a\n\n'));
		send(request);
		await eventually(() => upstream.received.length === 1);
		await sleep(20);
		return () => {
			upstream.received[0]!.socket.write(`${formatChunk('id: 2\ndata: b\n\n')}0\r\n\r\n`);
		};
	}
});
