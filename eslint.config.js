import js from '@eslint/js';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import { importX } from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Lines of a module without comments and blank lines. */
const MAX_MODULE_LINES = 420;

/** Limits of the finished folders: lines, parameters and branches of one function. */
const MAX_FUNCTION_LINES = 50;
const MAX_PARAMETERS = 5;
const MAX_COMPLEXITY = 14;

/** Folders that hold all limits; what is left is listed in docs/ROADMAP.md under issue 18. */
const FINISHED = [
  'packages/*/src/**/*.ts',
  'src/*.ts',
  'src/{cloud,commands,config,peers,rebalancing,service,shards}/**/*.ts',
  'src/{singletons,store,transport,users,wire,workers}/**/*.ts',
  'src/core/*.ts',
  'src/core/{cancellation,jobs,ownership,placement,reachability,shard}/**/*.ts',
];

const SOURCES = ['src/**/*.ts', 'packages/*/src/**/*.ts'];
const TESTS = ['test/**/*.ts', 'packages/*/test/**/*.ts'];

/** The runner itself waits for what these return. */
const TEST_RUNNER = { from: 'package', name: ['test', 'describe'], package: 'node:test' };

const finishedOnly = (configs) => configs.map((config) => ({ ...config, files: FINISHED }));

export default tseslint.config(
  { ignores: ['**/target/', 'node_modules/', 'journal/', 'test/fixtures/production/'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  {
    rules: {
      eqeqeq: 'error',
      'no-console': 'error',
      'no-useless-rename': 'error',
      'object-shorthand': 'error',
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
    },
  },
  {
    files: [...SOURCES, ...TESTS],
    languageOptions: {
      parserOptions: {
        project: ['./tsconfig.test.json', './packages/*/tsconfig.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: { 'import-x': importX },
    settings: {
      'import-x/extensions': ['.ts', '.js'],
      'import-x/resolver-next': [createTypeScriptImportResolver({ project: 'tsconfig.test.json' })],
    },
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [TEST_RUNNER] },
      ],
      '@typescript-eslint/await-thenable': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      'import-x/no-cycle': 'error',
    },
  },
  {
    files: SOURCES,
    rules: {
      'max-lines': ['error', { max: MAX_MODULE_LINES, skipBlankLines: true, skipComments: true }],
    },
  },
  ...finishedOnly(tseslint.configs.strictTypeCheckedOnly),
  {
    files: FINISHED,
    plugins: { jsdoc },
    rules: {
      'max-lines-per-function': [
        'error',
        { max: MAX_FUNCTION_LINES, skipBlankLines: true, skipComments: true },
      ],
      '@typescript-eslint/max-params': ['error', { max: MAX_PARAMETERS }],
      complexity: ['error', MAX_COMPLEXITY],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          contexts: [
            'ClassDeclaration',
            'FunctionDeclaration',
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
      '@typescript-eslint/no-confusing-void-expression': [
        'error',
        { ignoreArrowShorthand: true, ignoreVoidReturningFunctions: true },
      ],
      // Numbers in messages need no conversion.
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      // An index is checked by the loop that made it, or its absence is handled with `noUncheckedIndexedAccess`.
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
);
