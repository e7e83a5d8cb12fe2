import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {versionKey} from '../../src/config/rows.js';
import {CommitFailure, INLINE_LIMIT_BYTES} from '../../src/config/settings-tree.js';
import {SimulatedCluster} from './simulated-cluster.js';

const largeOperators = Object.fromEntries(Array.from({length: 100}, (_, index) => [`o-${index}`, {keyDigests: [], description: 'x'.repeat(450)}]));

function operator(description: string, otherOperators: Record<string, unknown> = {}): {operators: Record<string, unknown>} {
	return {operators: {writer: {keyDigests: [], description}, ...otherOperators}};
}

describe('settings tree', () => {
	let cluster: SimulatedCluster;

	beforeEach(() => {
		cluster = new SimulatedCluster(1);
	});

	async function put(nodeId: string, fromVersion: number, subtree: unknown, team = 'team') {
		return cluster.advanceUntilSettled(cluster.nodes.get(nodeId)!.service.put({
			team, fromVersion, author: 'rana', subtree, force: false,
		}));
	}

	it('accepts one of two concurrent changes and reports the difference to the other operator', async () => {
		await cluster.boot('a', 'north');
		await cluster.boot('b', 'south');
		await put('a', 0, operator('first'));
		const [one, two] = await Promise.all([put('a', 1, operator('a')), put('b', 1, operator('b'))]);
		const [winner, loser] = one.isOk ? [one, two] : [two, one];
		expect(winner.isOk && winner.value.version).to.equal(2);
		expect(loser.isErr && loser.error.err.kind).to.equal('version-conflict');
		expect(loser.isErr && loser.error.difference).to.have.length(1);
		expect(loser.isErr && loser.error.difference![0]!.path).to.equal('operators.writer.description');
		const other = await put('a', 0, operator('other'), 'other-team');
		expect(other.isOk).to.equal(true);
	});

	it('reports validation errors by path and changes nothing', async () => {
		await cluster.boot('a', 'north');
		const answer = await put('a', 0, {
			customers: {guest: {keyDigests: ['x']}}, upstreams: {
				u: {
					service: 'constructor', url: 'http://127.0.0.1:1', region: 'r', dataCentre: 'd',
				},
			},
		});
		const paths = answer.isErr ? answer.error.problems!.map(problem => problem.path) : [];
		expect(paths).to.include('customers.guest.keyDigests[0]');
		const reference = await put('a', 0, {
			upstreams: {
				u: {
					service: 'constructor', url: 'http://127.0.0.1:1', region: 'r', dataCentre: 'd',
				},
			},
		});
		expect(reference.isErr && reference.error.problems![0]!.path).to.equal('upstreams.u.service');
		const head = await cluster.advanceUntilSettled(cluster.nodes.get('a')!.tree.head('team'));
		expect(head.isOk && head.value).to.equal(undefined);
	});

	it('does not store a large body in the table', async () => {
		const node = await cluster.boot('a', 'north');
		const answer = await put('a', 0, operator('big', largeOperators));
		expect(answer.isOk).to.equal(true);
		const row = await cluster.memory.get(versionKey('team', 1));
		expect(JSON.stringify(row)).to.have.length.below(600);
		const {head} = node.sync.subtrees.get('team')!;
		expect(head.bytes).to.be.greaterThan(INLINE_LIMIT_BYTES);
		const body = await cluster.advanceUntilSettled(node.tree.body(head));
		expect(body.isOk && body.value).to.be.a('string');
	});

	it('reports an unknown outcome when every response is lost', async () => {
		const node = await cluster.boot('a', 'north');
		await cluster.clock.advanceAsync(5000);
		node.table.faults.lateWrite = 1;
		const committed = cluster.advanceUntilSettled(node.tree.commit({
			team: 'team', fromVersion: 0, author: 'rana', body: '{}',
		}));
		await cluster.clock.advanceAsync(100);
		node.table.faults.isDown = true;
		const answer = await committed;
		expect(answer.isErr && answer.error).to.equal(CommitFailure.OutcomeUnknown);
	});

	it('keeps the active settings when a stored body is corrupt, and lets operators replace it', async () => {
		const node = await cluster.boot('a', 'north');
		await put('a', 0, operator('good'));
		await cluster.memory.write({
			key: 'config/current/head/team', value: JSON.stringify({version: 2, digest: 'wrong', bytes: 2}), condition: {kind: 'any'}, token: 't',
		});
		await cluster.clock.advanceAsync(6000);
		expect(node.sync.status.applied).to.deep.equal([{team: 'team', version: 1}]);
		expect(node.sync.status.rejected[0]).to.include({team: 'team', version: 2});
		const newNode = await cluster.boot('b', 'north');
		await cluster.clock.advanceAsync(6000);
		// Without any subtree there is nothing to serve; if the node became ready, it would reject every caller's key.
		expect(newNode.settings.isLoaded).to.equal(false);
		const repaired = await put('a', 2, operator('repaired'));
		expect(repaired.isOk && repaired.value.version).to.equal(3);
		await cluster.clock.advanceAsync(6000);
		expect(node.sync.status.rejected).to.deep.equal([]);
		expect(newNode.sync.status.applied).to.deep.equal([{team: 'team', version: 3}]);
		expect(newNode.settings.isLoaded).to.equal(true);
	});

	it('rejects a stored body that no longer matches the schema', async () => {
		const node = await cluster.boot('a', 'north');
		await put('a', 0, operator('good'));
		await cluster.advanceUntilSettled(node.tree.commit({
			team: 'team', fromVersion: 1, author: 'older release', body: '{"unknown":1}',
		}));
		await cluster.clock.advanceAsync(6000);
		expect(node.sync.status.applied).to.deep.equal([{team: 'team', version: 1}]);
		expect(node.sync.status.rejected).to.have.length(1);
	});

	it('loads settings from peers while the store is down, and none without store and peers', async () => {
		await cluster.boot('a', 'north');
		await put('a', 0, operator('good'));
		const fromPeers = await cluster.boot('b', 'south', true);
		await cluster.clock.advanceAsync(6000);
		expect(fromPeers.settings.isLoaded).to.equal(true);
		expect(fromPeers.sync.status).to.deep.include({source: 'peers', mayBeOld: true, readAgeMs: undefined});
		await cluster.stopNode('a');
		await cluster.stopNode('b');
		const isolated = await cluster.boot('c', 'south', true);
		await cluster.clock.advanceAsync(60_000);
		expect(isolated.settings.isLoaded).to.equal(false);
		isolated.table.faults.isDown = false;
		await cluster.clock.advanceAsync(6000);
		expect(isolated.sync.status).to.deep.include({source: 'store', mayBeOld: false});
	});

	it('polls less often while the store is down', async () => {
		const node = await cluster.boot('a', 'north', true);
		await cluster.clock.advanceAsync(60_000);
		expect(node.table.lists).to.be.within(14, 22);
	});

	it('rejects a change while a region is cut off, unless it is forced', async () => {
		const reachable = await cluster.boot('a', 'north');
		const unreachable = await cluster.boot('b', 'south');
		await put('a', 0, operator('first'));
		unreachable.table.faults.isDown = true;
		cluster.network.cutRegions.add('south');
		await cluster.clock.advanceAsync(8000);
		const refused = await put('a', 1, operator('second'));
		expect(refused.isErr && refused.error.err.kind).to.equal('region-unreachable');
		expect(refused.isErr && refused.error.regions).to.deep.equal(['south']);
		const forced = await cluster.advanceUntilSettled(reachable.service.put({
			team: 'team', fromVersion: 1, author: 'rana', subtree: operator('second'), force: true,
		}));
		expect(forced.isOk && forced.value.regions.map(({region, inForce}) => ({region, inForce})))
			.to.deep.equal([{region: 'north', inForce: true}, {region: 'south', inForce: false}]);
	});

	it('rejects a key digest that another team uses', async () => {
		await cluster.boot('a', 'north');
		const digest = 'a'.repeat(64);
		await put('a', 0, {operators: {rana: {keyDigests: [digest]}}});
		const conflicting = await put('a', 0, {customers: {guest: {keyDigests: [digest]}}}, 'other');
		expect(conflicting.isErr && conflicting.error.problems![0]!.path).to.equal('customers.guest.keyDigests[0]');
	});

	it('does not apply a body from a peer that does not match its digest', async () => {
		const node = await cluster.boot('a', 'north');
		await put('a', 0, operator('good'));
		const peer = cluster.network.join('forger', 'north');
		peer.serveBodies(() => JSON.stringify(operator('forged')));
		peer.publish({
			team: 'team', version: 9, digest: 'f'.repeat(64), bytes: Buffer.byteLength('x'),
		});
		await cluster.clock.advanceAsync(6000);
		expect(node.sync.status.applied).to.deep.equal([{team: 'team', version: 1}]);
		const next = await put('a', 1, operator('next'));
		expect(next.isOk).to.equal(true);
	});
});
