import gts from 'gts';
import tsdoc from 'eslint-plugin-tsdoc';

export default [
  {ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {project: './tsconfig.eslint.json'}},
    plugins: {tsdoc},
    rules: {'tsdoc/syntax': 'error'},
  },
  {
    files: ['**/*.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {process: 'readonly', console: 'readonly'},
    },
  },
  {
    files: ['deploy/*'],
    languageOptions: {
      globals: {URL: 'readonly', module: 'writable', require: 'readonly'},
    },
  },
  {
    rules: {
      // The workspace resolves its own packages through npm workspaces.
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      // The main modules of programs call process.exit().
      'n/no-process-exit': 'off',
    },
  },
];
