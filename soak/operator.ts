/**
 * The operator of a `PlatformDeployment`: writes configurations to the store and remembers them.
 */
import {type Random} from '../src/base/random.js';
import {type PlatformStore} from '../standins/platform-store.js';

/** A route of the manifest, as far as it changes. */
export type ManifestRoute = {
	name: string;
	readonly prefix: string;
	timeoutMs: number;
	service?: string | undefined;
	split?: ReadonlyArray<{readonly service: string; readonly weight: number}> | undefined;
};

/** The manifest, as on the platform's pages. */
export type Manifest = {
	version: number;
	routes: ManifestRoute[];
	services: Array<{readonly name: string}>;
	limits: {maxHeaderBytes: number; maxBodyBytes: number; headerTimeoutMs: number; idleTimeoutMs: number};
	tenants: Array<{readonly name: string; apiKeys: string[]; ratePerS?: number; burst?: number}>;
};

/** A version that was written. */
export type WrittenManifest = {
	readonly manifest: Manifest;
	/** When the store acknowledged it, in ms of `performance.now()`. */
	readonly at: number;
};

/** Time limit of routes, in ms; also the deadline that callers send. */
export const CALLER_TIMEOUT_MS = 3000;
const TIMEOUTS_MS = [1200, CALLER_TIMEOUT_MS, 5000] as const;
const IDLE_TIMEOUTS_MS = [600, 1500, 15_000] as const;
const HEADER_TIMEOUTS_MS = [1000, 3000] as const;
const BODY_LIMITS_BYTES = [2000, 65_536] as const;
const QUOTAS_PER_SECOND = [0, 2, 50] as const;
const plainPrefixes: ReadonlySet<string> = new Set(['/safe/', '/unsafe/']);
/** Prefixes of routes that come and go. */
export const extraPrefixes = ['/extra-1/', '/extra-2/', '/extra-3/'] as const;

/** Pool whose versions are rolled out, and the prefixes of its routes, which changes of the manifest leave alone. */
export const ROLLOUT_SERVICE = 'shop';
export const rolloutPrefixes = {safe: '/shop/', unsafe: '/shop-unsafe/'} as const;

const VERSION_PREFIX = '/version-';

/** @returns Prefix of the route that only this version has, which shows whether a VM has applied it. */
export function versionPrefix(version: number): string {
	return `${VERSION_PREFIX}${version}/`;
}

/** Changes of the manifest, by kind. */
export const manifestChanges = {
	moveRoute(manifest: Manifest, random: Random) {
		const route = pickPlainRoute(manifest, random);
		route.service = random.pick(['desk', 'counter']);
		route.split = undefined;
		addService(manifest, route.service);
	},
	splitRoute(manifest: Manifest, random: Random) {
		const route = pickPlainRoute(manifest, random);
		route.split = [{service: 'desk', weight: random.integer(1, 3)}, {service: 'counter', weight: random.integer(1, 3)}];
		route.service = undefined;
		addService(manifest, 'counter');
	},
	dropRoute(manifest: Manifest, random: Random) {
		const prefix = random.pick(extraPrefixes);
		manifest.routes = manifest.routes.filter(route => route.prefix !== prefix);
	},
	addRoute(manifest: Manifest, random: Random) {
		const prefix = random.pick(extraPrefixes);
		if (!manifest.routes.some(route => route.prefix === prefix)) {
			manifest.routes.push(createRoute(prefix, 'idempotent', prefix, 'desk'));
		}
	},
	renameRoute(manifest: Manifest, random: Random) {
		pickPlainRoute(manifest, random).name = `renamed-${manifest.version}`;
	},
	dropService(manifest: Manifest) {
		for (const route of manifest.routes.filter(({service, split}) => service === 'counter' || split !== undefined)) {
			route.service = 'desk';
			route.split = undefined;
		}

		manifest.services = manifest.services.filter(({name}) => name !== 'counter');
	},
	/** Withdraws a key, or adds it again. */
	withdrawKey(manifest: Manifest) {
		const crew = manifest.tenants.find(({name}) => name === 'crew')!;
		crew.apiKeys = crew.apiKeys.includes('key-2') ? ['key-1'] : ['key-1', 'key-2'];
	},
	/** Removes a customer, or adds it again. */
	removeTenant(manifest: Manifest) {
		const hasGuest = manifest.tenants.some(({name}) => name === 'guest');
		manifest.tenants = hasGuest ? manifest.tenants.filter(({name}) => name !== 'guest') : [...manifest.tenants, {name: 'guest', apiKeys: ['key-3']}];
	},
	timeout(manifest: Manifest, random: Random) {
		random.pick(manifest.routes.filter(({prefix, service}) => !prefix.startsWith(VERSION_PREFIX) && service !== ROLLOUT_SERVICE)).timeoutMs = random.pick(TIMEOUTS_MS);
	},
	idleLimit(manifest: Manifest, random: Random) {
		manifest.limits.idleTimeoutMs = random.pick(IDLE_TIMEOUTS_MS);
	},
	headerLimit(manifest: Manifest, random: Random) {
		manifest.limits.headerTimeoutMs = random.pick(HEADER_TIMEOUTS_MS);
	},
	bodyLimit(manifest: Manifest, random: Random) {
		manifest.limits.maxBodyBytes = random.pick(BODY_LIMITS_BYTES);
	},
	quota(manifest: Manifest, random: Random) {
		for (const tenant of manifest.tenants.filter(({name}) => name === 'guest')) {
			tenant.ratePerS = random.pick(QUOTAS_PER_SECOND);
			tenant.burst = tenant.ratePerS;
		}
	},
} as const satisfies Record<string, (manifest: Manifest, random: Random) => void>;

