/** A tier under pressure keeps less important work out. */
import {Admission} from 'redwingspool/admission';
import {Invariants} from 'redwingspool/invariant';

const marks: number[] = [];
const admission = Admission.create(Invariants.create({throwOnViolation: true}), tier => {
	marks.push(tier);
});
const allowedAt = admission.prepareShed(0, 1000);
console.log(`marks sent for tiers ${marks.join(', ')}; tier 0 may be shed from ${allowedAt}; tier 1 is blocked until ${admission.blockedUntil(1)}`);
