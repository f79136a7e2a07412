/**
 * Holds the form of everything that outlives a program: values in the state service, a snapshot's files, and messages
 * between controllers, which may run another version while they are replaced one after the other. The fixture was written
 * by the code of commit 7eb3c37 (support/capture.ts). What it holds must be read, and written again to the byte.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { gunzipSync } from 'node:zlib';
import { Effect } from 'effect';
import { unpack } from 'msgpackr';
import { decodeAccounts, encodeAccounts } from '@lilacvalve/controller/accounts/codec';
import { decodePage, encodePage } from '@lilacvalve/controller/accounts/pages';
import {
  decodeCalendar,
  decodeHead,
  decodeOutcomeCounts,
  encodeCalendar,
  encodeOutcomeCounts,
} from '@lilacvalve/controller/calendar/codec';
import { decodeClassDurations, encodeClassDurations } from '@lilacvalve/controller/calendar/class-durations';
import {
  decodeFinalState,
  decodeJob,
  decodeFinalStates,
  decodeBundle,
  decodeLogEntry,
  encodeFinalState,
  encodeJob,
  encodeFinalStates,
  encodeBundle,
  encodeLogEntry,
} from '@lilacvalve/controller/jobs/codec';
import { decodePeerHeartbeat } from '@lilacvalve/controller/leadership/codec';
import { type Peers, respondToHeartbeat } from '@lilacvalve/controller/leadership/peers';
import { decodeImageWeights, encodeImageWeights } from '@lilacvalve/controller/lending/image-weights';
import { Links } from '@lilacvalve/controller/links';
import {
  decodeViewRequest,
  decodeDurable,
  decodeViewResponse,
  encodeViewRequest,
  encodeDurable,
  encodeViewResponse,
} from '@lilacvalve/controller/recovery/codec';
import { decodeJobEvidence, encodeJobEvidence } from '@lilacvalve/controller/recovery/evidence-store';
import { LargestJobs } from '@lilacvalve/controller/scheduler/largest-jobs';
import { HeartbeatReader } from '@lilacvalve/controller/workers/codec';
import { relayHandler } from '@lilacvalve/controller/workers/heartbeat-relay';
import type { HttpResponse, HttpRequest } from '@lilacvalve/runtime/http-server';
import { serveLinks } from '@lilacvalve/runtime/link';
import {
  checks,
  type Pairs,
  readSnapshot,
  restoreWrites,
  snapshotFiles,
  viewOf,
} from './support/fixed-forms.js';
import { fieldsOf, KINDS, kindOf, recordDay } from './support/recorded-day.js';

interface Fixture {
  /** Every field's name, with what it stands in. */
  readonly fields: readonly string[];
  readonly values: Readonly<Record<string, Pairs>>;
  /** By path: questions and answers, base64. */
  readonly messages: Readonly<Record<string, readonly (readonly [string, string])[]>>;
  readonly checks: readonly string[];
  readonly small: { readonly of: Pairs; readonly files: Record<string, string>; readonly read: unknown };
  readonly large: { readonly files: Record<string, string>; readonly read: unknown };
  readonly restored: unknown;
}
const fixture = JSON.parse(
  gunzipSync(readFileSync('packages/simulation/test/fixtures/stored-data.json.gz')).toString(),
) as Fixture;
const bytes = (text: string): Buffer => Buffer.from(text, 'base64');
const filesOf = (files: Record<string, string>): Map<string, Buffer> =>
  new Map(Object.entries(files).map(([name, data]) => [name, bytes(data)]));
const whole = <A>(v: A | null): A => {
  assert.ok(v !== null, 'cannot be read');
  return v;
};
const valueOf = (key: string): unknown =>
  JSON.parse(
    Object.values(fixture.values)
      .flat()
      .find(([k]) => k === key)![1],
  );

