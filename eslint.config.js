import js from '@eslint/js';
import ts from 'typescript-eslint';

export default ts.config(
  { ignores: ['target/', 'node_modules/'] },
  js.configs.recommended,
  ...ts.configs.recommended,
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
