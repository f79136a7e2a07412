/** The leader's book: when a placement counts as gone. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, seconds } from '../src/base/micros.js';
import { JobCache } from '../src/jobs/cache.js';
import { encodeJob } from '../src/jobs/codec.js';
import { activeKey } from '../src/jobs/keys.js';
import type { Job } from '../src/jobs/model.js';
import { Book } from '../src/workers/book.js';
import { worldSettings } from './world/world.js';

// A machine the new leader had never heard of once lapsed without waiting for enough nodes to know the term.
test('leases of unheard machines run out only after the new term is acknowledged', () => {
  const cache = new JobCache();
  const zero = 0 as Micros;
  const job: Job = {
    spec: {
      id: 'job-1',
      jobClass: 'c',
      team: 'red',
      shape: 'array',
      urgency: 0,
      tasks: 1,
      cpus: 1,
      gpus: 0,
      memGb: 1,
      image: 'i',
      imageGb: 1,
      types: null,
      zone: null,
      oneZone: false,
      spread: false,
      spot: false,
      estimate: zero,
      checkpoint: zero,
      save: zero,
      deadline: null,
      submitted: zero,
    },
    withdrawn: false,
    attempt: 1,
    done: new Set(),
    stamp: 1,
    folded: 0,
    touched: 0,
    placed: new Map([[0, { task: 0, attempt: 1, machine: 'unheard' }]]),
  };
  cache.apply({ key: activeKey('job-1'), value: JSON.parse(JSON.stringify(encodeJob(job, 0))), stamp: 1 });
  const book = new Book(worldSettings('n0'), cache, 2, zero);
  assert.deepEqual(book.lapse(seconds(100), false), []);
  assert.deepEqual(book.lapse(seconds(101), true), []);
  // Acknowledged at 101 s; older words count 3 s more, then the lease of 12 s with drift and margin.
  assert.deepEqual(book.lapse(seconds(116), true), []);
  assert.deepEqual(book.lapse(seconds(118), true), ['unheard']);
});
