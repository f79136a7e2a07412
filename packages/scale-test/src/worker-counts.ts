/** What a group of hollow workers counts while it runs, in a form that passes between processes. */
import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';

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

export interface WorkerFigures {
  readonly counters: WorkerCounters;
  readonly workers: number;
  readonly tasksHeld: number;
  /** Compressed histograms: answers to reports in milliseconds, and bytes of each worker. */
  readonly answerMs: string;
  readonly workerBytes: string;
}

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
export const newHistogram = (): Histogram =>
  build({ numberOfSignificantValueDigits: DIGITS, autoResize: true });

export const packHistogram = (h: Histogram): string => encodeIntoCompressedBase64(h);
export const unpackHistogram = (text: string): Histogram => decodeFromCompressedBase64(text);

/** The sum of what several groups have counted. */
export const joinFigures = (all: readonly WorkerFigures[]): WorkerFigures => {
  const counters = emptyCounters();
  const answers = newHistogram();
  const bytes = newHistogram();
  let workers = 0;
  let tasksHeld = 0;
  for (const f of all) {
    for (const name of Object.keys(counters) as (keyof WorkerCounters)[]) counters[name] += f.counters[name];
    workers += f.workers;
    tasksHeld += f.tasksHeld;
    answers.add(unpackHistogram(f.answerMs));
    bytes.add(unpackHistogram(f.workerBytes));
  }
  return {
    counters,
    workers,
    tasksHeld,
    answerMs: packHistogram(answers),
    workerBytes: packHistogram(bytes),
  };
};
