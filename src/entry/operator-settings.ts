/**
 * Process settings of the operators' interface.
 */
import {z} from 'zod';
import {type SettingDefinitions} from '../base/settings.js';

/** Settings that `serve` adds to its own. */
export const operatorSettings = {
	'bootstrap-digest': {
		description: 'SHA-256 digest in hex of the key that makes a team\'s first operator, as `keys bootstrap` prints it',
		schema: z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 digest in hex').optional(),
		valueHint: 'DIGEST',
	},
} as const satisfies SettingDefinitions;
