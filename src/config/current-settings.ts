/**
 * Holds the active settings and notifies listeners of changes.
 */
import {Deployment} from './deployment.js';

type Listener = (deployment: Deployment) => void;

/** Single source of the active settings for all components of a node. */
export class CurrentSettings {
	static create(): CurrentSettings {
		return new CurrentSettings();
	}

	#deployment = Deployment.create(new Map());
	#isLoaded = false;
	readonly #listeners = new Set<Listener>();

	private constructor() {
		// Instances come from `create`.
	}

	get deployment(): Deployment {
		return this.#deployment;
	}

	/** Whether settings have been applied; a node without settings is not ready. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** Activates settings and notifies the listeners. */
	apply(deployment: Deployment): void {
		this.#deployment = deployment;
		this.#isLoaded = true;
		for (const listener of this.#listeners) {
			listener(deployment);
		}
	}

	/**
	 * @param listener - Called immediately with the active settings, if any, and after each change.
	 * @returns A function that removes the listener.
	 */
	subscribe(listener: Listener): () => void {
		this.#listeners.add(listener);
		if (this.#isLoaded) {
			listener(this.#deployment);
		}

		return () => {
			this.#listeners.delete(listener);
		};
	}
}
