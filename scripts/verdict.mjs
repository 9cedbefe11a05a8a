/**
 * Decides whether a test run passes, from results/tests.json and the exit
 * status of the test runner: `verdict.mjs STATUS`. Tests that KNOWN-RED.txt
 * lists are known failures: they are run and printed, and may fail. Any other
 * failure fails the run, and so does a listed test that was not run or an entry
 * that names no test.
 *
 * An entry starts with `- FILE, "FULL NAME"`; the full name joins the titles
 * of the enclosing describe blocks and the test with ` > `.
 */
import {existsSync, readFileSync} from 'node:fs';

const KNOWN_RED = 'KNOWN-RED.txt';
const RESULTS = 'results/tests.json';
const ENTRY = /^- (\S+), "([^"]+)"/;

const status = Number(process.argv[2]);
if (!Number.isInteger(status) || !existsSync(RESULTS)) {
  console.error(`No verdict: no exit status, or no ${RESULTS}.`);
  process.exit(1);
}
const {reason, tests, errors} = JSON.parse(readFileSync(RESULTS, 'utf8'));
const problems = [...errors];

const idOf = (file, name) => `${file} > ${name}`;
const known = new Set();
const text = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8') : '';
for (const entry of text.split(/^(?=- )/m).map(part => part.trim())) {
  if (entry === '') continue;
  const match = ENTRY.exec(entry.replace(/\s+/g, ' '));
  if (match === null) {
    problems.push(`${KNOWN_RED}: this entry names no test: ${entry}`);
    continue;
  }
  const id = idOf(match[1], match[2]);
  known.add(id);
  const result = tests.find(({file, name}) => idOf(file, name) === id);
  const state = result?.state ?? 'not found';
  console.log(`Known red, ${state}: ${id}`);
  if (state !== 'passed' && state !== 'failed') {
    problems.push(`${KNOWN_RED}: ${state}: ${id}`);
  }
}

const failed = tests.filter(({state}) => state === 'failed');
for (const {file, name} of failed) {
  const id = idOf(file, name);
  if (!known.has(id)) problems.push(`failed: ${id}`);
}
if (tests.length === 0) problems.push('no test was run');
if (status !== 0 && failed.length === 0) {
  problems.push(`the test runner ended with status ${status} (${reason})`);
}
for (const problem of problems) console.error(problem);
process.exit(problems.length === 0 ? 0 : 1);
