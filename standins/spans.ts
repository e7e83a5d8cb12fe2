/**
 * Spans of time in which something was disturbed.
 */

/** Spans of time that may overlap, in ms of `performance.now()`. */
export class Spans {
	readonly #spans: Array<{readonly from: number; until: number}> = [];

	/** Begins a span; the returned function ends it. */
	begin(): () => void {
		const span = {from: performance.now(), until: Number.POSITIVE_INFINITY};
		this.#spans.push(span);
		return () => {
			span.until = Math.min(span.until, performance.now());
		};
	}

	/** @returns Whether one of the spans overlaps the given one. */
	overlaps(from: number, until: number): boolean {
		return this.#spans.some(span => span.from <= until && span.until >= from);
	}
}
