import {expect, test} from 'vitest';
import {decodeConfiguration} from '../platform/configuration.js';
import {ChangeLog} from '../src/registry/changelog.js';
import {Stopwatch} from './support/starvation.js';

/** Empty records of one page of the store. */
const RECORDS = 250_000;
/** Delay of the event loop from which the instance logs a lag, in ms. */
const LAG_MS = 250;
/** Routes without any field, within the size of a record. */
const ROUTES = 80_000;

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

// The problems of all routes took more memory than a process has.
test('an invalid configuration is described by its first invalid route alone', () => {
  const document = {
    version: 1,
    routes: Array.from({length: ROUTES}, () => ({})),
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
  const value = Buffer.from(JSON.stringify(document));
  expect(decodeConfiguration({key: 'config', value, offset: 1})).toEqual({
    reason: 'routes.0.name: Invalid input: expected string, received undefined',
  });
});
