import js from '@eslint/js';
import ts from 'typescript-eslint';
import { exportedDocs } from './tools/eslint/exported-docs.mjs';
import { importCycles } from './tools/eslint/import-cycles.mjs';
import { shortNames } from './tools/eslint/short-names.mjs';

/** Folders (or files) that are whole: every rule below holds there. The list only grows. */
export const WHOLE = [
  'tools',
  'packages/scale-test',
  'packages/operator-cli',
  'packages/controller/src/api',
  'packages/controller/src/leadership',
  'packages/controller/src/provisioning',
  'packages/controller/src/settings',
  'packages/controller/src/state-store',
];

/** Imports between packages go down this table only; a product package never depends on the simulation. */
const MAY_IMPORT = {
  runtime: [],
  snapshot: ['runtime'],
  controller: ['runtime', 'snapshot'],
  simulation: ['runtime', 'snapshot', 'controller'],
  'operator-cli': ['runtime', 'snapshot', 'controller'],
  'scale-test': ['runtime', 'controller'],
};
const downOnly = Object.entries(MAY_IMPORT).map(([name, allowed]) => ({
  files: [`packages/${name}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            regex: `^@lilacvalve/(?!(${allowed.join('|') || '-'})/)`,
            message: `packages/${name} may import: ${allowed.join(', ') || 'libraries only'}`,
          },
          { regex: '^(\\.\\./)+packages/', message: 'other packages are imported by name' },
        ],
      },
    ],
  },
}));

/** Rules of the presets that some folders still break: on where a folder is whole, and one day everywhere. */
const ONLY_WHERE_WHOLE = [
  // An assertion that a later type made needless.
  '@typescript-eslint/no-unnecessary-type-assertion',
  '@typescript-eslint/non-nullable-type-assertion-style',
  '@typescript-eslint/no-confusing-non-null-assertion',
  // Parsed JSON, TOML and msgpack that is read without a type.
  '@typescript-eslint/no-unsafe-argument',
  '@typescript-eslint/no-unsafe-assignment',
  '@typescript-eslint/no-unsafe-member-access',
  '@typescript-eslint/no-unsafe-return',
  '@typescript-eslint/no-unsafe-unary-minus',
  // Style, mended together with the names of its folder.
  '@typescript-eslint/consistent-type-definitions',
  '@typescript-eslint/dot-notation',
  '@typescript-eslint/no-empty-function',
  '@typescript-eslint/prefer-find',
  '@typescript-eslint/prefer-includes',
  '@typescript-eslint/prefer-nullish-coalescing',
  '@typescript-eslint/prefer-optional-chain',
  // Stand-ins whose interface is asynchronous.
  '@typescript-eslint/require-await',
];

/** Patterns of what is whole among the files with an extension; with `folder`, only below a folder of that name. */
const whole = (extension, folder = '') =>
  WHOLE.flatMap((path) => {
    if (!path.endsWith('.ts') && !path.endsWith('.mjs')) return [`${path}${folder}/**/*${extension}`];
    return path.endsWith(extension) && path.includes(`${folder}/`) ? [path] : [];
  });

export default ts.config(
  { ignores: ['target/', 'node_modules/'] },
  js.configs.recommended,
  ...ts.configs.recommended,
  ...downOnly,
  {
    files: ['packages/**/*.ts'],
    extends: [...ts.configs.recommendedTypeChecked, ...ts.configs.stylisticTypeChecked],
    languageOptions: { parserOptions: { project: './tsconfig.json', tsconfigRootDir: import.meta.dirname } },
    rules: {
      // The runner waits for its tests itself.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', package: 'node:test', name: ['test', 'it', 'describe', 'suite'] },
          ],
        },
      ],
      ...Object.fromEntries(ONLY_WHERE_WHOLE.map((rule) => [rule, 'off'])),
    },
  },
  {
    files: [...whole('.ts'), ...whole('.mjs')],
    plugins: {
      local: {
        rules: { 'exported-docs': exportedDocs, 'import-cycles': importCycles, 'short-names': shortNames },
      },
    },
    rules: {
      'local/exported-docs': 'error',
      'local/import-cycles': 'error',
      'local/short-names': 'error',
      complexity: ['error', 15],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: whole('.ts'),
    rules: Object.fromEntries(ONLY_WHERE_WHOLE.map((rule) => [rule, 'error'])),
  },
  {
    files: whole('.ts', '/src'),
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: 'NewExpression[callee.name="Error"]',
          message:
            'Raise a tagged error that says what went wrong; a bare Error is for programming faults only.',
        },
      ],
    },
  },
  {
    // A test file is read from top to bottom: its runner's callbacks are no functions to cut.
    files: ['packages/*/test/**/*.ts'],
    rules: { 'max-lines-per-function': 'off', 'local/exported-docs': 'off' },
  },
  {
    files: ['tools/**/*.mjs'],
    languageOptions: {
      globals: Object.fromEntries(
        [
          'process',
          'console',
          'Buffer',
          'URL',
          'performance',
          'setTimeout',
          'clearTimeout',
          'setInterval',
          'clearInterval',
        ].map((name) => [name, 'readonly']),
      ),
    },
  },
);
