import js from '@eslint/js';
import tseslint from 'typescript-eslint';

/** lines of a module without comments; larger ones are split by concern */
const MODULE_LINES_MOST = 420;

/** the runner itself waits for what these return */
const TEST_RUNNER = { from: 'package', name: ['test', 'describe'], package: 'node:test' };

export default tseslint.config(
  { ignores: ['**/target/', 'node_modules/', 'journal/', 'test/fixtures/production/'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  {
    rules: {
      eqeqeq: 'error',
      'no-console': 'error',
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
    },
  },
  {
    files: ['src/**/*.ts', 'test/**/*.ts', 'packages/*/src/**/*.ts', 'packages/*/test/**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: ['./tsconfig.test.json', './packages/*/tsconfig.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [TEST_RUNNER] },
      ],
      '@typescript-eslint/await-thenable': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
    },
  },
  {
    files: ['src/**/*.ts', 'packages/*/src/**/*.ts'],
    rules: {
      'max-lines': ['error', { max: MODULE_LINES_MOST, skipBlankLines: true, skipComments: true }],
    },
  },
);
