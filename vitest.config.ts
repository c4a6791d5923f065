import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';

const root = (path: string) => fileURLToPath(new URL(path, import.meta.url));

const FAILURES = [
  'testing/demo/test/failures/*.test.ts',
  'testing/soak/test/soak.test.ts',
];

export default defineConfig({
  // Tests import the sources of the packages. Only the processes that tests
  // start run the build output.
  resolve: {
    alias: [
      {
        find: /^@wisteriarun\/(standins|bench|demo|soak)$/,
        replacement: root('./testing/$1/src/index.ts'),
      },
      {
        find: /^@wisteriarun\/platform$/,
        replacement: root('./platform/src/index.ts'),
      },
      {
        find: /^@wisteriarun\/([a-z-]+)$/,
        replacement: root('./packages/$1/src/index.ts'),
      },
    ],
  },
  test: {
    testTimeout: 20_000,
    hookTimeout: 20_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'parts',
          include: [
            'packages/*/test/**/*.test.ts',
            'platform/test/**/*.test.ts',
            'testing/*/test/**/*.test.ts',
          ],
          exclude: FAILURES,
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {
          name: 'failures',
          include: FAILURES,
          // Each file runs a cluster of about eight processes. With more files
          // at once, a busy machine would break the time limits of the tests.
          maxWorkers: 4,
          // Runs after `parts`. Vitest requires separate groups for projects
          // that differ in `maxWorkers`.
          sequence: {groupOrder: 1},
        },
      },
    ],
    reporters: ['default', ['json', {outputFile: 'test-results.json'}]],
  },
});
