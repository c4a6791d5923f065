import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';

const root = (path: string) => fileURLToPath(new URL(path, import.meta.url));

export default defineConfig({
  resolve: {
    alias: [
      {
        find: /^@wisteriarun\/(standins|bench|demo)$/,
        replacement: root('./testing/$1/src/index.ts'),
      },
      {
        find: /^@wisteriarun\/([a-z-]+)$/,
        replacement: root('./packages/$1/src/index.ts'),
      },
    ],
  },
  test: {
    include: ['packages/*/test/**/*.test.ts', 'testing/*/test/**/*.test.ts'],
    testTimeout: 20_000,
    hookTimeout: 20_000,
    reporters: ['default', ['json', {outputFile: 'test-results.json'}]],
  },
});
