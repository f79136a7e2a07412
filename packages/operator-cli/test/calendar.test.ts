/** Tests of calendar files and their compiler: dates, time zones, clock changes, days off, error messages. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { Either } from 'effect';
import fc from 'fast-check';
import { compile, type CompiledCalendar } from '../src/calendar/compile.js';
import { readCalendarFile } from '../src/calendar/file.js';

const HEAD = 'version = 3\nfrom = 2026-01-01\nuntil = 2026-12-31\nzone = "Africa/Cairo"\n';
const compileText = (text: string): Either.Either<CompiledCalendar, string> =>
  readCalendarFile(text).pipe(Either.flatMap(compile));
/** Compiles a text that must be valid. */
const compileValid = (text: string): CompiledCalendar => {
  const compiled = compileText(text);
  assert.ok(Either.isRight(compiled), Either.isLeft(compiled) ? compiled.left : '');
  return compiled.right;
};
/** A calendar file with one cutoff, named x. */
const cutoff = (body: string): string => `${HEAD}[[cutoff]]\nname = "x"\nteams = ["t"]\n${body}`;
const instants = (compiled: CompiledCalendar): string[] =>
  compiled.calendar.occurrences.map(
    (occurrence) => `${occurrence.id} ${new Date(occurrence.at / 1000).toISOString()}`,
  );

test('clock_change chooses the instant of a missing or ambiguous local time, and the clock change is reported', () => {
  // Cairo 2026: 24 April 00:00 becomes 01:00; 29 October 24:00 becomes 23:00 again.
  const gap = (choice: string) =>
    compileValid(cutoff(`at = "00:30"\ndates = [2026-04-24]\nclock_change = "${choice}"`));
  assert.deepEqual(instants(gap('earlier')), ['x@2026-04-24 2026-04-23T21:30:00.000Z']);
  assert.deepEqual(instants(gap('later')), ['x@2026-04-24 2026-04-23T22:30:00.000Z']);
  assert.equal(gap('earlier').clockChanges[0]!.kind, 'gap');
  const repeat = (choice: string) =>
    compileValid(cutoff(`at = "23:30"\ndates = [2026-10-29]\nclock_change = "${choice}"`));
  assert.deepEqual(instants(repeat('earlier')), ['x@2026-10-29 2026-10-29T20:30:00.000Z']);
  assert.deepEqual(instants(repeat('later')), ['x@2026-10-29 2026-10-29T21:30:00.000Z']);
  assert.equal(repeat('later').clockChanges[0]!.kind, 'repeat');
  // Auckland 2026: 5 April 03:00 becomes 02:00; 27 September 02:00 becomes 03:00.
  const auckland = compileValid(
    cutoff('zone = "Pacific/Auckland"\nat = "02:30"\ndates = [2026-04-05, 2026-09-27, 2026-07-01]'),
  );
  assert.deepEqual(instants(auckland), [
    'x@2026-04-05 2026-04-04T13:30:00.000Z',
    'x@2026-07-01 2026-06-30T14:30:00.000Z',
    'x@2026-09-27 2026-09-26T13:30:00.000Z',
  ]);
  assert.deepEqual(
    auckland.clockChanges.map((change) => change.kind),
    ['repeat', 'gap'],
  );
  // Every day of a year at 16:00: no clock change affects this time of day, and the offset changes twice.
  const year = compileValid(cutoff('at = "16:00"\nevery = "FREQ=DAILY"'));
  assert.equal(year.calendar.occurrences.length, 365);
  assert.equal(year.clockChanges.length, 0);
  const hours = year.calendar.occurrences.map((occurrence) => new Date(occurrence.at / 1000).getUTCHours());
  assert.equal(hours.filter((hour, i) => i > 0 && hour !== hours[i - 1]).length, 2);
});

const DAYS = ['MO', 'TU', 'WE', 'TH', 'FR', 'SA', 'SU'];
const datesOfYear = Array.from({ length: 365 }, (_, i) =>
  new Date(Date.UTC(2026, 0, 1 + i)).toISOString().slice(0, 10),
);
const weekdayOf = (date: string): string => DAYS[(new Date(`${date}T00:00:00Z`).getUTCDay() + 6) % 7]!;

