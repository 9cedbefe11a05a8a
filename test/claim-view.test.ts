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

/** The state of the key after each batch of entries. */
const states = (...batches: LogEntry[][]) =>
  statesOf(batches.map((entries, n) => ({id: `batch-${n}`, entries})));

const statesOf = (batches: Array<{id: string; entries: LogEntry[]}>) => {
  const view = new KeyStates();
  return batches.map((batch, offset) => {
    const value = {type: 'claims', ...batch};
    view.apply({offset, time: 0, value});
    const state = view.stateOf('k');
    return state.type === 'free'
      ? 'free'
      : `${state.type} ${state.claim.attempt}`;
  });
};

describe('the view of a claims stream', () => {
  it('gives the key to the lowest offset, then to the place in the batch', () => {
    expect(states([claim('x'), claim('y')], [claim('z')])).toEqual([
      'held x',
      'held x',
    ]);
  });

  it('frees a released key for claims that follow only', () => {
    expect(
      states([claim('x')], [claim('y')], [release('x')], [claim('z')]),
    ).toEqual(['held x', 'held x', 'free', 'held z']);
  });

  it('ignores a claim that arrives after its release', () => {
    expect(states([release('x')], [claim('x')], [claim('y')])).toEqual([
      'free',
      'free',
      'held y',
    ]);
  });

  it('ignores earlier attempts once a retry was told as not run', () => {
    expect(
      states(
        [claim('y', 1)],
        [release('y', 1)],
        [claim('x', 0)],
        [claim('z', 1)],
      ),
    ).toEqual(['held y', 'free', 'free', 'held z']);
  });

  it('takes a result from the holder only, and keeps it', () => {
    expect(
      states(
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
        expect(statesOf(repeated).at(-1)).toBe(statesOf(named).at(-1));
      }),
      {seed: 1, numRuns: 300},
    );
  });

  it('never moves a key from one holder to another without a release', () => {
    const entry = fc.constantFrom('x', 'y', 'z').map(name => claim(name));
    fc.assert(
      fc.property(fc.array(entry, {minLength: 1}), entries => {
        const held = new Set(states(...entries.map(item => [item])));
        expect(held.size).toBe(1);
      }),
      {seed: 1, numRuns: 100},
    );
  });
});
