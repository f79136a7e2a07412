/**
 * Runs the test files under a directory as `node --test --test-reporter=spec` does, and accepts known failures: tests that
 * fail because of a fault that is not fixed yet. KNOWN-RED.txt in the working directory lists them, one entry per line:
 *   test name | command and seed | what was seen | issue
 * Only the failure of a listed test is accepted. Node's summary still counts it as failed.
 *   node tools/known-red.mjs target/test
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

const LIST_FILE = 'KNOWN-RED.txt';

/** Errors that fail the run in addition to failing tests. */
const errors = [];

/** Returns the entries of the list by test name. An invalid line and a duplicate entry are errors. */
const readList = () => {
  const entries = new Map();
  const lines = existsSync(LIST_FILE) ? readFileSync(LIST_FILE, 'utf8').split('\n') : [];
  if (lines.at(-1) === '') lines.pop();
  for (const line of lines) {
    const [name, command, observed, issue, ...extraFields] = line.split('|').map((field) => field.trim());
    if (!name || !command || !observed || !/^#?\d+$/.test(issue ?? '') || extraFields.length > 0)
      errors.push(`"${line}" is not: test name | command and seed | what was seen | issue`);
    else if (entries.has(name)) errors.push(`"${name}" is listed twice`);
    else entries.set(name, { command, observed, issue: issue.replace('#', ''), runs: 0, failed: false });
  }
  return entries;
};
const listed = readList();

const files = readdirSync(process.argv[2], { recursive: true, withFileTypes: true })
  .filter((entry) => entry.isFile() && /\.[cm]?js$/.test(entry.name))
  .map((entry) => resolve(entry.path, entry.name))
  .sort();
if (files.length === 0) errors.push(`no test file under ${process.argv[2]}`);

/**
 * By file: number of failures of listed tests and of other tests, number of tests without a result yet, and the error with
 * which the file itself ended.
 */
const results = new Map(
  files.map((file) => [file, { listedFailures: 0, otherFailures: 0, pending: 0, error: undefined }]),
);
/** Records the result of a test in the result of its file. `isFile`: the result is that of the file as a whole. */
const recordResult = (fileResult, { type, data }, isFile) => {
  const entry = isFile ? undefined : listed.get(data.name);
  const failure = type === 'test:fail' && data.todo === undefined ? data.details.error.failureType : null;
  if (!isFile) fileResult.pending--;
  if (entry) entry.runs++;
  // Only an error that the test itself throws is the known failure: a test that was cancelled or timed out did not show it.
  if (entry && failure === 'testCodeFailure') {
    entry.failed = true;
    fileResult.listedFailures++;
  } else if (failure !== null && failure !== 'subtestsFailed') fileResult.otherFailures++; // Subtests have results of their own.
};

/** Handles an event of the test runner. */
const handleEvent = (event) => {
  const { type, data } = event;
  // An error that is thrown after a test ended is reported without its file. It must fail the run, although the file that
  // threw it may fail because of a listed test only.
  if (
    type === 'test:diagnostic' &&
    listed.size > 0 &&
    /uncaughtException|unhandledRejection/.test(data.message)
  )
    errors.push(data.message);
  const fileResult = results.get(data.file);
  if (fileResult === undefined) return;
  const isFile = data.name === data.file;
  if (type === 'test:complete' && isFile) fileResult.error = data.details.error;
  else if (type === 'test:enqueue' && !isFile) fileResult.pending++;
  else if (type === 'test:pass' || type === 'test:fail') recordResult(fileResult, event, isFile);
};
/** Passes the events on unchanged after handling them. */
const observeEvents = async function* (events) {
  for await (const event of events) {
    handleEvent(event);
    yield event;
  }
};
const report = run({ files, concurrency: true }).compose(observeEvents).compose(new spec());
for await (const text of report) process.stdout.write(text);

for (const [name, { command, observed, issue, runs, failed }] of listed) {
  const description = `"${name}" (${command}: ${observed}; issue ${issue})`;
  if (runs === 1 && failed) console.log(`known red: ${description}`);
  else if (runs === 1) errors.push(`${description} does not fail by itself any more: remove its entry`);
  else errors.push(`${description} must run once, but ran ${runs} times`);
}
// A file with a listed failure exits with 1. Any other exit code, or a test without a result, means that the file crashed.
const failedFiles = [...results].filter(
  ([, { listedFailures, otherFailures, pending, error }]) =>
    otherFailures > 0 ||
    (error !== undefined &&
      !(
        listedFailures > 0 &&
        pending === 0 &&
        error.failureType === 'subtestsFailed' &&
        error.exitCode === 1
      )),
);
for (const [file] of failedFiles)
  if (listed.size > 0) console.log(`failed beyond what ${LIST_FILE} lists: ${file}`);
for (const message of errors) console.log(`${LIST_FILE}: ${message}`);
process.exitCode = failedFiles.length + errors.length > 0 ? 1 : 0;
