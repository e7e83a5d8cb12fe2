/**
 * Checks that requests were handled as a configuration allows that may have been in force.
 */
import {type Manifest, type WrittenManifest} from './operator.js';
import {type SentCall} from './sent-call.js';

/** Time after its acknowledgement from which a version applies to requests, in ms, as in the platform's bounds. */
const APPLY_MS = 2500;
/** Time after the effect of a version from which no earlier one may apply at a VM, in ms; a VM that was paused is given more. */
const ROLLBACK_SLACK_MS = 250;
const PAUSED_ROLLBACK_SLACK_MS = 2000;

/** A request with what happened to it; one that several services ran counts once for each. */
export type HandledCall = {
	readonly call: SentCall;
	/** Name of the service that ran it. */
	readonly service: string | undefined;
	/** Whether neither the store nor the VM was disturbed shortly before the request and during it. */
	readonly isCalm: boolean;
	readonly isVmDisturbed: boolean;
};

/** @returns Whether a manifest allows what happened to the request. */
function allows({routes, tenants, limits}: Manifest, {call, service}: HandledCall): boolean {
	const route = routes.find(({prefix}) => prefix === call.prefix);
	const isKeyKnown = tenants.some(({apiKeys}) => apiKeys.includes(call.apiKey));
	const status = call.answer?.status;
	if (status === 404) {
		return route === undefined;
	}

	if (status === 401) {
		return !isKeyKnown;
	}

	if (status === 413) {
		return call.body.length > limits.maxBodyBytes;
	}

	const targets = route?.split?.map(target => target.service) ?? [route?.service];
	return service === undefined || (route !== undefined && isKeyKnown && targets.includes(service));
}

/**
 * @param calls - Requests of one start of a VM's process.
 * @param written - Versions in order.
 * @returns Descriptions of requests that were handled as no version allows that may have been in force.
 */
export function findConfigurationFaults(calls: readonly HandledCall[], written: readonly WrittenManifest[]): string[] {
	const faults: string[] = [];
	/** Versions whose effect was seen, with the time, in that order. */
	const seen: Array<{readonly version: number; readonly at: number}> = [];
	for (const handled of [...calls].sort((a, b) => a.call.endedAt - b.call.endedAt)) {
		const {call, isCalm, isVmDisturbed} = handled;
		const slackMs = isVmDisturbed ? PAUSED_ROLLBACK_SLACK_MS : ROLLBACK_SLACK_MS;
		const applied = isCalm ? written.findLast(({at}) => at + APPLY_MS <= call.startedAt)?.manifest.version ?? 0 : 0;
		const lastSeen = Math.max(0, ...seen.filter(({at}) => at + slackMs <= call.startedAt).map(({version}) => version));
		const allowing = written.filter(({manifest, at}) => at <= call.endedAt && allows(manifest, handled)).map(({manifest}) => manifest.version);
		const newest = allowing.at(-1) ?? -1;
		if (newest < Math.max(applied, lastSeen)) {
			const reason = newest < lastSeen ? `version ${lastSeen} had been seen there` : `version ${applied} had to apply`;
			const outcome = `status ${call.answer?.status}, run by ${handled.service}`;
			faults.push(`${call.id} at ${call.vm.name}: ${outcome}, as only versions up to ${newest} allow; ${reason} (${call.method} ${call.target}, ${call.apiKey})`);
		} else if (allowing.length > 0) {
			seen.push({version: allowing[0]!, at: call.endedAt});
		}
	}

	return faults;
}
