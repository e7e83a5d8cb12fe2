/**
 * `npm run bench:locality`: compares rules of leaving the data centre on simulated days of two customers.
 */
import process from 'node:process';
import Table from 'cli-table3';
import {type Upstream} from '../src/gateway/upstream-list.js';
import {type PlaceRequest} from '../src/allocation/allocation.js';
import {FixedLocality, Locality} from '../src/allocation/locality.js';
import {
	hotCustomer, type DayReport, type Deployment, LocalitySimulation, swingingDemand,
} from './locality-simulation.js';

const SEEDS = Number(process.argv[2] ?? 3);

/** A constant cost outside the data centre. */
class ConstantCost extends Locality {
	static create(outsideMs: number): ConstantCost {
		return new ConstantCost(outsideMs);
	}

	readonly #outsideMs: number;

	private constructor(outsideMs: number) {
		super();
		this.#outsideMs = outsideMs;
	}

	costMs({dataCentre}: PlaceRequest, upstream: Upstream): number {
		return upstream.dataCentre === dataCentre ? 0 : this.#outsideMs;
	}
}

const days: ReadonlyArray<readonly [string, Deployment]> = [
	['swinging demand, 260/s', swingingDemand],
	['swinging demand, 450/s', {...swingingDemand, requestsPerSecond: 450}],
	['swinging demand, 260/s, a dead data centre', {...swingingDemand, deadDataCentre: 1}],
	['swinging demand, 260/s, a slow region', {...swingingDemand, distantFactor: 3}],
	['a hot customer, 200/s', hotCustomer],
	['a hot customer, 360/s', {...hotCustomer, requestsPerSecond: 360}],
];
const rules: ReadonlyArray<readonly [string, Locality | undefined]> = [
	['never leaves', ConstantCost.create(Number.POSITIVE_INFINITY)],
	['one pool', ConstantCost.create(0)],
	['constants', FixedLocality.create()],
	['by room', undefined],
];

const table = new Table({head: ['day', 'rule', 'on time', 'worst 2 s', 'worst class', 'first event, ms', 'refusals', 'bytes: data centres', 'regions']});
for (const [day, deployment] of days) {
	for (const [rule, locality] of rules) {
		// Waiting lists of some thousand requests make the overloaded days of this rule slow.
		if (rule === 'never leaves' && deployment !== swingingDemand) {
			continue;
		}

		const reports = Array.from({length: SEEDS}, (_, index) => LocalitySimulation.run(deployment, index + 1, locality === undefined ? {} : {locality}));
		const mean = (read: (report: DayReport) => number) => reports.reduce((sum, report) => sum + read(report), 0) / SEEDS;
		table.push([
			day, rule, mean(({onTime}) => onTime).toFixed(3), mean(({worstWindows}) => worstWindows).toFixed(3), mean(({worstClass}) => worstClass).toFixed(3), mean(({firstMs}) => firstMs).toFixed(1), mean(({refused}) => refused).toFixed(0), mean(({dataCentreBytes}) => dataCentreBytes).toFixed(3), mean(({regionBytes}) => regionBytes).toFixed(3),
		]);
	}
}

console.log(table.toString());
