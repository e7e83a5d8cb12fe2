/**
 * Writes the compiled code of `target/program.cjs`. It is run with the flags of `deploy/system.toml`, as the engine takes
 * compiled code only from a process with the same flags.
 */
'use strict';

const {readFileSync, writeFileSync} = require('node:fs');
const vm = require('node:vm');
const {wrap} = require('./wrap-platform.cjs');

const script = new vm.Script(wrap(readFileSync('target/program.cjs', 'utf8')), {filename: 'program.cjs'});
writeFileSync('target/program.cache', script.createCachedData());
