import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {versionKey} from '../../src/config/rows.js';
import {CommitFailure, INLINE_LIMIT_BYTES} from '../../src/config/settings-tree.js';
import {SimulatedCluster} from './simulated-cluster.js';

const big = Object.fromEntries(Array.from({length: 100}, (_, index) => [`o-${index}`, {keyDigests: [], description: 'x'.repeat(450)}]));

function operator(description: string, more: Record<string, unknown> = {}): {operators: Record<string, unknown>} {
	return {operators: {writer: {keyDigests: [], description}, ...more}};
}

describe('settings tree', () => {
	let world: SimulatedCluster;

	beforeEach(() => {
		world = new SimulatedCluster(1);
	});

	async function put(nodeId: string, fromVersion: number, subtree: unknown, team = 'team') {
		return world.advanceUntilSettled(world.nodes.get(nodeId)!.service.put({
			team, fromVersion, author: 'rana', subtree, force: false,
		}));
	}

	it('gives one of two racing operators the version and the other the difference', async () => {
		await world.boot('a', 'north');
		await world.boot('b', 'south');
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

	it('reports mistakes by path and changes nothing', async () => {
		await world.boot('a', 'north');
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
		const head = await world.advanceUntilSettled(world.nodes.get('a')!.tree.head('team'));
		expect(head.isOk && head.value).to.equal(undefined);
	});

	it('keeps a large body out of the table', async () => {
		const node = await world.boot('a', 'north');
		const answer = await put('a', 0, operator('big', big));
		expect(answer.isOk).to.equal(true);
		const row = await world.memory.get(versionKey('team', 1));
		expect(JSON.stringify(row)).to.have.length.below(600);
		const {head} = node.sync.subtrees.get('team')!;
		expect(head.bytes).to.be.greaterThan(INLINE_LIMIT_BYTES);
		const body = await world.advanceUntilSettled(node.tree.body(head));
		expect(body.isOk && body.value).to.be.a('string');
	});

	it('says that an outcome is unknown when every answer is lost', async () => {
		const node = await world.boot('a', 'north');
		await world.clock.advanceAsync(5000);
		node.table.faults.lateWrite = 1;
		const committed = world.advanceUntilSettled(node.tree.commit({
			team: 'team', fromVersion: 0, author: 'rana', body: '{}',
		}));
		await world.clock.advanceAsync(100);
		node.table.faults.isDown = true;
		const answer = await committed;
		expect(answer.isErr && answer.error).to.equal(CommitFailure.OutcomeUnknown);
	});

	it('keeps good settings when a stored body is corrupt, and lets operators replace it', async () => {
		const node = await world.boot('a', 'north');
		await put('a', 0, operator('good'));
		await world.memory.write({
			key: 'config/current/head/team', value: JSON.stringify({version: 2, digest: 'wrong', bytes: 2}), condition: {kind: 'any'}, token: 't',
		});
		await world.clock.advanceAsync(6000);
		expect(node.sync.status.applied).to.deep.equal([{team: 'team', version: 1}]);
		expect(node.sync.status.rejected[0]).to.include({team: 'team', version: 2});
		const late = await world.boot('b', 'north');
		await world.clock.advanceAsync(6000);
		// Without any subtree there is nothing to serve; ready, it would refuse every caller's key.
		expect(late.settings.isLoaded).to.equal(false);
		const repaired = await put('a', 2, operator('repaired'));
		expect(repaired.isOk && repaired.value.version).to.equal(3);
		await world.clock.advanceAsync(6000);
		expect(node.sync.status.rejected).to.deep.equal([]);
		expect(late.sync.status.applied).to.deep.equal([{team: 'team', version: 3}]);
		expect(late.settings.isLoaded).to.equal(true);
	});

	it('ignores a body from the store that no longer matches the schema', async () => {
		const node = await world.boot('a', 'north');
		await put('a', 0, operator('good'));
		await world.advanceUntilSettled(node.tree.commit({
			team: 'team', fromVersion: 1, author: 'older release', body: '{"unknown":1}',
		}));
		await world.clock.advanceAsync(6000);
		expect(node.sync.status.applied).to.deep.equal([{team: 'team', version: 1}]);
		expect(node.sync.status.rejected).to.have.length(1);
	});

	it('boots from peers while the store is down, and not at all without both', async () => {
		await world.boot('a', 'north');
		await put('a', 0, operator('good'));
		const fromPeers = await world.boot('b', 'south', true);
		await world.clock.advanceAsync(6000);
		expect(fromPeers.settings.isLoaded).to.equal(true);
		expect(fromPeers.sync.status).to.deep.include({source: 'peers', mayBeOld: true, readAgeMs: undefined});
		await world.stopNode('a');
		await world.stopNode('b');
		const alone = await world.boot('c', 'south', true);
		await world.clock.advanceAsync(60_000);
		expect(alone.settings.isLoaded).to.equal(false);
		alone.table.faults.isDown = false;
		await world.clock.advanceAsync(6000);
		expect(alone.sync.status).to.deep.include({source: 'store', mayBeOld: false});
	});

	it('reads less often while the store is down', async () => {
		const node = await world.boot('a', 'north', true);
		await world.clock.advanceAsync(60_000);
		expect(node.table.lists).to.be.within(14, 22);
	});

	it('refuses a change while a region is cut off, unless it is forced', async () => {
		const near = await world.boot('a', 'north');
		const far = await world.boot('b', 'south');
		await put('a', 0, operator('first'));
		far.table.faults.isDown = true;
		world.network.cutRegions.add('south');
		await world.clock.advanceAsync(8000);
		const refused = await put('a', 1, operator('second'));
		expect(refused.isErr && refused.error.err.kind).to.equal('region-unreachable');
		expect(refused.isErr && refused.error.regions).to.deep.equal(['south']);
		const forced = await world.advanceUntilSettled(near.service.put({
			team: 'team', fromVersion: 1, author: 'rana', subtree: operator('second'), force: true,
		}));
		expect(forced.isOk && forced.value.regions.map(({region, inForce}) => ({region, inForce})))
			.to.deep.equal([{region: 'north', inForce: true}, {region: 'south', inForce: false}]);
	});

	it('refuses a key digest that another team uses', async () => {
		await world.boot('a', 'north');
		const digest = 'a'.repeat(64);
		await put('a', 0, {operators: {rana: {keyDigests: [digest]}}});
		const stolen = await put('a', 0, {customers: {guest: {keyDigests: [digest]}}}, 'other');
		expect(stolen.isErr && stolen.error.problems![0]!.path).to.equal('customers.guest.keyDigests[0]');
	});

	it('does not take a body from a peer that does not match its digest', async () => {
		const node = await world.boot('a', 'north');
		await put('a', 0, operator('good'));
		const peer = world.network.join('liar', 'north');
		peer.serveBodies(() => JSON.stringify(operator('forged')));
		peer.publish({
			team: 'team', version: 9, digest: 'f'.repeat(64), bytes: Buffer.byteLength('x'),
		});
		await world.clock.advanceAsync(6000);
		expect(node.sync.status.applied).to.deep.equal([{team: 'team', version: 1}]);
		const next = await put('a', 1, operator('next'));
		expect(next.isOk).to.equal(true);
	});
});