/** Reads a stored value and writes it again, by the kind of its key. */
const again: Readonly<Record<string, (value: never, key: string) => unknown>> = {
  's/j/a/': (v: { f?: number }, key) => encodeJob(decodeJob(key.slice(6), v, 1), v.f ?? 0),
  's/j/z/': (v) => encodeFinalState(decodeFinalState(v)),
  's/r/': (v, key) => {
    const record = decodeLogEntry(Number(key.slice(4)), v, 1);
    return encodeLogEntry(record.jobs, record.head);
  },
  's/a/now': (v) => encodeAccounts(whole(decodeAccounts([v])), 16_384)[0],
  's/a/p/': (v) => encodePage(whole(decodePage([v])), 16_384)[0],
  's/p/': (v) => encodeBundle(decodeBundle(v)),
  's/y/': (v) => encodeFinalStates(decodeFinalStates(v)),
  's/c/o/': (v) => encodeOutcomeCounts(decodeOutcomeCounts(v)),
  's/c/e': (v) => encodeClassDurations(decodeClassDurations(v)),
  's/types/largest': (v) => new LargestJobs(v).hint(),
  's/types/weights': (v) => encodeImageWeights(new Map(Object.entries(v)), 16_384),
};
for (const [kind, write] of Object.entries(again))
  test(`stored values are read and written to the byte: ${kind}`, () => {
    const pairs = fixture.values[kind]!;
    assert.ok(pairs.length > 0);
    for (const [key, json] of pairs)
      assert.equal(JSON.stringify(write(JSON.parse(json) as never, key)), json);
  });

test('stored values that no recorded day has: a job from which tasks were taken, withdrawn before its end', () => {
  const { p, ...rest } = valueOf(fixture.values['s/j/a/']![0]![0]) as Record<string, unknown>;
  const { c, o, s, u, n, r, i, h, z, b, e, l, t } = rest;
  const value = { c, o, s, u, n, r, i, h, z, b, e, l, t, w: 1, v: 1, f: 6, a: 7, d: '0', p, x: ['m'], k: 'k@1', q: 2, g: { 'job-7': [1500, 3, 77] }, y: 2 }; // prettier-ignore
  const json = JSON.stringify(value);
  assert.equal(JSON.stringify(encodeJob(decodeJob('job-1', JSON.parse(json), 1), 6)), json);
});

test('the calendar is read whole from its head and pages, and written to the same keys and bytes', () => {
  const [[, head]] = fixture.values['s/c/head'] as [[string, string]];
  const pages = fixture.values['s/c/p/']!;
  const read = decodeHead(JSON.parse(head));
  const calendar = whole(decodeCalendar(read, pages.map(([, json]) => JSON.parse(json) as unknown))); // prettier-ignore
  const longest = Math.max(...pages.map(([, json]) => json.length));
  const written = encodeCalendar(calendar, longest + 1);
  assert.equal(JSON.stringify(written.head), head);
  assert.deepEqual(
    written.pages.map((p) => [p.key, JSON.stringify(p.value)]),
    pages,
  );
});

test('a view takes from the store what is stored without a codec', () => {
  const kinds = [
    's/l/i/',
    's/leader',
    's/term',
    's/l/w/',
    's/l/rebuild',
    's/l/calm',
    's/l/settled',
    's/types',
  ];
  const pairs = kinds.map((kind) => fixture.values[kind]!.at(-1)!);
  const [born, leader, term, ward, rebuild, calm, settled, types] = pairs.map(
    ([, json]) => JSON.parse(json) as Record<string, unknown>,
  );
  const view = viewOf(pairs);
  const i = view.incarnation!;
  assert.equal(i.id, pairs[0]![0].slice('s/l/i/'.length));
  assert.deepEqual([i.generation, i.startedAt], [born!.g, born!.s]);
  assert.deepEqual([view.leader!.node, view.leader!.term], [leader!.node, leader!.term]);
  assert.deepEqual([view.term, view.attemptBase], [term!.term, term!.a]);
  const named = view.orphanedJobs.get(pairs[3]![0].slice('s/l/w/'.length))!;
  assert.deepEqual([named.since, named.tasks], [ward!.since, ward!.tasks]);
  assert.deepEqual([view.rebuild!.phase, view.rebuild!.heard], [rebuild!.phase, rebuild!.heard]);
  assert.deepEqual(view.machineTypes, types);
  assert.equal(settled, pairs[6]![1].slice(1, -1));
  assert.equal(calm, pairs[5]![1].slice(1, -1));
  assert.equal(view.damaged.size, 0);
  const weights = fixture.values['s/types/weights']!.at(-1)!;
  const on = Object.values(JSON.parse(weights[1]) as Record<string, string[]>).flat();
  assert.deepEqual([...decodeImageWeights(JSON.parse(weights[1])).keys()].sort(), [...new Set(on)].sort());
});

