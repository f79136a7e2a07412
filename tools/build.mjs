/**
 * Bundles the service into target/: with --tests the tests instead, with --tool FILE one command-line program instead. A
 * bundle starts faster than separate modules, and the service starts with only a fraction of a core.
 */
import { build } from 'esbuild';
import { readdirSync, readFileSync, rmSync } from 'node:fs';
import { basename } from 'node:path';

const commonOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['msgpackr-extract'],
  // Packages are resolved by path, so that a build needs no workspace links in node_modules.
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
/** Builds a bundle for each test file. */
const buildTests = () => {
  const directories = readdirSync('packages')
    .filter((name) => readdirSync(`packages/${name}`).includes('test'))
    .map((name) => `packages/${name}/test`);
  // Deletes the previous build: the bundle of a moved or deleted test must not be run again.
  rmSync('target/test', { recursive: true, force: true });
  return build({
    ...commonOptions,
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

/** Builds a command-line program into a bundle with the name of its source file. */
const buildTool = (file) =>
  build({ ...commonOptions, entryPoints: [file], outfile: `target/${basename(file, '.ts')}.cjs` });

/** Builds the controller. */
const buildService = () =>
  build({
    ...commonOptions,
    entryPoints: ['packages/controller/src/main.ts'],
    outfile: 'target/main.cjs',
    minifySyntax: true,
  });

const toolFlag = process.argv.indexOf('--tool');
if (process.argv.includes('--tests')) await buildTests();
else if (toolFlag > 0) await buildTool(process.argv[toolFlag + 1]);
else await buildService();
