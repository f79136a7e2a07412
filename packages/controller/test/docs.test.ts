/** The pages that on-call engineers read name only files and log lines that exist. */
import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';

const sourceFiles = (folder: string): string[] =>
  readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return sourceFiles(path);
    return path.endsWith('.ts') ? [path] : [];
  });
const loggingPackages = ['packages/controller/src', 'packages/runtime/src'];
const sources = loggingPackages
  .flatMap(sourceFiles)
  .map((path) => readFileSync(path, 'utf8'))
  .join('\n');
const isLogged = (event: string): boolean => sources.includes(`'${event}'`);

const inCode = (page: string): string[] => [...page.matchAll(/`([^`\n]+)`/g)].map((match) => match[1]!);
const pathOf = (name: string): string => name.replace(/^src\//, 'packages/controller/src/');

for (const page of ['docs/architecture.md', 'docs/renames.md'])
  test(`${page} names files and folders that exist`, () => {
    const text = readFileSync(page, 'utf8');
    // Of a table of renames only the last column is of now.
    const present = page.endsWith('renames.md') ? text.replace(/^\| [^|]+\|/gm, '|') : text;
    const named = inCode(present).filter((name) => /^(src|packages|docs)\//.test(name));
    assert.ok(named.length > 1);
    assert.deepEqual(
      named.filter((name) => !existsSync(pathOf(name))),
      [],
    );
  });

test('the architecture page names log lines that are written', () => {
  const text = readFileSync('docs/architecture.md', 'utf8');
  const events = inCode(text).filter((name) => /^[a-z]+( [a-z]+)+$/.test(name) && !name.startsWith('npm '));
  assert.ok(events.length >= 8);
  assert.deepEqual(
    events.filter((event) => !isLogged(event)),
    [],
  );
});

test('the table of renames names log lines that are written', () => {
  const [, table = ''] = readFileSync('docs/renames.md', 'utf8').split('## Log lines');
  const rows = table
    .split('##')[0]!
    .split('\n')
    .filter((line) => line.startsWith('| '))
    .slice(2);
  const events = rows.flatMap((row) =>
    row
      .split('|')[2]!
      .replace(/`[^`]*`/g, '')
      .split(/[,;]/)
      .map((event) => event.trim())
      .filter(Boolean),
  );
  assert.ok(events.length > 30);
  assert.deepEqual(
    events.filter((event) => !isLogged(event)),
    [],
  );
});

test('the runbook names log lines that are written', () => {
  const text = readFileSync('docs/operations.md', 'utf8');
  const cells = text
    .split('\n')
    .filter((line) => line.startsWith('| '))
    .flatMap((line) => inCode(line));
  const events = cells.flatMap((cell) => /^([a-z]+(?: [a-z]+)+)(?: [a-zA-Z]+=|$)/.exec(cell)?.[1] ?? []);
  const written = events.filter((event) => isLogged(event));
  assert.ok(written.length > 30, `only ${written.length} of ${events.length}: ${events.join(', ')}`);
});
