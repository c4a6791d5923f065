/** Bundles the gateway into one file; the build step of the deploy file runs it. */
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const root = path => fileURLToPath(new URL(`../${path}`, import.meta.url));

/**
 * Replaces libraries that slow down the start by versions that load less or load
 * later.
 */
const lighterStart = {
  name: 'lighter-start',
  setup: ({onResolve}) => {
    onResolve({filter: /^undici$/}, () => ({
      path: root('deploy/undici-pool.cjs'),
    }));
    onResolve({filter: /^hdr-histogram-js$/}, () => ({
      path: root('deploy/hdr-lazy.cjs'),
    }));
  },
};

await build({
  entryPoints: [root('packages/gateway/src/main.ts')],
  outfile: root('target/wisteriarun.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  alias: {
    '@wisteriarun/core': root('packages/core/src/index.ts'),
    '@wisteriarun/platform': root('platform/src/index.ts'),
    '@wisteriarun/runtime': root('packages/runtime/src/index.ts'),
  },
  plugins: [lighterStart],
  banner: {
    // Bundled CommonJS modules load Node's built-in modules with require().
    js: "import {createRequire as createBundleRequire} from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
