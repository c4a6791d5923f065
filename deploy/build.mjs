/**
 * Bundles the gateway into target/wisteriarun.mjs, a small file that loads the rest of
 * the program, target/program.mjs. The build command in deploy/system.toml runs this
 * script.
 */
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const resolveFromRoot = path =>
  fileURLToPath(new URL(`../${path}`, import.meta.url));

/**
 * Plugin that shortens the start of the gateway: it replaces two libraries by
 * wrappers that load fewer modules, or load them at their first use.
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
  entryPoints: {wisteriarun: resolveFromRoot('packages/gateway/src/main.ts')},
  outdir: resolveFromRoot('target'),
  outExtension: {'.js': '.mjs'},
  chunkNames: '[name]',
  splitting: true,
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
