/**
 * Tests that the formats of stored and exchanged data do not change: values in the state service, the files of a snapshot, and
 * messages between controllers, which run different versions during a rolling update. The fixture was written by the version of
 * commit 7eb3c37 (support/capture.ts). Its data must be readable and must be written again byte for byte.
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

/** The content of the fixture. */
interface Fixture {
  /** The paths of all fields. */
  readonly fields: readonly string[];
  readonly values: Readonly<Record<string, Pairs>>;
  /** By path: pairs of requests and responses, in base64. */
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
const assertPresent = <A>(value: A | null): A => {
  assert.ok(value !== null, 'expected a value that can be decoded');
  return value;
};
const valueOf = (key: string): unknown =>
  JSON.parse(
    Object.values(fixture.values)
      .flat()
      .find(([k]) => k === key)![1],
  );

/** By kind of key: a function that decodes a stored value and encodes it again. */
const reencode: Readonly<Record<string, (value: never, key: string) => unknown>> = {
  's/j/a/': (value: { f?: number }, key) => encodeJob(decodeJob(key.slice(6), value, 1), value.f ?? 0),
  's/j/z/': (value) => encodeFinalState(decodeFinalState(value)),
  's/r/': (value, key) => {
    const logEntry = decodeLogEntry(Number(key.slice(4)), value, 1);
    return encodeLogEntry(logEntry.jobs, logEntry.head);
  },
  's/a/now': (value) => encodeAccounts(assertPresent(decodeAccounts([value])), 16_384)[0],
  's/a/p/': (value) => encodePage(assertPresent(decodePage([value])), 16_384)[0],
  's/p/': (value) => encodeBundle(decodeBundle(value)),
  's/y/': (value) => encodeFinalStates(decodeFinalStates(value)),
  's/c/o/': (value) => encodeOutcomeCounts(decodeOutcomeCounts(value)),
  's/c/e': (value) => encodeClassDurations(decodeClassDurations(value)),
  's/types/largest': (value) => new LargestJobs(value).hint(),
  's/types/weights': (value) => encodeImageWeights(new Map(Object.entries(value)), 16_384),
};
for (const [kind, reencodeValue] of Object.entries(reencode))
  test(`stored values are decoded and encoded again byte for byte: ${kind}`, () => {
    const pairs = fixture.values[kind]!;
    assert.ok(pairs.length > 0);
    for (const [key, json] of pairs)
      assert.equal(JSON.stringify(reencodeValue(JSON.parse(json) as never, key)), json);
  });

test('a stored job with fields that no recorded day contains is decoded and encoded again byte for byte', () => {
  const { p, ...rest } = valueOf(fixture.values['s/j/a/']![0]![0]) as Record<string, unknown>;
  const { c, o, s, u, n, r, i, h, z, b, e, l, t } = rest;
  const value = { c, o, s, u, n, r, i, h, z, b, e, l, t, w: 1, v: 1, f: 6, a: 7, d: '0', p, x: ['m'], k: 'k@1', q: 2, g: { 'job-7': [1500, 3, 77] }, y: 2 }; // prettier-ignore
  const json = JSON.stringify(value);
  assert.equal(JSON.stringify(encodeJob(decodeJob('job-1', JSON.parse(json), 1), 6)), json);
});

test('a calendar is decoded from its head and pages and encoded to the same keys and bytes', () => {
  const [[, head]] = fixture.values['s/c/head'] as [[string, string]];
  const pages = fixture.values['s/c/p/']!;
  const read = decodeHead(JSON.parse(head));
  const calendar = assertPresent(decodeCalendar(read, pages.map(([, json]) => JSON.parse(json) as unknown))); // prettier-ignore
  const longestPage = Math.max(...pages.map(([, json]) => json.length));
  const encoded = encodeCalendar(calendar, longestPage + 1);
  assert.equal(JSON.stringify(encoded.head), head);
  assert.deepEqual(
    encoded.pages.map((page) => [page.key, JSON.stringify(page.value)]),
    pages,
  );
});

test('a view reads the stored values that have no codec', () => {
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
  const [incarnation, leader, term, orphanedJob, rebuild, calm, settled, types] = pairs.map(
    ([, json]) => JSON.parse(json) as Record<string, unknown>,
  );
  const view = viewOf(pairs);
  const i = view.incarnation!;
  assert.equal(i.id, pairs[0]![0].slice('s/l/i/'.length));
  assert.deepEqual([i.generation, i.startedAt], [incarnation!.g, incarnation!.s]);
  assert.deepEqual([view.leader!.node, view.leader!.term], [leader!.node, leader!.term]);
  assert.deepEqual([view.term, view.attemptBase], [term!.term, term!.a]);
  const orphanedJobView = view.orphanedJobs.get(pairs[3]![0].slice('s/l/w/'.length))!;
  assert.deepEqual([orphanedJobView.since, orphanedJobView.tasks], [orphanedJob!.since, orphanedJob!.tasks]);
  assert.deepEqual([view.rebuild!.phase, view.rebuild!.heard], [rebuild!.phase, rebuild!.heard]);
  assert.deepEqual(view.machineTypes, types);
  assert.equal(settled, pairs[6]![1].slice(1, -1));
  assert.equal(calm, pairs[5]![1].slice(1, -1));
  assert.equal(view.damaged.size, 0);
  const weights = fixture.values['s/types/weights']!.at(-1)!;
  const machineImages = Object.values(JSON.parse(weights[1]) as Record<string, string[]>).flat();
  assert.deepEqual(
    [...decodeImageWeights(JSON.parse(weights[1])).keys()].sort(),
    [...new Set(machineImages)].sort(),
  );
});

test('the data that a day stores and sends has known keys and field names', () => {
  const { puts, messages } = recordDay('packages/simulation/experiments', 'empty', 1, 15);
  const writtenFields = new Set<string>();
  const addFields = (kind: string, value: unknown): void =>
    fieldsOf(kind, value).forEach((field) => writtenFields.add(field));
  for (const [key, json] of puts) addFields(kindOf(key), JSON.parse(json));
  for (const [path, requestBody] of messages) if (path === '/beat') addFields('/beat?', unpack(requestBody));
  assert.deepEqual([...new Set(puts.map(([key]) => kindOf(key)))].filter((k) => k.startsWith('unknown')), []); // prettier-ignore
  const known = new Set(fixture.fields);
  assert.deepEqual([...writtenFields].filter((field) => !known.has(field)), []); // prettier-ignore
  // These objects are written without a codec, so each of their fields must occur.
  const UNCODED_FIELDS = /^(s\/(leader|term|types\.|l\/i\/|l\/rebuild|l\/w\/)|\/beat\?)/;
  const missingFields = fixture.fields.filter(
    (field) => UNCODED_FIELDS.test(field) && !writtenFields.has(field),
  );
  assert.deepEqual(missingFields.filter((field) => !field.startsWith('s/l/w/') && !field.startsWith('/beat?.news')), []); // prettier-ignore
  assert.deepEqual(new Set(Object.keys(fixture.values)), new Set(KINDS));
});

test('a snapshot is written to the same files, read with the same content and restored with the same transactions', async () => {
  const { small, large } = fixture;
  const files = await snapshotFiles(small.of);
  assert.deepEqual(
    Object.fromEntries([...files].map(([name, data]) => [name, data.toString('base64')])),
    small.files,
  );
  assert.deepEqual(await readSnapshot(filesOf(small.files)), small.read);
  assert.deepEqual(await readSnapshot(filesOf(large.files)), large.read);
  assert.deepEqual(JSON.parse(JSON.stringify(await restoreWrites(filesOf(small.files)))), fixture.restored);
});

/** By path: functions that decode and encode the request, and the response if it has its own format. */
const MESSAGE_REENCODERS: Readonly<Record<string, readonly ((body: Buffer) => Buffer)[]>> = {
  '/view': [
    (body) => encodeViewRequest(assertPresent(decodeViewRequest(body))),
    (body) => encodeViewResponse(assertPresent(decodeViewResponse(body))),
  ],
  '/durable': [
    (body) => encodeDurable(assertPresent(decodeDurable(body))),
    (body) => encodeDurable(assertPresent(decodeDurable(body))),
  ],
  '/witness': [(body) => encodeJobEvidence(assertPresent(decodeJobEvidence(body)))],
};
for (const [path, reencoders] of Object.entries(MESSAGE_REENCODERS))
  test(`messages are decoded and encoded again byte for byte: ${path}`, () => {
    const examples = fixture.messages[path]!;
    assert.ok(examples.length > 0);
    for (const pair of examples)
      reencoders.forEach((reencodeMessage, index) =>
        assert.equal(reencodeMessage(bytes(pair[index]!)).toString('base64'), pair[index]),
      );
  });

test('messages are encoded to the same bytes: /check', () => {
  assert.deepEqual(checks(fixture.values['s/j/a/']!).map((b) => b.toString('base64')), fixture.checks); // prettier-ignore
});

test('messages are decoded and encoded again byte for byte: /relay', () => {
  for (const [requestBody, responseBody] of fixture.messages['/relay']!) {
    const [term, bodies] = unpack(bytes(responseBody)) as [number, (string | null)[]];
    let encodedResponse = '';
    const handle = relayHandler((reports, respond) => {
      assert.ok(reports.length === bodies.length && reports.every((report) => report !== null));
      respond({ term, bodies });
    }, new HeartbeatReader());
    handle({ method: 'POST', path: '/relay', body: bytes(requestBody) }, (relayResponse) => {
      encodedResponse = Buffer.from(relayResponse.body).toString('base64');
    });
    assert.equal(encodedResponse, responseBody);
  }
});

test('messages are decoded and encoded again byte for byte, over a real link: /beat', async () => {
  const examples = fixture.messages['/beat']!;
  const received: string[] = [];
  const exchanges = Effect.gen(function* () {
    const address = { host: '127.0.0.1', port: 0 };
    const handleRequest = (request: HttpRequest): Effect.Effect<HttpResponse> => {
      received.push(`${request.path} ${request.body!.toString('base64')}`);
      return Effect.succeed({ status: 200, body: bytes(examples[received.length - 1]![1]) });
    };
    const server = yield* serveLinks(address, 16, handleRequest, () => false);
    const { port } = server.address() as AddressInfo;
    const links = new Links();
    for (const [requestBody, responseBody] of examples) {
      const peer = { label: 'n1', zone: 'a', address: `${address.host}:${port}` };
      const heartbeat = assertPresent(decodePeerHeartbeat(bytes(requestBody)));
      assert.deepEqual(
        yield* links.exchange(peer, heartbeat),
        assertPresent(decodePeerHeartbeat(bytes(responseBody))),
      );
      assert.equal(received.at(-1), `/beat ${requestBody}`);
      const peers: Pick<Peers, 'receive'> = {
        receive: () => assertPresent(decodePeerHeartbeat(bytes(responseBody))),
      };
      const response = respondToHeartbeat(peers, bytes(requestBody));
      assert.equal(Buffer.from(response.body).toString('base64'), responseBody);
    }
  });
  await Effect.runPromise(Effect.scoped(exchanges));
});