test('weekly occurrences on days off are skipped or shifted, checked against an enumeration of all dates of a year', () => {
  fc.assert(
    fc.property(
      fc.subarray(DAYS, { minLength: 1 }),
      fc.subarray(DAYS, { maxLength: 5 }),
      fc.subarray(datesOfYear, { maxLength: 30 }),
      fc.constantFrom('skip', 'before', 'after'),
      fc.constantFrom('Africa/Cairo', 'Pacific/Auckland', 'UTC'),
      (weekdays, offDays, offDates, rule, zone) => {
        const compiled = compileValid(
          `${HEAD}[off.o]\nweekdays = ${JSON.stringify(offDays)}\ndates = ${JSON.stringify(offDates)}\n` +
            `[[cutoff]]\nname = "x"\nteams = ["t"]\nzone = "${zone}"\nat = "12:00"\n` +
            `every = "FREQ=WEEKLY;BYDAY=${weekdays.join(',')}"\noff = ["o"]\non_day_off = "${rule}"`,
        );
        const isOff = (date: string): boolean => offDays.includes(weekdayOf(date)) || offDates.includes(date);
        const nominal = datesOfYear.filter((date) => weekdays.includes(weekdayOf(date)));
        const ids = compiled.calendar.occurrences.map(({ id }) => id).sort();
        if (rule === 'skip')
          assert.deepEqual(
            ids,
            nominal.filter((date) => !isOff(date)).map((date) => `x@${date}`),
          );
        else assert.equal(ids.length + (compiled.skipped.get('x')?.length ?? 0), nominal.length);
        const day = new Intl.DateTimeFormat('sv', { timeZone: zone, dateStyle: 'short' });
        for (const occurrence of compiled.calendar.occurrences) {
          // The offset is up to 13 hours, so noon local time may be another day in UTC: the day is read in the zone.
          const local = day.format(occurrence.at / 1000);
          assert.ok(!isOff(local), `${occurrence.id} is on a day off: ${local}`);
          const nominalDay = occurrence.id.slice(2);
          assert.ok(
            rule === 'before'
              ? local <= nominalDay
              : rule === 'after'
                ? local >= nominalDay
                : local === nominalDay,
          );
        }
      },
    ),
    { seed: 24, numRuns: 20 },
  );
});

test('a moved occurrence keeps the id of its original date; compiling a file twice gives the same occurrences', () => {
  const text = cutoff(
    'at = "16:00"\nevery = "FREQ=WEEKLY;BYDAY=TH"\nmoved = [{ date = 2026-12-24, to = "2026-12-23T13:00" }]',
  );
  const moved = compileValid(text).calendar.byId.get('x@2026-12-24')!;
  assert.equal(new Date(moved.at / 1000).toISOString(), '2026-12-23T11:00:00.000Z');
  assert.deepEqual(compileValid(text).calendar.occurrences, compileValid(text).calendar.occurrences);
  const monthly = compileValid(cutoff('at = "06:00"\nevery = "FREQ=MONTHLY;BYMONTHDAY=1"'));
  assert.equal(monthly.calendar.occurrences.length, 12);
});

test('an error message names the field and the correction', () => {
  const invalidTexts: [string, RegExp][] = [
    [cutoff('at = "25:99"\nevery = "FREQ=DAILY"'), /cutoff\.0: .*is not a valid local time/],
    [cutoff('at = "4pm"\nevery = "FREQ=DAILY"'), /cutoff\.0\.at: must be a local time/],
    [cutoff('at = "16:00"\nevery = "FREQ=HOURLY"'), /cutoff\.0\.every: .*several cutoffs/],
    [cutoff('at = "16:00"\nevery = "FREQ=WEEKLY;BYDAY=XX"'), /cutoff\.0\.every: .*RFC 5545/],
    [cutoff('at = "16:00"'), /cutoff\.0\.every: the cutoff has neither/],
    [cutoff('at = "16:00"\ndates = [2026-02-30]'), /file: 2026-02-30 is not a valid date/],
    [cutoff('at = "16:00"\ndates = ["2026-02-30"]'), /file: 2026-02-30 is not a valid date/],
    [
      cutoff('at = "16:00"\nevery = "FREQ=DAILY"\noff = ["nope"]'),
      /cutoff\.0\.off\.0: the file has no section \[off\.nope\]/,
    ],
    [cutoff('at = "16:00"\nevery = "FREQ=DAILY"\nzone = "Africa/Kairo"'), /cutoff\.0\.zone: .*IANA/],
    [cutoff('at = "16:00"\nevery = "FREQ=DAILY"\nzone = "+02:00"'), /cutoff\.0\.zone: .*IANA/],
    [cutoff('at = "16:00"\nevery = "FREQ=DAILY"\nlead = 3'), /cutoff\.0\.lead: /],
    [
      cutoff(
        'at = "16:00"\nevery = "FREQ=WEEKLY;BYDAY=TH"\nmoved = [{ date = 2026-12-25, to = "2026-12-23T13:00" }]',
      ),
      /cutoff\.0\.moved/,
    ],
    [`${HEAD}[[cutoff]]\nname = "x"\nat = "16:00"\nevery = "FREQ=DAILY"`, /cutoff\.0\.teams: .*every job/],
    [
      HEAD.replace('2026-12-31', '2046-12-31') +
        '[[cutoff]]\nname = "x"\nteams = ["t"]\nat = "16:00"\nevery = "FREQ=DAILY"',
      /until: .*4000/,
    ],
    [HEAD.replace('version = 3', '') + '[[cutoff]]\nname = "x"\nat = "16:00"', /version: /],
  ];
  for (const [text, reason] of invalidTexts) {
    const compiled = compileText(text);
    assert.ok(Either.isLeft(compiled), text);
    assert.match(compiled.left, reason);
  }
  assert.equal(compileValid(readFileSync('deploy/calendar.example.toml', 'utf8')).clockChanges.length, 0);
});
