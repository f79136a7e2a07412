import js from '@eslint/js';
import ts from 'typescript-eslint';

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

export default ts.config(
  { ignores: ['target/', 'node_modules/'] },
  js.configs.recommended,
  ...ts.configs.recommended,
  ...downOnly,
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
