/**
 * Measures the rates of false suspicions and false deaths while no node fails, in virtual time with 1% message loss.
 * `node --import tsx bench/members-suspects.ts --nodes 180 --seconds 60 --seed 1`
 */
import {parseArgs} from 'node:util';
import {MemberStatus} from '../src/members/member.js';
import {Cluster} from '../test/members/cluster.js';

const SETTLE_MS = 20_000;
const SAMPLE_MS = 1000;

const {values} = parseArgs({
	options: {
		nodes: {type: 'string', default: '180'}, seconds: {type: 'string', default: '60'}, seed: {type: 'string', default: '1'},
	},
});
const nodeCount = Number(values.nodes);
const sampleCount = Number(values.seconds);
const cluster = new Cluster({
	seed: Number(values.seed), regions: ['north', 'south'], maxDelayMs: 16, loss: 0.01,
});
for (let index = 0; index < nodeCount; index += 1) {
	cluster.start(index, [0, 1, 2]);
}

await cluster.run(SETTLE_MS);
const countSentBytes = () => [...cluster.nodes.values()].reduce((sum, {address}) => sum + cluster.network.sentBy(address).bytes, 0);
const bytesBefore = countSentBytes();
const counts = {suspect: 0, dead: 0};
for (let sample = 0; sample < sampleCount; sample += 1) {
	// eslint-disable-next-line no-await-in-loop -- samples are sequential in virtual time
	await cluster.run(SAMPLE_MS);
	for (const node of cluster.nodes.values()) {
		for (const {status} of cluster.view(node)) {
			counts.suspect += status === MemberStatus.Suspect ? 1 : 0;
			counts.dead += status === MemberStatus.Dead ? 1 : 0;
		}
	}
}

const views = nodeCount * (nodeCount - 1) * sampleCount;
console.log(JSON.stringify({
	nodes: nodeCount,
	seconds: sampleCount,
	seed: Number(values.seed),
	suspectViewsPerMillion: Math.round(counts.suspect / views * 1e6),
	deadViewsPerMillion: Math.round(counts.dead / views * 1e6),
	encodedBytesPerSecond: Math.round((countSentBytes() - bytesBefore) / nodeCount / sampleCount),
}));
