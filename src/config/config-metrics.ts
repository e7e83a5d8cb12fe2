/**
 * Prometheus metrics for the settings of a node.
 */
import {Gauge, type Registry} from 'prom-client';
import {type ConfigSync} from './config-sync.js';

/** Registers gauges whose values are collected on each scrape. */
export function registerConfigMetrics(registry: Registry, sync: ConfigSync): void {
	const registers: Registry[] = [];
	registry.registerMetric(new Gauge({
		name: 'redwingspool_config_version', help: 'Version of the subtree in force.', labelNames: ['team'], registers, collect() {
			for (const {team, version} of sync.status.applied) {
				this.set({team}, version);
			}
		},
	}));
	registry.registerMetric(new Gauge({
		name: 'redwingspool_config_may_be_old', help: '1 while the heads were not read recently.', registers, collect() {
			this.set(Number(sync.status.mayBeOld));
		},
	}));
	registry.registerMetric(new Gauge({
		name: 'redwingspool_config_rejected', help: 'Accepted versions that are not applied because their bodies are corrupt or invalid.', registers, collect() {
			this.set(sync.status.rejected.length);
		},
	}));
}
