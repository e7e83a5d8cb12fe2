/**
 * Runs the gateway with its V8 code cache on the platform that `deploy/system.toml` is written for. V8 rejects a cache
 * from another version of Node.js or from a process with other flags, and then compiles the source.
 */
'use strict';

const {readFileSync} = require('node:fs');
const path = require('node:path');
const vm = require('node:vm');
const {wrap} = require('./wrap-platform.cjs');

const file = path.join(__dirname, 'program.cjs');
const script = new vm.Script(wrap(readFileSync(file, 'utf8')), {
	filename: 'program.cjs', cachedData: readFileSync(path.join(__dirname, 'program.cache')),
});
script.runInThisContext()(require, module, exports, file, __dirname);
