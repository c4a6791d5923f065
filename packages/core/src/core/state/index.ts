/** Bundles, the fold of the log into a state, state images and routing. */
export {checkBundle, checkConsistency, parseBundle} from './bundle-check.js';
export {
  diffBundles,
  type BundleChange,
  type BundleDiff,
  type BundleSection,
} from './bundle-diff.js';
export {
  generateSigner,
  signBundle,
  verifySignedBundle,
  type GeneratedSigner,
} from './bundle-sign.js';
export {MAX_ISOLATED_KEYS} from './fold-isolate.js';
export {
  emptyState,
  fold,
  type ChangeRecord,
  type FoldResult,
  type SnapshotHeader,
  type Verdict,
} from './fold.js';
export {fromImage, toImage} from './image.js';
export {route} from './route.js';
