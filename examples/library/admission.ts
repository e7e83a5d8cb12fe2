/** Admission control: while a tier is under pressure, less important tiers are blocked. */
import {Admission} from 'redwingspool/admission';
import {Invariants} from 'redwingspool/invariant';

const pressuredTiers: number[] = [];
const admission = Admission.create(Invariants.create({throwOnViolation: true}), tier => {
	pressuredTiers.push(tier);
});
const shedAllowedAt = admission.prepareShed(0, 1000);
console.log(`pressure announced for tiers ${pressuredTiers.join(', ')}; tier 0 may be shed from ${shedAllowedAt}; tier 1 is blocked until ${admission.blockedUntil(1)}`);