test('what a day stores and sends has the same keys and field names', () => {
  const { puts, messages } = recordDay('packages/simulation/experiments', 'empty', 1, 15);
  const written = new Set<string>();
  const add = (kind: string, value: unknown): void => fieldsOf(kind, value).forEach((f) => written.add(f));
  for (const [key, json] of puts) add(kindOf(key), JSON.parse(json));
  for (const [path, question] of messages) if (path === '/beat') add('/beat?', unpack(question));
  assert.deepEqual([...new Set(puts.map(([key]) => kindOf(key)))].filter((k) => k.startsWith('unknown')), []); // prettier-ignore
  const known = new Set(fixture.fields);
  assert.deepEqual([...written].filter((f) => !known.has(f)), []); // prettier-ignore
  // Written as they are, from objects of several slices: each of their fields is there.
  const plain = /^(s\/(leader|term|types\.|l\/i\/|l\/rebuild|l\/w\/)|\/beat\?)/;
  const missing = fixture.fields.filter((f) => plain.test(f) && !written.has(f));
  assert.deepEqual(missing.filter((f) => !f.startsWith('s/l/w/') && !f.startsWith('/beat?.news')), []); // prettier-ignore
  assert.deepEqual(new Set(Object.keys(fixture.values)), new Set(KINDS));
});

test('a snapshot has the same files and is read as it was', async () => {
  const { small, large } = fixture;
  const written = await snapshotFiles(small.of);
  assert.deepEqual(
    Object.fromEntries([...written].map(([name, data]) => [name, data.toString('base64')])),
    small.files,
  );
  assert.deepEqual(await readSnapshot(filesOf(small.files)), small.read);
  assert.deepEqual(await readSnapshot(filesOf(large.files)), large.read);
  assert.deepEqual(JSON.parse(JSON.stringify(await restoreWrites(filesOf(small.files)))), fixture.restored);
});

/** Reads a message and writes it again, by its path: the question, and the answer where it has a form of its own. */
const message: Readonly<Record<string, readonly ((body: Buffer) => Buffer)[]>> = {
  '/view': [
    (b) => encodeViewRequest(whole(decodeViewRequest(b))),
    (b) => encodeViewResponse(whole(decodeViewResponse(b))),
  ],
  '/durable': [(b) => encodeDurable(whole(decodeDurable(b))), (b) => encodeDurable(whole(decodeDurable(b)))],
  '/witness': [(b) => encodeJobEvidence(whole(decodeJobEvidence(b)))],
};
for (const [path, ways] of Object.entries(message))
  test(`messages are read and written to the byte: ${path}`, () => {
    const list = fixture.messages[path]!;
    assert.ok(list.length > 0);
    for (const pair of list)
      ways.forEach((way, n) => assert.equal(way(bytes(pair[n]!)).toString('base64'), pair[n]));
  });

test('messages are read and written to the byte: /check', () => {
  assert.deepEqual(checks(fixture.values['s/j/a/']!).map((b) => b.toString('base64')), fixture.checks); // prettier-ignore
});

test('messages are read and written to the byte: /relay', () => {
  for (const [question, answer] of fixture.messages['/relay']!) {
    const [term, bodies] = unpack(bytes(answer)) as [number, (string | null)[]];
    let answered = '';
    const handle = relayHandler((reports, say) => {
      assert.ok(reports.length === bodies.length && reports.every((r) => r !== null));
      say({ term, bodies });
    }, new HeartbeatReader());
    handle({ method: 'POST', path: '/relay', body: bytes(question) }, (a) => {
      answered = Buffer.from(a.body).toString('base64');
    });
    assert.equal(answered, answer);
  }
});

test('messages are read and written to the byte, over the real link: /beat', async () => {
  const list = fixture.messages['/beat']!;
  const asked: string[] = [];
  const all = Effect.gen(function* () {
    const here = { host: '127.0.0.1', port: 0 };
    const answered = (r: HttpRequest): Effect.Effect<HttpResponse> => {
      asked.push(`${r.path} ${r.body!.toString('base64')}`);
      return Effect.succeed({ status: 200, body: bytes(list[asked.length - 1]![1]) });
    };
    const server = yield* serveLinks(here, 16, answered, () => false);
    const { port } = server.address() as AddressInfo;
    const links = new Links();
    for (const [question, answer] of list) {
      const peer = { label: 'n1', zone: 'a', address: `${here.host}:${port}` };
      const beat = whole(decodePeerHeartbeat(bytes(question)));
      assert.deepEqual(yield* links.exchange(peer, beat), whole(decodePeerHeartbeat(bytes(answer))));
      assert.equal(asked.at(-1), `/beat ${question}`);
      const peers: Pick<Peers, 'receive'> = { receive: () => whole(decodePeerHeartbeat(bytes(answer))) };
      const said = respondToHeartbeat(peers, bytes(question));
      assert.equal(Buffer.from(said.body).toString('base64'), answer);
    }
  });
  await Effect.runPromise(Effect.scoped(all));
});
