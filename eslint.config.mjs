/** Airbnb's guide, with the few rules on which the house style or the concurrency model differ. */
import { configs, plugins } from 'eslint-config-airbnb-extended';

const HOUSE_RULES = {
  // Modules are named for the one concern that they export.
  'import-x/prefer-default-export': 'off',
  'import-x/extensions': 'off',
  // The workspaces' manifests declare what their sources import.
  'import-x/no-extraneous-dependencies': 'off',
  'import-x/no-unresolved': 'off',
  // Each connection and peer is one task that waits step by step.
  'no-await-in-loop': 'off',
  'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
  'no-constant-condition': ['error', { checkLoops: false }],
  // Functions are declared below their callers, so that a module reads from the top down.
  '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: true }],
  // Background tasks handle their own errors.
  'no-console': 'off',
  // What an abstract class asks for need not use the instance in every kind.
  'class-methods-use-this': 'off',
  '@typescript-eslint/class-methods-use-this': ['error', { ignoreOverrideMethods: true }],
  // An abstract class and its kinds may share a module.
  'max-classes-per-file': ['error', 5],
  // Files are read once, while a process starts or a connection opens.
  'n/no-sync': 'off',
  'n/no-unsupported-features/node-builtins': [
    'error',
    // Stable in Node 20 for what is used here: HTTP bodies, checksums, groups of test cases.
    {
      version: '>=20.15',
      ignores: ['Request', 'Response', 'ReadableStream', 'zlib.crc32', 'test.describe'],
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
    files: ['packages/**/*.{ts,mjs}', 'platform/**/*.ts'],
    rules: { ...HOUSE_RULES, ...FORMATTING_RULES },
  },
  {
    files: ['**/__tests__/**/*.ts'],
    // A test keeps its fakes beside its cases.
    rules: { 'max-classes-per-file': 'off' },
  },
  {
    files: ['packages/cli/**/*.ts', 'platform/**/*.ts'],
    // A command ends the process: its connections would keep it alive.
    rules: { 'n/no-process-exit': 'off' },
  },
];
