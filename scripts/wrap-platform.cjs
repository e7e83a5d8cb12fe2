/**
 * Wraps the source of a CommonJS module in a function, as Node.js does, so that `vm.Script` can compile it.
 */
'use strict';

/** @returns The source as a function expression with the parameters of a CommonJS module. */
exports.wrap = source => `(function (require, module, exports, __filename, __dirname) {${source}\n})`;
