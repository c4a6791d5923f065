/**
 * Loads the histograms of the library at their first use, to shorten the start, and
 * without its WebAssembly, encodings and log format, which take longest to load. The
 * plugin in build.mjs puts this module in place of `hdr-histogram-js`; it matches only the
 * exact package name, so the path below leads to the library itself. The defaults are those
 * of the library.
 */
module.exports = {
  build: ({
    autoResize = true,
    bitBucketSize = 32,
    lowestDiscernibleValue = 1,
    highestTrackableValue = 2,
    numberOfSignificantValueDigits = 3,
  }) => {
    const {
      constructorFromBucketSize,
    } = require('hdr-histogram-js/dist/JsHistogramFactory.js');
    const Histogram = constructorFromBucketSize(bitBucketSize);
    const histogram = new Histogram(
      lowestDiscernibleValue,
      highestTrackableValue,
      numberOfSignificantValueDigits,
    );
    histogram.autoResize = autoResize;
    return histogram;
  },
};
