/** Operators who apply calendars during a day, two of them at once while the leader crashes. */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import { type Controllers, DAY_BEGINS } from './controllers.js';
import { calendarOf, Cutoffs } from './cutoffs.js';
import type { FaultLog } from './fault-log.js';
import type { Rules } from './rules.js';
import type { StateService } from './state-service/state-service.js';
import type { Time } from './time.js';

/** How often the store's content is looked through for cutoffs, microseconds. */
const LOOK_EVERY = 250_000;

/** What operators act on, and what the cutoffs are checked against. */
export interface CalendarOperatorsParts {
  readonly time: Time;
  readonly random: RandomSource;
  readonly state: StateService;
  readonly controllers: Controllers;
  readonly rules: Rules;
  readonly log: FaultLog;
  /** When data was last lost; minus infinity: never. */
  readonly lostAt: () => number;
}

/** Schedules three calendars over a day, and checks the cutoffs of all jobs to its end. */
export const applyCalendars = (troubled: number, parts: CalendarOperatorsParts): Cutoffs => {
  const { controllers, log, lostAt, random, rules, state, time } = parts;
  const cutoffs = new Cutoffs({
    time,
    state,
    dayBegins: DAY_BEGINS,
    views: () => controllers.up().flatMap(({ node }) => (node.lossDetector.suspected ? [] : [node.jobState])),
    lostAt,
    told: (id) => rules.isTold(id),
    broke: (rule, what) => void rules.broken.push(`${rule}: ${what}`),
  });
  time.after(1e6, () => cutoffs.apply('operator', calendarOf(1, DAY_BEGINS)));
  time.after(random.between(20e6, troubled * 0.5), () => {
    log.strike('cutoffs');
    const leader = controllers.leader();
    time.after(random.between(0, 60_000), () => controllers.crash(leader ?? '', random.between(1e6, 6e6)));
    cutoffs.apply('operator', calendarOf(2, DAY_BEGINS));
    if (random.chance(0.5)) cutoffs.apply('other', calendarOf(2, DAY_BEGINS, 1));
  });
  time.after(random.between(troubled * 0.6, troubled), () =>
    cutoffs.apply('other', calendarOf(3, DAY_BEGINS)),
  );
  const look = (): void => {
    cutoffs.look();
    time.after(LOOK_EVERY, look);
  };
  look();
  return cutoffs;
};
