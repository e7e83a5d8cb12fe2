/**
 * Checks a process's own account of the requests that it has read, from its metrics.
 */

/** Reads the value of a metric, summed over its labels, from the Prometheus text format. */
function sumMetric(text: string, name: string, labels = ''): number {
	let sum = 0;
	for (const line of text.split('\n')) {
		const [series = '', value] = line.split(' ');
		if (series.split('{')[0] === name && series.includes(labels)) {
			sum += Number(value);
		}
	}

	return sum;
}

/**
 * @param text - Metrics in the Prometheus text format.
 * @returns Descriptions of what is wrong with the account.
 */
export function findAccountFaults(text: string): string[] {
	const begun = sumMetric(text, 'redwingspool_requests_begun_total');
	const ended = sumMetric(text, 'redwingspool_request_ends_total');
	const open = sumMetric(text, 'redwingspool_requests_open');
	const lost = sumMetric(text, 'redwingspool_request_ends_total', 'end="lost"');
	const violated = sumMetric(text, 'redwingspool_promises_violated_total');
	const faults: string[] = [];
	if (begun === 0 || begun !== ended + open) {
		faults.push(`${begun} requests begun, ${ended} ended, ${open} open`);
	}

	if (lost > 0) {
		faults.push(`${lost} requests ended without an answer`);
	}

	if (violated > 0) {
		faults.push(`${violated} violations of promises`);
	}

	return faults;
}
