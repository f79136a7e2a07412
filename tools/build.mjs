// Bundles the service (and with --tests the tests) into target/. One file starts faster than a tree of
// modules, and start-up is charged against a fraction of a core.
import { build } from 'esbuild';
import { readdirSync, readFileSync } from 'node:fs';

const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['msgpackr-extract'],
  define: {
    'process.env.LILACVALVE_VERSION': JSON.stringify(JSON.parse(readFileSync('package.json')).version),
  },
  logLevel: 'warning',
};
if (process.argv.includes('--tests')) {
  const tests = readdirSync('test').filter((f) => f.endsWith('.test.ts'));
  await build({
    ...common,
    entryPoints: tests.map((f) => `test/${f}`),
    outdir: 'target/test',
    sourcemap: 'inline',
    outExtension: { '.js': '.cjs' },
  });
} else {
  await build({ ...common, entryPoints: ['src/main.ts'], outfile: 'target/main.cjs', minifySyntax: true });
}
