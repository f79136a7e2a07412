import js from '@eslint/js';
import ts from 'typescript-eslint';
import { exportedDocs } from './tools/eslint/exported-docs.mjs';
import { importCycles } from './tools/eslint/import-cycles.mjs';
import { shortNames } from './tools/eslint/short-names.mjs';

/** Folders and files in which all rules below apply. Entries are added to the list and never removed. */
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

/** The packages that each package may import. Packages of the product never import the simulation. */
const MAY_IMPORT = {
  runtime: [],
  snapshot: ['runtime'],
  controller: ['runtime', 'snapshot'],
  simulation: ['runtime', 'snapshot', 'controller'],
  'operator-cli': ['runtime', 'snapshot', 'controller'],
  'scale-test': ['runtime', 'controller'],
};
const packageImports = Object.entries(MAY_IMPORT).map(([name, allowed]) => ({
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
          {
            regex: '^(\\.\\./)+packages/',
            message: 'import other packages by their name, not by a relative path',
          },
        ],
      },
    ],
  },
}));

/** Rules of the presets that some folders do not follow yet. They are enabled in the folders and files of `WHOLE`. */
const ONLY_WHERE_WHOLE = [
  // Type assertions that are redundant since a type was made more precise.
  '@typescript-eslint/no-unnecessary-type-assertion',
  '@typescript-eslint/non-nullable-type-assertion-style',
  '@typescript-eslint/no-confusing-non-null-assertion',
  // Untyped access to parsed JSON, TOML and msgpack.
  '@typescript-eslint/no-unsafe-argument',
  '@typescript-eslint/no-unsafe-assignment',
  '@typescript-eslint/no-unsafe-member-access',
  '@typescript-eslint/no-unsafe-return',
  '@typescript-eslint/no-unsafe-unary-minus',
  // Style rules that a folder follows once its names have been revised.
  '@typescript-eslint/consistent-type-definitions',
  '@typescript-eslint/dot-notation',
  '@typescript-eslint/no-empty-function',
  '@typescript-eslint/prefer-find',
  '@typescript-eslint/prefer-includes',
  '@typescript-eslint/prefer-nullish-coalescing',
  '@typescript-eslint/prefer-optional-chain',
  // Fakes in tests that implement an asynchronous interface.
  '@typescript-eslint/require-await',
];

/**
 * Returns glob patterns of the files in `WHOLE` that have the extension. With `folder` (such as `/src`), returns only those below a
 * folder of that name.
 */
const filesOfWhole = (extension, folder = '') =>
  WHOLE.flatMap((path) => {
    if (!path.endsWith('.ts') && !path.endsWith('.mjs')) return [`${path}${folder}/**/*${extension}`];
    return path.endsWith(extension) && path.includes(`${folder}/`) ? [path] : [];
  });

export default ts.config(
  { ignores: ['target/', 'node_modules/'] },
  js.configs.recommended,
  ...ts.configs.recommended,
  ...packageImports,
  {
    files: ['packages/**/*.ts'],
    extends: [...ts.configs.recommendedTypeChecked, ...ts.configs.stylisticTypeChecked],
    languageOptions: { parserOptions: { project: './tsconfig.json', tsconfigRootDir: import.meta.dirname } },
    rules: {
      // The test runner awaits the promises of its tests.
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
    files: [...filesOfWhole('.ts'), ...filesOfWhole('.mjs')],
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
    files: filesOfWhole('.ts'),
    rules: Object.fromEntries(ONLY_WHERE_WHOLE.map((rule) => [rule, 'error'])),
  },
  {
    files: filesOfWhole('.ts', '/src'),
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: 'NewExpression[callee.name="Error"]',
          message:
            'Raise a tagged error that describes the failure. A plain Error is for programming errors only.',
        },
      ],
    },
  },
  {
    // Callbacks of the test runner may be long: splitting a test into functions would make it harder to read.
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