export type ManifestChange = keyof typeof manifestChanges;

/** Writes manifests, each with a later version. */
export class Operator {
	/** @param hasRollouts - Whether the manifest has the pool whose versions are rolled out. */
	static create(store: PlatformStore, hasRollouts = false): Operator {
		return new Operator(store, hasRollouts);
	}

	/** All versions that were written, in order. */
	readonly written: WrittenManifest[] = [];
	readonly #store: PlatformStore;
	readonly #hasRollouts: boolean;
	#version = 0;

	private constructor(store: PlatformStore, hasRollouts: boolean) {
		this.#store = store;
		this.#hasRollouts = hasRollouts;
	}

	/** The newest manifest. */
	get manifest(): Manifest {
		return this.written.at(-1)!.manifest;
	}

	/**
	 * Writes a manifest with the routes and limits of the beginning.
	 *
	 * @param extraRoutes - Prefixes of additional routes.
	 * @param apiKeys - API keys of the customer `crew`.
	 */
	writeBase(extraRoutes: readonly string[], apiKeys: readonly string[]): void {
		this.#write({
			version: 0,
			routes: [
				createRoute('stream', 'streaming', '/stream/', 'engines'),
				createRoute('safe', 'idempotent', '/safe/', 'desk'),
				createRoute('unsafe', 'non_idempotent', '/unsafe/', 'desk'),
				...(this.#hasRollouts ? createRolloutRoutes() : []),
				...extraRoutes.map(prefix => createRoute(prefix, 'idempotent', prefix, 'desk')),
			],
			services: [
				createService('engines', {slots: 4, stride: 1}),
				createService('desk'),
				createService('counter'),
				...(this.#hasRollouts ? [createService(ROLLOUT_SERVICE)] : []),
			],
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
			tenants: [
				{name: 'crew', apiKeys: [...apiKeys]},
				...(this.#hasRollouts ? [{name: 'bulk', apiKeys: ['key-4']}, {name: 'small', apiKeys: ['key-5']}] : []),
			],
		});
	}

	change(kind: ManifestChange, random: Random): void {
		const manifest = structuredClone(this.manifest);
		manifestChanges[kind](manifest, random);
		this.#write(manifest);
	}

	/**
	 * Writes again what the store has lost.
	 *
	 * @param since - Time of the copy that the store came back from, in ms of `performance.now()`.
	 * @param isInFull - Writes each version since then, and the newest one last; otherwise only that one.
	 */
	writeAgain(since: number, isInFull: boolean): void {
		const lost = isInFull ? this.written.filter(({at}) => at > since) : [];
		for (const {manifest} of [...lost, this.written.at(-1)!]) {
			this.#store.put('op', 'config', manifest);
		}
	}

	/** @returns Manifests that VMs may have had between two times if they apply one within `applyMs`. */
	inForce(from: number, until: number, applyMs: number): Manifest[] {
		return this.written
			.filter(({at}, index) => at <= until && (this.written[index + 1]?.at ?? Number.POSITIVE_INFINITY) + applyMs >= from)
			.map(({manifest}) => manifest);
	}

	#write(manifest: Manifest): void {
		this.#version += 1;
		manifest.version = this.#version;
		const prefix = versionPrefix(this.#version);
		manifest.routes = [...manifest.routes.filter(route => !route.prefix.startsWith(VERSION_PREFIX)), createRoute(prefix, 'idempotent', prefix, 'desk')];
		this.written.push({manifest, at: performance.now()});
		this.#store.put('op', 'config', manifest);
	}
}

function createRoute(name: string, kind: string, prefix: string, service: string): ManifestRoute {
	const isStream = kind === 'streaming';
	const route = {
		name, host: 'desk.example', prefix, kind, timeoutMs: CALLER_TIMEOUT_MS, targetLatencyMs: 300, priority: isStream ? 0 : 1, service,
	};
	return Object.assign(route, {
		maxAttempts: kind === 'non_idempotent' ? 1 : 2, public: false, sticky: isStream, resumable: isStream, gapTargetMs: 300,
	});
}

function createRolloutRoutes(): ManifestRoute[] {
	return [
		createRoute('shop', 'idempotent', rolloutPrefixes.safe, ROLLOUT_SERVICE),
		createRoute('shop-unsafe', 'non_idempotent', rolloutPrefixes.unsafe, ROLLOUT_SERVICE),
	];
}

function createService(name: string, engine?: {readonly slots: number; readonly stride: number}): Manifest['services'][number] {
	const service = {name, healthPath: '/health', maxConns: 100};
	return engine === undefined ? service : Object.assign(service, {engine});
}

function addService(manifest: Manifest, name: string): void {
	if (!manifest.services.some(service => service.name === name)) {
		manifest.services.push(createService(name));
	}
}

function pickPlainRoute(manifest: Manifest, random: Random): ManifestRoute {
	return random.pick(manifest.routes.filter(({prefix}) => plainPrefixes.has(prefix)));
}
