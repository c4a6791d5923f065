/**
 * Loads the histogram library at its first use, to shorten the start. The
 * plugin in build.mjs puts this module in place of `hdr-histogram-js`; it
 * matches only the exact package name, so the path below leads to the library
 * itself.
 */
module.exports = {
  build: options => require('hdr-histogram-js/dist/index.js').build(options),
};
