import {expect, test} from 'vitest';
import {ChangeLog} from '../src/registry/changelog.js';
import {Stopwatch} from './support/starvation.js';

/** Empty records of one page of the store. */
const RECORDS = 250_000;
/** Delay of the event loop from which the instance logs a lag, in ms. */
const LAG_MS = 250;

// Each change that was dropped moved all others.
test('a page of many records does not stop the event loop', () => {
  const changes = new ChangeLog();
  changes.restart(0);
  const page = Array.from({length: RECORDS}, (_, offset) => ({
    key: `${offset}`,
    offset,
  }));
  const watch = new Stopwatch();
  changes.append(page, RECORDS);
  watch.expectLess(LAG_MS);
  expect(changes.from(changes.since)).toHaveLength(512);
  expect(changes.changedTo).toBe(RECORDS);
});
