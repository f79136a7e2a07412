// Runs the test files under a directory as `node --test --test-reporter=spec` does, and knows the tests that fail for a
// fault not mended yet. KNOWN-RED.txt in the working directory lists them, one entry a line:
//   test name | command and seed | what was seen | issue
// The failure of a listed test is passed over, and nothing else is: its counts stay in node's own closing lines.
//   node tools/known-red.mjs target/test
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

const LIST = 'KNOWN-RED.txt';

const faults = [];
const listed = new Map();
const lines = existsSync(LIST) ? readFileSync(LIST, 'utf8').split('\n') : [];
if (lines.at(-1) === '') lines.pop();
for (const line of lines) {
  const [name, command, seen, issue, ...rest] = line.split('|').map((part) => part.trim());
  if (!name || !command || !seen || !/^#?\d+$/.test(issue ?? '') || rest.length > 0)
    faults.push(`"${line}" is not: test name | command and seed | what was seen | issue`);
  else if (listed.has(name)) faults.push(`"${name}" is listed twice`);
  else listed.set(name, { command, seen, issue: issue.replace('#', ''), runs: 0, failed: false });
}

const files = readdirSync(process.argv[2], { recursive: true, withFileTypes: true })
  .filter((f) => f.isFile() && /\.[cm]?js$/.test(f.name))
  .map((f) => resolve(f.path, f.name))
  .sort();
if (files.length === 0) faults.push(`no test file under ${process.argv[2]}`);

const state = new Map(files.map((f) => [f, { red: 0, others: 0, open: 0, error: undefined }]));
const judge = ({ type, data }) => {
  // What happens after a test ended names no file: it must not hide behind a file that fails by a listed test.
  if (
    type === 'test:diagnostic' &&
    listed.size > 0 &&
    /uncaughtException|unhandledRejection/.test(data.message)
  )
    faults.push(data.message);
  const file = state.get(data.file);
  if (file === undefined) return;
  const own = data.name === data.file;
  if (type === 'test:complete' && own) file.error = data.details.error;
  else if (type === 'test:enqueue' && !own) file.open++;
  else if (type === 'test:pass' || type === 'test:fail') {
    const known = own ? undefined : listed.get(data.name);
    const failure = type === 'test:fail' && data.todo === undefined ? data.details.error.failureType : null;
    if (!own) file.open--;
    if (known) known.runs++;
    // Only what the test itself throws: one that is cancelled or cut short has not shown its fault.
    if (known && failure === 'testCodeFailure') {
      known.failed = true;
      file.red++;
    } else if (failure !== null && failure !== 'subtestsFailed') file.others++; // Subtests are judged one by one.
  }
};
const judged = async function* (events) {
  for await (const event of events) {
    judge(event);
    yield event;
  }
};
const report = run({ files, concurrency: true }).compose(judged).compose(new spec());
for await (const text of report) process.stdout.write(text);

for (const [name, { command, seen, issue, runs, failed }] of listed) {
  const note = `"${name}" (${command}: ${seen}; issue ${issue})`;
  if (runs === 1 && failed) console.log(`known red: ${note}`);
  else if (runs === 1) faults.push(`${note} does not fail by itself any more: its entry goes`);
  else faults.push(`${note} was found ${runs} times`);
}
// A file that holds a listed failure ends with 1; any other end, or a test without a result, is a crash of its own.
const failed = [...state].filter(
  ([, { red, others, open, error }]) =>
    others > 0 ||
    (error !== undefined &&
      !(red > 0 && open === 0 && error.failureType === 'subtestsFailed' && error.exitCode === 1)),
);
for (const [file] of failed) if (listed.size > 0) console.log(`failed beyond what ${LIST} lists: ${file}`);
for (const fault of faults) console.log(`${LIST}: ${fault}`);
process.exitCode = failed.length + faults.length > 0 ? 1 : 0;
