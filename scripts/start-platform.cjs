/**
 * Entry point of the gateway on the platform; the build puts it into `target/gateway.cjs` with the name of its folder.
 */
'use strict';

const process = require('node:process');

// The default action of SIGHUP would end the process while the program is read and compiled.
process.on('SIGHUP', () => {});

try {
	require('./BUILD_FOLDER/load-platform.cjs'); // eslint-disable-line import-x/no-unassigned-import -- runs the program
} catch (error) {
	console.log(JSON.stringify({
		level: 'error', message: 'platform: The program cannot be loaded; the process ends.', err: String(error), stack: error?.stack, timestamp: new Date().toISOString(),
	}));
	process.exitCode = 1;
}
