/**
 * Loads only the parts of undici that the gateway uses, to shorten the start.
 * The plugin in build.mjs puts this module in place of `undici`.
 */
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Pool = require('undici/lib/dispatcher/pool.js');

// The main module of undici, which is not loaded, would add this method.
Dispatcher.prototype.request = require('undici/lib/api/api-request.js');

module.exports = {
  Pool,
  buildConnector: require('undici/lib/core/connect.js'),
};
