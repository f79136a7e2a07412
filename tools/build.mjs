// Bundles the service (with --tests the tests, with --tool FILE one tool) into target/. One file starts faster than a
// tree of modules, and start-up is charged against a fraction of a core.
import { build } from 'esbuild';
import { readdirSync, readFileSync, rmSync } from 'node:fs';
import { basename } from 'node:path';

const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['msgpackr-extract'],
  // By path, so that a build needs no links between workspaces in node_modules.
  alias: {
    '@lilacvalve/controller/support': './packages/controller/test/support',
    ...Object.fromEntries(readdirSync('packages').map((p) => [`@lilacvalve/${p}`, `./packages/${p}/src`])),
  },
  define: {
    'process.env.LILACVALVE_VERSION': JSON.stringify(JSON.parse(readFileSync('package.json')).version),
  },
  logLevel: 'warning',
};
const tool = process.argv.indexOf('--tool');
if (process.argv.includes('--tests')) {
  const tests = readdirSync('packages').flatMap((p) =>
    readdirSync(`packages/${p}`).includes('test')
      ? readdirSync(`packages/${p}/test`)
          .filter((f) => f.endsWith('.test.ts'))
          .map((f) => `packages/${p}/test/${f}`)
      : [],
  );
  // A test that was moved or removed must not go on running from an older build.
  rmSync('target/test', { recursive: true, force: true });
  await build({
    ...common,
    entryPoints: tests,
    outbase: 'packages',
    outdir: 'target/test',
    sourcemap: 'inline',
    outExtension: { '.js': '.cjs' },
  });
} else if (tool > 0) {
  const file = process.argv[tool + 1];
  await build({ ...common, entryPoints: [file], outfile: `target/${basename(file, '.ts')}.cjs` });
} else {
  await build({
    ...common,
    entryPoints: ['packages/controller/src/main.ts'],
    outfile: 'target/main.cjs',
    minifySyntax: true,
  });
}
