/**
 * The text that is compiled: a CommonJS module as a function.
 */
'use strict';

/** @returns The source as a function of what a module is given. */
exports.wrap = source => `(function (require, module, exports, __filename, __dirname) {${source}\n})`;
