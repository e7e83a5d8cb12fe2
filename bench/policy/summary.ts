/**
 * Aggregates the results of a policy over all seeds.
 */
import {type RunResult} from './simulation.js';

/** A column of the table; lists are by tier, with `-` for a tier without requests. */
export type Summary = {
	readonly policy: string;
	readonly goodput: string;
	readonly goodputByTier: string;
	readonly refusedByTier: string;
	readonly lostByTier: string;
	readonly lateByTier: string;
	readonly worstTopGoodput: string;
	readonly firstTokenP50: string;
	readonly firstTokenP95: string;
	readonly firstTokenP99: string;
	readonly wastedPrefill: string;
	readonly megabytesBetweenRegions: string;
	readonly inversionsOnNode: number;
	readonly inversionsAcrossNodes: number;
	readonly violations: number;
	/** Starts at a slowed upstream in bins of 0.5 s, relative to the rate before the slowdown. */
	readonly slowShares: string;
};

/** Aggregates the results of several runs of a policy. */
export function summarize(policy: string, results: readonly RunResult[]): Summary {
	const sum = (get: (result: RunResult) => number) => results.reduce((total, result) => total + get(result), 0);
	const tierCount = results[0]!.measures.tiers.length;
	const byTier = (format: (tier: number) => string) => Array.from({length: tierCount}, (_, tier) =>
		sum(({measures}) => measures.tiers[tier]!.offered) === 0 ? '-' : format(tier)).join(' ');
	const formatShare = (key: 'good' | 'refused' | 'lost' | 'late') => byTier(tier =>
		percent(sum(({measures}) => measures.tiers[tier]![key]) / sum(({measures}) => measures.tiers[tier]!.offered)));
	const sumTiers = (key: 'good' | 'offered') => sum(({measures}) => measures.tiers.reduce((total, tier) => total + tier[key], 0));
	const firstToken = (percentile: number) => byTier(tier => {
		const [first, ...rest] = results.map(({measures}) => measures.firstToken[tier]!);
		const merged = first!.copyCorrectedForCoordinatedOmission(0);
		for (const other of rest) {
			merged.add(other);
		}

		return String(merged.getValueAtPercentile(percentile));
	});
	const bins = results.map(({measures}) => measures.slowShares());
	return {
		policy,
		goodput: percent(sumTiers('good') / sumTiers('offered')),
		goodputByTier: formatShare('good'),
		refusedByTier: formatShare('refused'),
		lostByTier: formatShare('lost'),
		lateByTier: formatShare('late'),
		worstTopGoodput: percent(Math.min(...results.map(({measures}) => measures.tiers[0]!.good / measures.tiers[0]!.offered))),
		firstTokenP50: firstToken(50),
		firstTokenP95: firstToken(95),
		firstTokenP99: firstToken(99),
		wastedPrefill: percent(sum(({prefill, measures}) => prefill.repeated + measures.discardedPrefill) / sum(({prefill}) => prefill.total)),
		megabytesBetweenRegions: (sum(({measures}) => measures.bytesBetweenRegions) / results.length / 1e6).toFixed(1),
		inversionsOnNode: sum(({measures}) => measures.inversions(false)),
		inversionsAcrossNodes: sum(({measures}) => measures.inversions(true)),
		violations: sum(({violations}) => violations),
		slowShares: bins[0]!.map((_, bin) => (bins.reduce((total, list) => total + list[bin]!, 0) / bins.length).toFixed(2)).join(' '),
	};
}

function percent(value: number): string {
	return (value * 100).toFixed(1);
}
