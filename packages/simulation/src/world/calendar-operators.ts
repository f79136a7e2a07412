/** Simulates the operators who publish calendars during a day, two of them concurrently while the leader crashes. */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import { type Controllers, DAY_BEGINS } from './controllers.js';
import { testCalendar, CutoffCheck } from './cutoffs.js';
import type { FaultLog } from './fault-log.js';
import type { Rules } from './rules.js';
import type { StateService } from './state-service/state-service.js';
import type { Time } from './time.js';

/** Interval at which the content of the store is checked for violations of the rules about cutoffs, in microseconds. */
const CHECK_INTERVAL = 250_000;

/** Dependencies of the simulated operators. */
export interface CalendarOperatorsOptions {
  readonly time: Time;
  readonly random: RandomSource;
  readonly state: StateService;
  readonly controllers: Controllers;
  readonly rules: Rules;
  readonly log: FaultLog;
  /** Time of the last data loss, in microseconds; minus infinity: none. */
  readonly lostAt: () => number;
}

/**
 * Schedules the publication of three calendars before `faultsUntil`, and checks the cutoffs of all jobs until the end
 * of the day.
 */
export const applyCalendars = (faultsUntil: number, options: CalendarOperatorsOptions): CutoffCheck => {
  const { controllers, log, lostAt, random, rules, state, time } = options;
  const cutoffs = new CutoffCheck({
    time,
    state,
    dayBegins: DAY_BEGINS,
    views: () =>
      controllers
        .up()
        .flatMap(({ controller }) => (controller.lossDetector.suspected ? [] : [controller.jobState])),
    lostAt,
    isReported: (id) => rules.isAcceptanceConfirmed(id),
    onViolation: (rule, details) => void rules.violations.push(`${rule}: ${details}`),
  });
  time.after(1e6, () => cutoffs.apply('operator', testCalendar(1, DAY_BEGINS)));
  time.after(random.between(20e6, faultsUntil * 0.5), () => {
    log.recordInjected('cutoffs');
    const leader = controllers.leader();
    time.after(random.between(0, 60_000), () => controllers.crash(leader ?? '', random.between(1e6, 6e6)));
    cutoffs.apply('operator', testCalendar(2, DAY_BEGINS));
    if (random.chance(0.5)) cutoffs.apply('other', testCalendar(2, DAY_BEGINS, 1));
  });
  time.after(random.between(faultsUntil * 0.6, faultsUntil), () =>
    cutoffs.apply('other', testCalendar(3, DAY_BEGINS)),
  );
  const check = (): void => {
    cutoffs.check();
    time.after(CHECK_INTERVAL, check);
  };
  check();
  return cutoffs;
};
