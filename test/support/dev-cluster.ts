/**
 * A node with stand-in upstreams in the process of the test.
 */
import {SystemClock} from '../../src/base/clock.js';
import {Deployment, digestKey} from '../../src/config/deployment.js';
import {subtreeSchema} from '../../src/config/schema.js';
import {LeastInFlightScheduler} from '../../src/policy/least-in-flight.js';
import {type Scheduler, type SchedulerEvents} from '../../src/policy/scheduler.js';
import {Node} from '../../src/serve/node.js';
import {MemoryTable} from '../../src/store/memory-table.js';
import {type Table} from '../../src/store/table.js';
import {BookingStandIn} from '../../standins/booking.js';
import {EngineStandIn, type EngineStandInOptions} from '../../standins/engine.js';
import {createStrictLog} from './strict-log.js';

export const testApiKey = 'test-key';

/** Options of a test cluster. */
export type TestClusterOptions = {
	readonly engineCount: number;
	readonly engine: EngineStandInOptions;
	readonly canResume?: boolean;
	readonly table?: Table;
	readonly createScheduler?: (events: SchedulerEvents) => Scheduler;
};

/** @returns A scheduler that keeps sending to failing upstreams, so that a test can observe each failed request. */
export function createUnselectiveScheduler(events: SchedulerEvents): Scheduler {
	return LeastInFlightScheduler.create(SystemClock.create(), events);
}

/** A node with its engines and booking service. */
export class TestCluster {
	static async start(options: TestClusterOptions): Promise<TestCluster> {
		const engines = await Promise.all(Array.from({length: options.engineCount}, async () => EngineStandIn.start(options.engine)));
		const booking = await BookingStandIn.start();
		const node = createTestNode(options.table ?? MemoryTable.create(), options.createScheduler);
		node.settings.apply(createDeployment(engines, booking, options.canResume ?? true));
		await node.start();
		return new TestCluster(node, engines, booking);
	}

	readonly node: Node;
	readonly engines: readonly EngineStandIn[];
	readonly booking: BookingStandIn;

	private constructor(node: Node, engines: readonly EngineStandIn[], booking: BookingStandIn) {
		this.node = node;
		this.engines = engines;
		this.booking = booking;
	}

	get url(): string {
		return `http://${this.node.address}`;
	}

	async stop(): Promise<void> {
		await this.node.stop();
		await Promise.all([...this.engines, this.booking].map(async standIn => standIn.stop()));
	}
}

/** @returns A node on a free port that throws on an invariant violation. */
export function createTestNode(table: Table, createScheduler?: (events: SchedulerEvents) => Scheduler): Node {
	return Node.create({
		clock: SystemClock.create(),
		log: createStrictLog(),
		platform: {table},
		host: '127.0.0.1',
		port: 0,
		region: 'local',
		dataCentre: 'local-1',
		throwOnViolation: true,
		createScheduler,
	});
}

/** @returns Settings of a team with a model service `advice` and a plain service `booking`. */
export function createDeployment(engines: readonly EngineStandIn[], booking: BookingStandIn, canResume: boolean): Deployment {
	const tiers = [{name: 'advice', deadlineMs: 10_000}, {name: 'summary', deadlineMs: 60_000}];
	const location = {region: 'local', dataCentre: 'local-1'};
	const upstreams = Object.fromEntries(engines.map((engine, index) => [`engine-${index + 1}`, {
		service: 'advice', url: engine.url, canResume, ...location,
	}]));
	return Deployment.create(new Map([['team', subtreeSchema.parse({
		services: {
			advice: {
				kind: 'model', models: ['crew-advice'], tiers, defaultTier: 'advice',
			},
			booking: {
				kind: 'plain', tiers, defaultTier: 'advice', operations: [],
			},
		},
		customers: {guest: {keyDigests: [digestKey(testApiKey)]}},
		upstreams: {...upstreams, 'booking-1': {service: 'booking', url: booking.url, ...location}},
	})]]));
}
