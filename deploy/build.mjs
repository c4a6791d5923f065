/** Bundles the gateway into one file; the build step of the deploy file runs it. */
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const resolveFromRoot = path =>
  fileURLToPath(new URL(`../${path}`, import.meta.url));

/**
 * Replaces libraries that slow down the start by versions that load less or load
 * later.
 */
const fastStartPlugin = {
  name: 'lighter-start',
  setup: ({onResolve}) => {
    onResolve({filter: /^undici$/}, () => ({
      path: resolveFromRoot('deploy/undici-pool.cjs'),
    }));
    onResolve({filter: /^hdr-histogram-js$/}, () => ({
      path: resolveFromRoot('deploy/hdr-lazy.cjs'),
    }));
  },
};

await build({
  entryPoints: [resolveFromRoot('packages/gateway/src/main.ts')],
  outfile: resolveFromRoot('target/wisteriarun.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  alias: {
    '@wisteriarun/core': resolveFromRoot('packages/core/src/index.ts'),
    '@wisteriarun/platform': resolveFromRoot('platform/src/index.ts'),
    '@wisteriarun/runtime': resolveFromRoot('packages/runtime/src/index.ts'),
  },
  plugins: [fastStartPlugin],
  banner: {
    // Bundled CommonJS modules load Node's built-in modules with require().
    js: "import {createRequire as createBundleRequire} from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
