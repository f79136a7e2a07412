/**
 * Makes the fixtures of `stored-data.test.ts`. Run it on the code whose forms are to be held:
 *
 *     node tools/build.mjs --tool packages/simulation/test/support/capture.ts
 *     node target/capture.cjs packages/simulation/experiments packages/simulation/test/fixtures/stored-data.json.gz
 *
 * With the experiments' directory only, it prints a digest of all that each day stored and sent: code that differs in
 * names only has the same digests.
 */
import { writeFileSync } from 'node:fs';
import { gzipSync } from 'node:zlib';
import { unpack } from 'msgpackr';
import { checks, type Pairs, readSnapshot, restoreWrites, snapshotFiles } from './fixed-forms.js';
import { fieldsOf, kindOf, recordDay } from './recorded-day.js';

const DAYS = [
  ['cutoffs', 3],
  ['cutoffs-lost', 2],
  ['lending', 1],
  ['damage', 1],
  ['empty', 1],
  ['empty-all', 1],
  ['crowded', 1],
] as const;
/** Values of a kind, and messages of a path, that are kept: the shortest few for each set of fields. */
const KEPT = 2;
const SETS = 24;
const LARGEST = 2500;

const [experiments = '', file] = process.argv.slice(2);
const values = new Map<string, Map<string, [string, string][]>>();
const messages = new Map<string, Map<string, [string, string][]>>();
const fields = new Set<string>();
const pages = new Map<string, string>();
const keep = (
  of: Map<string, Map<string, [string, string][]>>,
  kind: string,
  shape: Set<string>,
  one: [string, string],
): void => {
  const sets = of.get(kind) ?? new Map<string, [string, string][]>();
  of.set(kind, sets);
  const name = [...shape].sort().join();
  if (!sets.has(name) && sets.size >= SETS) return;
  const list = sets.get(name) ?? [];
  sets.set(name, list);
  const size = (x: [string, string]): number => x[0].length + x[1].length;
  if (list.some((x) => x[1] === one[1])) return;
  list.push(one);
  list.sort((a, b) => size(b) - size(a));
  // The largest that are not too large: they say most.
  const fit = list.filter((x) => size(x) < LARGEST);
  sets.set(name, fit.length >= KEPT ? fit.slice(0, KEPT) : list.slice(-KEPT));
};
const unpacked = (body: Buffer): unknown => {
  try {
    return unpack(body);
  } catch {
    return null;
  }
};

for (const [name, seed] of DAYS) {
  const day = recordDay(experiments, name, seed);
  console.log(`${name} ${seed} ${day.puts.length} ${day.messages.length} ${day.digest}`);
  for (const [key, json] of day.puts) {
    const shape = fieldsOf(kindOf(key), JSON.parse(json));
    for (const f of shape) fields.add(f);
    if (kindOf(key) === 's/c/p/') pages.set(key, json);
    keep(values, kindOf(key), shape, [key, json]);
  }
  for (const [path, question, answer] of day.messages) {
    const shape = new Set([
      ...fieldsOf(`${path}?`, unpacked(question)),
      ...fieldsOf(`${path}!`, unpacked(answer)),
    ]);
    for (const f of shape) fields.add(f);
    keep(messages, path, shape, [question.toString('base64'), answer.toString('base64')]);
  }
}

const flat = (of: Map<string, Map<string, [string, string][]>>) =>
  Object.fromEntries([...of].sort().map(([kind, sets]) => [kind, [...sets.values()].flat()]));
const base64 = (files: Map<string, Buffer>) =>
  Object.fromEntries([...files].sort().map(([name, data]) => [name, data.toString('base64')]));
const main = async (to: string): Promise<void> => {
  const kept: Record<string, Pairs> = flat(values);
  // One calendar whole: a head and all of its pages.
  const head = kept['s/c/head']![0]!;
  kept['s/c/head'] = [head];
  kept['s/c/p/'] = (JSON.parse(head[1]) as { pages: string[] }).pages.map((key) => [key, pages.get(key)!]);
  const jobs = kept['s/j/a/']!;
  // Blocks below 512 bytes are not deflated: what deflating makes of the others is up to zlib.
  const short = [...kept['s/j/z/']!, ...kept['s/term']!, ...kept['s/l/w/']!];
  const small = await snapshotFiles(short);
  const large = await snapshotFiles(jobs);
  const text = JSON.stringify({
    fields: [...fields].sort(),
    values: kept,
    messages: flat(messages),
    checks: checks(jobs).map((b) => b.toString('base64')),
    small: { of: short, files: base64(small), read: await readSnapshot(small) },
    large: { files: base64(large), read: await readSnapshot(large) },
    restored: await restoreWrites(small),
  });
  writeFileSync(to, gzipSync(text));
};
if (file !== undefined) void main(file);
