/** The capacity page says what its two files and the command make of them. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { capacityInput } from '../src/capacity/model.js';
import { capacityRows, timesOver } from '../src/capacity/rows.js';
import { capacityTables, withTables } from '../src/capacity/table.js';

const read = (file: string): string => readFileSync(file, 'utf8');
const SIZE = read('docs/capacity/size.toml');
const SLOPES = read('docs/capacity/slopes.toml');
const PAGE = read('docs/CAPACITY.md');

test('the page is what the command prints, and nobody has edited a figure', () => {
  const tables = capacityTables(capacityInput(SIZE, SLOPES));
  assert.equal(withTables(PAGE, tables), PAGE);
  const other = capacityTables(capacityInput(SIZE.replace('workers = 7900', 'workers = 8000'), SLOPES));
  assert.notEqual(withTables(PAGE, other), PAGE);
  assert.throws(() => withTables('a page', tables), /lacks/);
});

test('rows stand by how far they are over, and a file that lacks something is named', () => {
  const rows = capacityRows(capacityInput(SIZE, SLOPES));
  const times = rows.map((r) => timesOver(r) ?? -1);
  assert.deepEqual(
    times,
    [...times].sort((a, b) => b - a),
  );
  assert.ok(
    rows.some((r) => r.value === null),
    'what was not measured stands there as such',
  );
  assert.throws(
    () => capacityRows(capacityInput(SIZE.replace('teams', 'x').replace('workers =', 'y ='), SLOPES)),
    /no workers/,
  );
  assert.throws(() => capacityInput(SIZE, SLOPES.replace('unit = "MB"\n', '')), /lacks a field/);
  assert.throws(() => capacityInput('workers = "many"', SLOPES), /workers is not a number/);
});
