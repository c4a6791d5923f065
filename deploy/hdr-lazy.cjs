/** Loads the histogram library at its first use; it costs start-up time. */
module.exports = {
  build: options => require('hdr-histogram-js/dist/index.js').build(options),
};
