/** Loads the histogram library at its first use, to shorten the start. */
module.exports = {
  build: options => require('hdr-histogram-js/dist/index.js').build(options),
};
