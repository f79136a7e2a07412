/** Counters and histograms of a group of hollow workers, in a form that can be sent between processes. */
import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';

/** Counters since the measurement began. */
export interface WorkerCounters {
  reports: number;
  renewed: number;
  refused: number;
  unanswered: number;
  leasesLost: number;
  tasksKilled: number;
  started: number;
  completed: number;
}

/** Counters and histograms of a group of hollow workers. */
export interface WorkerFigures {
  readonly counters: WorkerCounters;
  readonly workers: number;
  readonly tasksHeld: number;
  /** Compressed histograms: response times of heartbeats in milliseconds, and bytes sent and received per worker. */
  readonly answerMs: string;
  readonly workerBytes: string;
}

/** Returns counters that are all 0. */
export const emptyCounters = (): WorkerCounters => ({
  reports: 0,
  renewed: 0,
  refused: 0,
  unanswered: 0,
  leasesLost: 0,
  tasksKilled: 0,
  started: 0,
  completed: 0,
});

const SIGNIFICANT_DIGITS = 3;
/** Returns an empty histogram of non-negative integers that resizes itself. */
export const newHistogram = (): Histogram =>
  build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, autoResize: true });

/** Encodes a histogram as text that can be sent between processes. */
export const encodeHistogram = (histogram: Histogram): string => encodeIntoCompressedBase64(histogram);
/** Decodes a histogram from the text that `packHistogram` returned. */
export const decodeHistogram = (text: string): Histogram => decodeFromCompressedBase64(text);

/** Merges the figures of several groups. */
export const mergeFigures = (groups: readonly WorkerFigures[]): WorkerFigures => {
  const counters = emptyCounters();
  const responseTimes = newHistogram();
  const bytes = newHistogram();
  let workers = 0;
  let tasksHeld = 0;
  for (const group of groups) {
    for (const name of Object.keys(counters) as (keyof WorkerCounters)[])
      counters[name] += group.counters[name];
    workers += group.workers;
    tasksHeld += group.tasksHeld;
    responseTimes.add(decodeHistogram(group.answerMs));
    bytes.add(decodeHistogram(group.workerBytes));
  }
  return {
    counters,
    workers,
    tasksHeld,
    answerMs: encodeHistogram(responseTimes),
    workerBytes: encodeHistogram(bytes),
  };
};
