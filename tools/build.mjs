/**
 * Bundles the service (with --tests the tests, with --tool FILE one tool) into target/. One file starts faster than a
 * tree of modules, and start-up is charged against a fraction of a core.
 */
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
    ...Object.fromEntries(
      readdirSync('packages').map((name) => [`@lilacvalve/${name}`, `./packages/${name}/src`]),
    ),
  },
  define: {
    'process.env.LILACVALVE_VERSION': JSON.stringify(JSON.parse(readFileSync('package.json')).version),
  },
  logLevel: 'warning',
};
/** All test files, one bundle each. */
const buildTests = () => {
  const directories = readdirSync('packages')
    .filter((name) => readdirSync(`packages/${name}`).includes('test'))
    .map((name) => `packages/${name}/test`);
  // A test that was moved or removed must not go on running from an older build.
  rmSync('target/test', { recursive: true, force: true });
  return build({
    ...common,
    entryPoints: directories.flatMap((directory) =>
      readdirSync(directory)
        .filter((file) => file.endsWith('.test.ts'))
        .map((file) => `${directory}/${file}`),
    ),
    outbase: 'packages',
    outdir: 'target/test',
    sourcemap: 'inline',
    outExtension: { '.js': '.cjs' },
  });
};

/** One program, named for its file. */
const buildTool = (file) =>
  build({ ...common, entryPoints: [file], outfile: `target/${basename(file, '.ts')}.cjs` });

const buildService = () =>
  build({
    ...common,
    entryPoints: ['packages/controller/src/main.ts'],
    outfile: 'target/main.cjs',
    minifySyntax: true,
  });

const tool = process.argv.indexOf('--tool');
if (process.argv.includes('--tests')) await buildTests();
else if (tool > 0) await buildTool(process.argv[tool + 1]);
else await buildService();
