import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {LogEntry} from '../src/claim/record.js';
import {KeyStates} from '../src/claim/keystates.js';

const holder = {name: 'a', incarnation: 1, host: '127.0.0.1', port: 1};

const claim = (attempt: string, ordinal = 0): LogEntry => ({
  type: 'claim',
  key: 'k',
  attempt,
  ordinal,
  digest: 'd',
  holder,
});

const release = (attempt: string, ordinal = 0): LogEntry => ({
  type: 'release',
  key: 'k',
  attempt,
  ordinal,
});

const result = (attempt: string): LogEntry => ({
  type: 'result',
  key: 'k',
  attempt,
  outcome: 'completed',
});

/** Returns the state of the key after each batch of entries. */
const statesAfter = (...batches: LogEntry[][]) =>
  statesAfterBatches(
    batches.map((entries, n) => ({id: `batch-${n}`, entries})),
  );

const statesAfterBatches = (
  batches: Array<{id: string; entries: LogEntry[]}>,
) => {
  const keyStates = new KeyStates();
  return batches.map((batch, offset) => {
    const value = {type: 'claims', ...batch};
    keyStates.apply({offset, time: 0, value});
    const state = keyStates.stateOf('k');
    return state.type === 'free'
      ? 'free'
      : `${state.type} ${state.claim.attempt}`;
  });
};

describe('key states of a claims stream', () => {
  it('gives the key to the first claim by offset, then in the batch', () => {
    expect(statesAfter([claim('x'), claim('y')], [claim('z')])).toEqual([
      'held x',
      'held x',
    ]);
  });

  it('makes a released key available to later claims only', () => {
    expect(
      statesAfter([claim('x')], [claim('y')], [release('x')], [claim('z')]),
    ).toEqual(['held x', 'held x', 'free', 'held z']);
  });

  it('ignores a claim that arrives after its release', () => {
    expect(statesAfter([release('x')], [claim('x')], [claim('y')])).toEqual([
      'free',
      'free',
      'held y',
    ]);
  });

  it('ignores earlier attempts once a later one was released', () => {
    expect(
      statesAfter(
        [claim('y', 1)],
        [release('y', 1)],
        [claim('x', 0)],
        [claim('z', 1)],
      ),
    ).toEqual(['held y', 'free', 'free', 'held z']);
  });

  it('accepts a result from the holder only, and keeps it', () => {
    expect(
      statesAfter(
        [claim('x')],
        [result('y')],
        [result('x')],
        [release('x'), claim('z')],
      ),
    ).toEqual(['held x', 'held x', 'ended x', 'ended x']);
  });

  it('is the same when batches are appended twice', () => {
    const attempt = fc.constantFrom('x', 'y', 'z');
    const entry = fc.oneof(
      attempt.map(name => claim(name)),
      attempt.map(name => release(name)),
      attempt.map(result),
    );
    fc.assert(
      fc.property(fc.array(fc.array(entry, {maxLength: 3})), batches => {
        const named = batches.map((entries, n) => ({id: `${n}`, entries}));
        const repeated = [...named, ...named];
        expect(statesAfterBatches(repeated).at(-1)).toBe(
          statesAfterBatches(named).at(-1),
        );
      }),
      {seed: 1, numRuns: 300},
    );
  });

  it('never changes the holder of a key without a release', () => {
    const entry = fc.constantFrom('x', 'y', 'z').map(name => claim(name));
    fc.assert(
      fc.property(fc.array(entry, {minLength: 1}), entries => {
        const held = new Set(statesAfter(...entries.map(item => [item])));
        expect(held.size).toBe(1);
      }),
      {seed: 1, numRuns: 100},
    );
  });
});
