/** A request that was the sole suspect of two crashes is quarantined; another request in flight at the first crash is cleared by its success. */
import {Quarantine} from 'redwingspool/quarantine';

const quarantine = Quarantine.create('node-a');
quarantine.noteLoss('engine-1', ['poison', 'harmless'], 0);
quarantine.noteSuccess('harmless', 100);
quarantine.noteLoss('engine-2', ['poison', 'other'], 200);
console.log(['poison', 'harmless', 'other'].map(name => `${name}: ${quarantine.standing(name, 300)}`).join(', '));
