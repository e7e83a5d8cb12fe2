/** A request that is in flight at two crashes as the only suspect is held back; its neighbour is cleared. */
import {Quarantine} from 'redwingspool/quarantine';

const quarantine = Quarantine.create('node-a');
quarantine.noteCrash(['poison', 'harmless'], 0);
quarantine.noteSuccess('harmless', 100);
quarantine.noteCrash(['poison', 'other'], 200);
console.log(['poison', 'harmless', 'other'].map(name => `${name}: ${quarantine.standing(name, 300)}`).join(', '));
