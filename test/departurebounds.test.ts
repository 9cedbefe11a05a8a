import {expect, test} from 'vitest';
import {Departures} from '../src/registry/departures.js';
import {EntryState, type RegistryEntry} from '../src/registry/index.js';
import {ManualTimer} from '../src/timer/index.js';

const MAX_BYTES = 64 * 1024;
const VERSION_LENGTH = 1_000;

const entryOf = (id: string): RegistryEntry => ({
  id,
  service: 'images',
  host: '10.0.0.1',
  port: 80,
  zone: 'north',
  softwareVersion: 'x'.repeat(VERSION_LENGTH),
  slots: 1,
  state: EntryState.Ready,
  coldMs: 0,
  startedAt: 1,
  sequence: 1,
});

// Guards against upstreams that leave without end and fill the memory.
test('of more departures than may be remembered the first ones are forgotten', () => {
  const departures = new Departures(new ManualTimer(), MAX_BYTES);
  const keys = Array.from({length: 1_000}, (_, index) => `upstream-${index}`);
  for (const key of keys) {
    const entry = entryOf(key);
    departures.add(key, entry);
    if (key !== keys[0]) continue;
    departures.withhold({key, value: Buffer.from(key), offset: 0}, entry);
  }
  const isKnown = (key: string) => departures.includes(key, entryOf(key));
  const known = keys.filter(isKnown);
  expect(known.length * VERSION_LENGTH).toBeLessThanOrEqual(MAX_BYTES);
  expect(known).toEqual([keys[0], ...keys.slice(1 - known.length)]);
  expect(known.length).toBeGreaterThan(2);
  departures.add('last', entryOf('last'));
  expect(isKnown('last')).toBe(true);
});
