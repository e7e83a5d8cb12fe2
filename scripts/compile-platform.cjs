/**
 * Writes the V8 code cache of `program.cjs` in the folder that is given. Must be run with the Node.js flags of
 * `deploy/system.toml`, because V8 rejects a cache from a process with other flags.
 */
'use strict';

const {readFileSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');
const {wrap} = require('./wrap-platform.cjs');

const folder = process.argv[2];
const script = new vm.Script(wrap(readFileSync(path.join(folder, 'program.cjs'), 'utf8')), {filename: 'program.cjs'});
writeFileSync(path.join(folder, 'program.cache'), script.createCachedData());
