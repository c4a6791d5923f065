/** The one part of undici that the gateway uses; the rest costs start-up time. */
module.exports = {Pool: require('undici/lib/dispatcher/pool.js')};
