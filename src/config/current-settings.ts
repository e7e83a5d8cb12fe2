/**
 * Holds the settings in force and tells the parts of a change.
 */
import {Deployment} from './deployment.js';

type Listener = (deployment: Deployment) => void;

/** The one place where parts read settings from. */
export class CurrentSettings {
	static create(): CurrentSettings {
		return new CurrentSettings();
	}

	#deployment = Deployment.create(new Map());
	#isLoaded = false;
	readonly #listeners = new Set<Listener>();

	private constructor() {
		// Use `create`.
	}

	get deployment(): Deployment {
		return this.#deployment;
	}

	/** Whether any settings were ever applied; a node without settings is not ready. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** Puts settings in force and calls the listeners. */
	apply(deployment: Deployment): void {
		this.#deployment = deployment;
		this.#isLoaded = true;
		for (const listener of this.#listeners) {
			listener(deployment);
		}
	}

	/**
	 * @param listener - Called with the settings in force now, if any, and after each change.
	 * @returns Removes the listener.
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
