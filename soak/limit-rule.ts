/**
 * Checks the requests that an upstream received against the limits that it stated.
 */

/** Length of the window in which requests are counted, in ms. */
const WINDOW_MS = 4000;
/** Requests allowed in a window: this multiple of what the limit allows in it, and a fixed number. */
const TOLERANCE_RATIO = 1.5;
const TOLERANCE_COUNT = 5;
/** Time that VMs have to learn of a changed limit, in ms. */
const LEARNING_MS = 500;
const MS_PER_SECOND = 1000;

/** A time during which an upstream stated a limit. Times in ms. */
export type LimitSpan = {
	readonly perSecond: number;
	readonly from: number;
	until: number;
};

/** Options of the check. */
export type LimitRuleOptions = {
	/** Time from the first statement of a limit until the windows that are checked end, in ms. */
	readonly contactMs: number;
};

/**
 * @param arrivals - When requests reached the upstream, in order, whether they ran or not.
 * @param spans - In order, without overlaps.
 * @returns A description of the first window with too many requests; `undefined` if there is none.
 */
export function findLimitExcess(arrivals: readonly number[], spans: readonly LimitSpan[], {contactMs}: LimitRuleOptions): string | undefined {
	for (const [index, at] of arrivals.entries()) {
		const firstStatedAt = statedSince(spans, at);
		if (firstStatedAt === undefined || at < firstStatedAt + contactMs) {
			continue;
		}

		const perSecond = Math.max(...spans.filter(span => span.from <= at && span.until > at - WINDOW_MS - LEARNING_MS).map(span => span.perSecond));
		const allowed = (TOLERANCE_RATIO * perSecond * WINDOW_MS / MS_PER_SECOND) + TOLERANCE_COUNT;
		const count = index + 1 - arrivals.findIndex(earlier => earlier > at - WINDOW_MS);
		if (count > allowed) {
			return `${count} requests in ${WINDOW_MS} ms, ${Math.floor(allowed)} allowed at ${perSecond} a second, ${Math.round(at - firstStatedAt)} ms after the limit was stated`;
		}
	}

	return undefined;
}

/** @returns Since when the upstream has stated limits without interruption; `undefined` if it states none at that time. */
function statedSince(spans: readonly LimitSpan[], at: number): number | undefined {
	let index = spans.findIndex(({from, until}) => from <= at && at < until);
	while (index > 0 && spans[index - 1]!.until === spans[index]!.from) {
		index -= 1;
	}

	return spans[index]?.from;
}
