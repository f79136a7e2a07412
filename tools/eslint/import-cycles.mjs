/**
 * ESLint rule: no module imports itself by way of others, types included. The graph of all modules under `packages` is
 * read once a run.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';

const FROM = /^(?:import|export)\b[^;]*?\bfrom '([^']+)';|^import '([^']+)';/gm;

/** The file that an import names, absolute; null: a library. */
const resolveImport = (root, file, specifier) => {
  if (specifier.startsWith('.')) return join(dirname(file), specifier.replace(/\.js$/, '.ts'));
  const [, packageName, path] = /^@lilacvalve\/([^/]+)\/(.+)$/.exec(specifier) ?? [];
  return packageName === undefined ? null : join(root, 'packages', packageName, 'src', `${path}.ts`);
};

const readGraph = (root) => {
  const files = readdirSync(join(root, 'packages'), { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts') && !entry.path.includes('node_modules'))
    .map((entry) => join(entry.path, entry.name));
  return new Map(
    files.map((file) => {
      const specifiers = [...readFileSync(file, 'utf8').matchAll(FROM)].map((match) => match[1] ?? match[2]);
      return [file, specifiers.map((name) => resolveImport(root, file, name)).filter((to) => to !== null)];
    }),
  );
};

/** The shortest way from one module to another along imports, both included; null: there is none. */
const pathBetween = (graph, from, to) => {
  const cameFrom = new Map([[from, null]]);
  for (const file of cameFrom.keys()) {
    if (file === to) {
      const path = [];
      for (let at = file; at !== null; at = cameFrom.get(at)) path.unshift(at);
      return path;
    }
    for (const next of graph.get(file) ?? []) if (!cameFrom.has(next)) cameFrom.set(next, file);
  }
  return null;
};

let graph = null;

/** The rule. Reports the import that closes a cycle, with the way back. */
export const importCycles = {
  meta: {
    type: 'problem',
    messages: { cycle: 'This import closes a cycle: {{path}}' },
    schema: [],
  },
  create: (context) => {
    const check = (node) => {
      if (!node.source) return;
      graph ??= readGraph(context.cwd);
      const to = resolveImport(context.cwd, context.filename, node.source.value);
      const path = to === null ? null : pathBetween(graph, to, context.filename);
      if (path === null) return;
      const names = path.map((file) => relative(context.cwd, file)).join(' -> ');
      context.report({ node, messageId: 'cycle', data: { path: names } });
    };
    return { ImportDeclaration: check, ExportNamedDeclaration: check, ExportAllDeclaration: check };
  },
};
