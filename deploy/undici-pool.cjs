/** The parts of undici that the gateway uses; the rest costs start-up time. */
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Pool = require('undici/lib/dispatcher/pool.js');

Dispatcher.prototype.request = require('undici/lib/api/api-request.js');

module.exports = {Pool};
