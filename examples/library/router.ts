/** The router prefers an upstream of its own region. */
import {Invariants} from 'redwingspool/invariant';
import {Lane} from 'redwingspool/lane';
import {PrefixIndex} from 'redwingspool/prefix-index';
import {Random} from 'redwingspool/random';
import {Router} from 'redwingspool/router';
import {UpstreamState} from 'redwingspool/upstream-state';

const lane = Lane.create(undefined, 'north');
for (const region of ['south', 'north']) {
	const state = UpstreamState.create({
		id: `engine-${region}`, pool: 'team/advice', region, dataCentre: `${region}-1`, models: undefined, maxConcurrency: 8, isLeaving: false,
	}, 0);
	lane.setMember(state, true);
	lane.setFree(state, true);
}

const router = Router.create({
	region: 'north', random: Random.create(1), index: PrefixIndex.create(), invariants: Invariants.create({throwOnViolation: true}),
});
const choice = router.choose(lane, {
	id: 'work-1',
	pool: 'team/advice',
	customer: 'team/guest',
	customerWeight: 1,
	tier: 0,
	model: undefined,
	promptTokens: 400,
	expectedOutputTokens: 100,
	prefix: [],
	arrivedAt: 0,
	deadlineAt: 5000,
	fingerprint: 'f1',
	excluded: [],
}, false, 0);
console.log(`chosen: ${choice?.state.view.id}`);
