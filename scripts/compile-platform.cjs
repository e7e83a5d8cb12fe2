/**
 * Writes the V8 code cache of `target/program.cjs`. Must be run with the Node.js flags of `deploy/system.toml`, because V8
 * rejects a cache from a process with other flags.
 */
'use strict';

const {readFileSync, writeFileSync} = require('node:fs');
const vm = require('node:vm');
const {wrap} = require('./wrap-platform.cjs');

const script = new vm.Script(wrap(readFileSync('target/program.cjs', 'utf8')), {filename: 'program.cjs'});
writeFileSync('target/program.cache', script.createCachedData());
