/**
 * Process-level settings of the operators' interface.
 */
import {z} from 'zod';
import {type SettingDefinitions} from '../base/settings.js';

/** Settings of the operators' interface, included in those of the `serve` command. */
export const operatorSettings = {
	'bootstrap-digest': {
		description: 'SHA-256 digest in hex of the key that creates a team\'s first operator, as printed by `keys bootstrap`',
		schema: z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 digest in hex').optional(),
		valueHint: 'DIGEST',
	},
} as const satisfies SettingDefinitions;
