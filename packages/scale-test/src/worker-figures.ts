/** What a group of hollow workers counts while it runs, in a form that passes between processes. */
import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';

/** Counts since the measurement began. */
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

/** The counts of a group, with histograms. */
export interface WorkerFigures {
  readonly counters: WorkerCounters;
  readonly workers: number;
  readonly tasksHeld: number;
  /** Compressed histograms: answers to reports in milliseconds, and bytes of each worker. */
  readonly answerMs: string;
  readonly workerBytes: string;
}

/** All counts at 0. */
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

const DIGITS = 3;
/** A histogram of whole numbers from 0 on that grows as it needs. */
export const newHistogram = (): Histogram =>
  build({ numberOfSignificantValueDigits: DIGITS, autoResize: true });

/** A histogram as text that passes between processes. */
export const packHistogram = (histogram: Histogram): string => encodeIntoCompressedBase64(histogram);
/** A histogram from its text. */
export const unpackHistogram = (text: string): Histogram => decodeFromCompressedBase64(text);

/** The sum of what several groups have counted. */
export const mergeFigures = (all: readonly WorkerFigures[]): WorkerFigures => {
  const counters = emptyCounters();
  const answers = newHistogram();
  const bytes = newHistogram();
  let workers = 0;
  let tasksHeld = 0;
  for (const figures of all) {
    for (const name of Object.keys(counters) as (keyof WorkerCounters)[])
      counters[name] += figures.counters[name];
    workers += figures.workers;
    tasksHeld += figures.tasksHeld;
    answers.add(unpackHistogram(figures.answerMs));
    bytes.add(unpackHistogram(figures.workerBytes));
  }
  return {
    counters,
    workers,
    tasksHeld,
    answerMs: packHistogram(answers),
    workerBytes: packHistogram(bytes),
  };
};
