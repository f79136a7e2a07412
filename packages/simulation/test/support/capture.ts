/**
 * Writes the fixture of `stored-data.test.ts`. Run it on the version whose data formats the test has to preserve:
 *
 *     node tools/build.mjs --tool packages/simulation/test/support/capture.ts
 *     node target/capture.cjs packages/simulation/experiments packages/simulation/test/fixtures/stored-data.json.gz
 *
 * Without the second argument it only prints a digest of all data that each day stored and sent. Versions that differ only in
 * names have the same digests.
 */
import { writeFileSync } from 'node:fs';
import { gzipSync } from 'node:zlib';
import { unpack } from 'msgpackr';
import { checks, type Pairs, readSnapshot, restoreWrites, snapshotFiles } from './fixed-forms.js';
import { fieldsOf, kindOf, recordDay } from './recorded-day.js';

/** Experiments and seeds of the recorded days. */
const DAYS = [
  ['cutoffs', 3],
  ['cutoffs-lost', 2],
  ['lending', 1],
  ['damage', 1],
  ['empty', 1],
  ['empty-all', 1],
  ['crowded', 1],
] as const;
/** Number of examples for each set of fields of a kind of values or a path of messages. */
const EXAMPLES_PER_SET = 2;
/** Maximum number of sets of fields for each kind or path. */
const MAX_FIELD_SETS = 24;
/** Preferred maximum size of an example, in characters. */
const MAX_EXAMPLE_SIZE = 2500;

const [experiments = '', file] = process.argv.slice(2);
const values = new Map<string, Map<string, [string, string][]>>();
const messages = new Map<string, Map<string, [string, string][]>>();
const fields = new Set<string>();
const calendarPages = new Map<string, string>();
/** Keeps an example of a kind of values or a path of messages. */
const addExample = (
  groups: Map<string, Map<string, [string, string][]>>,
  kind: string,
  shape: Set<string>,
  example: [string, string],
): void => {
  const byFields = groups.get(kind) ?? new Map<string, [string, string][]>();
  groups.set(kind, byFields);
  const fieldNames = [...shape].sort().join();
  if (!byFields.has(fieldNames) && byFields.size >= MAX_FIELD_SETS) return;
  const list = byFields.get(fieldNames) ?? [];
  byFields.set(fieldNames, list);
  const size = (pair: [string, string]): number => pair[0].length + pair[1].length;
  if (list.some((pair) => pair[1] === example[1])) return;
  list.push(example);
  list.sort((one, other) => size(other) - size(one));
  // Prefers the largest examples below the maximum size, since they contain the most data.
  const fitting = list.filter((pair) => size(pair) < MAX_EXAMPLE_SIZE);
  byFields.set(
    fieldNames,
    fitting.length >= EXAMPLES_PER_SET ? fitting.slice(0, EXAMPLES_PER_SET) : list.slice(-EXAMPLES_PER_SET),
  );
};
const tryUnpack = (body: Buffer): unknown => {
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
    for (const field of shape) fields.add(field);
    if (kindOf(key) === 's/c/p/') calendarPages.set(key, json);
    addExample(values, kindOf(key), shape, [key, json]);
  }
  for (const [path, request, response] of day.messages) {
    const shape = new Set([
      ...fieldsOf(`${path}?`, tryUnpack(request)),
      ...fieldsOf(`${path}!`, tryUnpack(response)),
    ]);
    for (const field of shape) fields.add(field);
    addExample(messages, path, shape, [request.toString('base64'), response.toString('base64')]);
  }
}

const flatten = (groups: Map<string, Map<string, [string, string][]>>) =>
  Object.fromEntries([...groups].sort().map(([kind, byFields]) => [kind, [...byFields.values()].flat()]));
const base64 = (files: Map<string, Buffer>) =>
  Object.fromEntries([...files].sort().map(([name, data]) => [name, data.toString('base64')]));
const writeFixture = async (output: string): Promise<void> => {
  const examples: Record<string, Pairs> = flatten(values);
  // One complete calendar: a head and all its pages.
  const head = examples['s/c/head']![0]!;
  examples['s/c/head'] = [head];
  examples['s/c/p/'] = (JSON.parse(head[1]) as { pages: string[] }).pages.map((key) => [
    key,
    calendarPages.get(key)!,
  ]);
  const jobs = examples['s/j/a/']!;
  // Blocks below 512 bytes are not compressed, so that the bytes of these files do not depend on the version of zlib.
  const shortValues = [...examples['s/j/z/']!, ...examples['s/term']!, ...examples['s/l/w/']!];
  const small = await snapshotFiles(shortValues);
  const large = await snapshotFiles(jobs);
  const text = JSON.stringify({
    fields: [...fields].sort(),
    values: examples,
    messages: flatten(messages),
    checks: checks(jobs).map((message) => message.toString('base64')),
    small: { of: shortValues, files: base64(small), read: await readSnapshot(small) },
    large: { files: base64(large), read: await readSnapshot(large) },
    restored: await restoreWrites(small),
  });
  writeFileSync(output, gzipSync(text));
};
if (file !== undefined) void writeFixture(file);
