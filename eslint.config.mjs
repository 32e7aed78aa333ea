/** Airbnb style guide, with overrides for the house style and the concurrency model. */
import { configs, plugins } from 'eslint-config-airbnb-extended';

const HOUSE_RULES = {
  // Modules are named for the one concern they export and have no default export.
  'import-x/prefer-default-export': 'off',
  'import-x/extensions': 'off',
  // Each workspace's manifest declares the dependencies of its sources.
  'import-x/no-extraneous-dependencies': 'off',
  'import-x/no-unresolved': 'off',
  // Each connection and each peer has one task, which awaits its steps in order.
  'no-await-in-loop': 'off',
  'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
  'no-constant-condition': ['error', { checkLoops: false }],
  // Functions are declared below their callers, so that a module reads from the top down.
  '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: true }],
  // Commands and benchmarks print to the console.
  'no-console': 'off',
  // A subclass may implement an abstract method without using the instance.
  'class-methods-use-this': 'off',
  '@typescript-eslint/class-methods-use-this': ['error', { ignoreOverrideMethods: true }],
  // An abstract class and its subclasses may share a module.
  'max-classes-per-file': ['error', 5],
  // Files are read synchronously, once, when a process starts or a connection opens.
  'n/no-sync': 'off',
  'n/no-unsupported-features/node-builtins': [
    'error',
    // Stable in Node 20 as used here: HTTP bodies, checksums and test suites.
    {
      version: '>=20.15',
      ignores: ['Headers', 'Request', 'Response', 'ReadableStream', 'zlib.crc32', 'test.describe'],
    },
  ],
  'n/no-unsupported-features/es-syntax': ['error', { version: '>=20.15', ignores: ['modules'] }],
  'n/no-unsupported-features/es-builtins': ['error', { version: '>=20.15' }],
};

const FORMATTING_RULES = Object.fromEntries(
  Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((rule) => [
    `@stylistic/${rule}`,
    'off',
  ]),
);

export default [
  {
    ignores: [
      'dist/',
      'target/',
      'journal/',
      'node_modules/',
      'packages/protocol/src/gen/',
      'scripts/',
      '*.mjs',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    files: ['packages/**/*.{ts,mjs}', 'platform/**/*.ts', 'soak/**/*.ts'],
    rules: { ...HOUSE_RULES, ...FORMATTING_RULES },
  },
  {
    files: ['**/__tests__/**/*.ts'],
    // A test file defines its own fakes.
    rules: { 'max-classes-per-file': 'off' },
  },
  {
    files: ['packages/cli/**/*.ts', 'platform/**/*.ts', 'soak/**/*.ts'],
    // Commands exit explicitly: open connections would keep the process alive.
    rules: { 'n/no-process-exit': 'off' },
  },
];
