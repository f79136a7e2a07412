/** Tests the capacity table: the page in docs must match its input files, and invalid input is rejected. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { parseCapacityInput } from '../src/capacity/model.js';
import { capacityRows, limitRatio } from '../src/capacity/rows.js';
import { capacityTables, withTables } from '../src/capacity/table.js';

const read = (file: string): string => readFileSync(file, 'utf8');
const SIZE = read('docs/capacity/size.toml');
const SLOPES = read('docs/capacity/slopes.toml');
const PAGE = read('docs/CAPACITY.md');

test('the capacity page matches the tables computed from its input files', () => {
  const tables = capacityTables(parseCapacityInput(SIZE, SLOPES));
  assert.equal(withTables(PAGE, tables), PAGE);
  const otherTables = capacityTables(
    parseCapacityInput(SIZE.replace('workers = 7900', 'workers = 8000'), SLOPES),
  );
  assert.notEqual(withTables(PAGE, otherTables), PAGE);
  assert.throws(() => withTables('a page', tables), /lacks/);
});

test('rows are sorted by the ratio of load to limit, and an error names the invalid file and field', () => {
  const rows = capacityRows(parseCapacityInput(SIZE, SLOPES));
  const ratios = rows.map((row) => limitRatio(row) ?? -1);
  assert.deepEqual(
    ratios,
    [...ratios].sort((first, second) => second - first),
  );
  assert.ok(
    rows.some((row) => row.value === null),
    'quantities that were not measured have a row without a value',
  );
  assert.throws(
    () => capacityRows(parseCapacityInput(SIZE.replace('teams', 'x').replace('workers =', 'y ='), SLOPES)),
    /size: no value named workers/,
  );
  assert.throws(() => parseCapacityInput(SIZE, SLOPES.replace('unit = "MB"\n', '')), /lacks a field/);
  assert.throws(() => parseCapacityInput('workers = "many"', SLOPES), /workers is not a number/);
});
