/**
 * ESLint rule: no import cycles, including imports of types. The import graph of all modules under `packages` is read once
 * per run of ESLint.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';

/** Matches import and re-export statements; the first or second group is the module specifier. */
const IMPORT_STATEMENT = /^(?:import|export)\b[^;]*?\bfrom '([^']+)';|^import '([^']+)';/gm;

/** Returns the absolute path of the file that an import refers to; null: a library. */
const resolveImport = (root, file, specifier) => {
  if (specifier.startsWith('.')) return join(dirname(file), specifier.replace(/\.js$/, '.ts'));
  const [, packageName, path] = /^@lilacvalve\/([^/]+)\/(.+)$/.exec(specifier) ?? [];
  return packageName === undefined ? null : join(root, 'packages', packageName, 'src', `${path}.ts`);
};

/** Returns the files that each module imports. */
const readGraph = (root) => {
  const files = readdirSync(join(root, 'packages'), { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts') && !entry.path.includes('node_modules'))
    .map((entry) => join(entry.path, entry.name));
  return new Map(
    files.map((file) => {
      const specifiers = [...readFileSync(file, 'utf8').matchAll(IMPORT_STATEMENT)].map(
        (match) => match[1] ?? match[2],
      );
      return [
        file,
        specifiers
          .map((specifier) => resolveImport(root, file, specifier))
          .filter((target) => target !== null),
      ];
    }),
  );
};

/** Returns the shortest path of imports from one module to another, both included; null: there is no path. */
const pathBetween = (graph, from, to) => {
  const predecessors = new Map([[from, null]]);
  for (const file of predecessors.keys()) {
    if (file === to) {
      const path = [];
      for (let step = file; step !== null; step = predecessors.get(step)) path.unshift(step);
      return path;
    }
    for (const imported of graph.get(file) ?? [])
      if (!predecessors.has(imported)) predecessors.set(imported, file);
  }
  return null;
};

/** The import graph; null until the first import is checked. */
let graph = null;

/** The ESLint rule. Reports an import that is part of a cycle, with the path of imports back to the module. */
export const importCycles = {
  meta: {
    type: 'problem',
    messages: { cycle: 'Import cycle: {{path}}' },
    schema: [],
  },
  create: (context) => {
    const check = (node) => {
      if (!node.source) return;
      graph ??= readGraph(context.cwd);
      const target = resolveImport(context.cwd, context.filename, node.source.value);
      const path = target === null ? null : pathBetween(graph, target, context.filename);
      if (path === null) return;
      const names = path.map((file) => relative(context.cwd, file)).join(' -> ');
      context.report({ node, messageId: 'cycle', data: { path: names } });
    };
    return { ImportDeclaration: check, ExportNamedDeclaration: check, ExportAllDeclaration: check };
  },
};
