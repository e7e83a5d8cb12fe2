import {StoreClient} from '../../platform/store-client.js';
import {StoreWatch} from '../../platform/store-watch.js';
import {SystemClock} from '../../src/base/clock.js';
import {Log} from '../../src/base/log.js';
import {PlatformStore} from '../../standins/platform-store.js';
import {eventually} from '../support/eventually.js';

describe('watch of a table', () => {
	// Guards against a process that ends, or a watch that ends, because the handling of rows failed once (report FAULT).
	it('lists the table again after a handler failed', async () => {
		const clock = SystemClock.create();
		const log = Log.create('silent');
		const store = await PlatformStore.start();
		const client = StoreClient.create(clock, log, store.address);
		const keys: string[] = [];
		let failures = 2;
		const handle = (rows: ReadonlyArray<{readonly key: string}>) => {
			failures -= 1;
			if (failures >= 0) {
				throw new Error('not handled');
			}

			keys.push(...rows.map(({key}) => key));
		};

		store.putText('table', 'row', 'text');
		const watch = StoreWatch.create(clock, log, client, {table: 'table', waitMs: () => 300, batchDelayMs: 0}, {
			onList({rows}) {
				handle(rows);
			},
			onChanges({rows}) {
				handle(rows);
			},
			onReachabilityChange() {
				// Not what this test looks at.
			},
		});
		watch.setEnabled(true);
		await eventually(() => keys.includes('row'));
		watch.setEnabled(false);
		client.close();
		store.close();
	});
});
