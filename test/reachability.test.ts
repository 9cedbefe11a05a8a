import {describe, expect, test} from 'vitest';
import {Isolation, Path, Reachability} from '../src/relay/index.js';

const KNOWN = 5;

/** What connections show, as short words; the last one is of an upstream. */
type Sign =
  | 'failed a'
  | 'failed b'
  | 'bytes'
  | 'trials failed'
  | 'peer reached a'
  | 'peer reached b'
  | 'reached a'
  | 'later';

/** Tells a [[Reachability]] the signs, and returns what it then believes. */
function believe(signs: readonly Sign[], known = KNOWN) {
  const links = new Reachability();
  let now = 0;
  for (const sign of signs) {
    now += sign === 'later' ? 5_000 : 10;
    const upstream = sign.at(-1) ?? '';
    if (sign.startsWith('failed')) links.noteFailure(upstream, known, now);
    if (sign.startsWith('peer')) links.notePeerReached(upstream);
    if (sign === 'reached a') links.noteReached(upstream);
    if (sign === 'bytes') links.noteBytes();
    if (sign === 'trials failed') links.noteTrialsFailed();
  }
  const paths = ['a', 'b', 'c'].map(id => links.pathTo(id, now));
  return `${links.isolation}: ${paths.join(' ')}`;
}

describe('an instance believes that it is isolated', () => {
  const cut = ['failed a', 'failed b', 'trials failed', 'peer reached a'];
  test('once trials have failed and a peer has reached an upstream', () => {
    expect(believe(cut as Sign[])).toMatchInlineSnapshot(
      `"confirmed: relayed relayed relayed"`,
    );
  });

  test('in whatever order that is found', () => {
    const signs = [
      'failed a',
      'failed b',
      'peer reached b',
      'trials failed',
    ] satisfies Sign[];
    expect(believe(signs)).toMatchInlineSnapshot(
      `"confirmed: relayed relayed relayed"`,
    );
  });

  test('after one failure if there is one upstream', () => {
    const signs: Sign[] = ['failed a', 'trials failed', 'peer reached a'];
    expect(believe(signs, 1)).toMatchInlineSnapshot(
      `"confirmed: relayed relayed relayed"`,
    );
  });

  test('until an upstream has answered a trial', () => {
    expect(believe([...(cut as Sign[]), 'later', 'bytes'])).toBe(
      believe(cut as Sign[]),
    );
    expect(
      believe([...(cut as Sign[]), 'later', 'reached a']),
    ).toMatchInlineSnapshot(`"none: direct direct direct"`);
  });
});

describe('an instance does not believe that it is isolated', () => {
  const mistakes: Array<[string, Sign[]]> = [
    [
      'where upstreams are down for peers, too',
      ['failed a', 'failed b', 'trials failed'],
    ],
    [
      'where upstreams answer trials',
      ['failed a', 'failed b', 'peer reached a', 'reached a'],
    ],
    [
      'where any upstream still sends',
      ['failed a', 'bytes', 'failed b', 'peer reached a', 'trials failed'],
    ],
    [
      'after failures long ago',
      ['failed a', 'later', 'failed b', 'peer reached b', 'trials failed'],
    ],
    [
      'where one upstream only is out of reach',
      ['failed a', 'peer reached a', 'trials failed'],
    ],
    [
      'when a suspicion is not confirmed in time',
      ['failed a', 'failed b', 'trials failed', 'later'],
    ],
  ];
  test.each(mistakes)('%s', (_case, signs) => {
    expect(believe(signs)).not.toContain(Isolation.Confirmed);
  });

  test('but reaches a single upstream through peers that it alone does not', () => {
    expect(believe(['failed a', 'peer reached a', 'later'])).toBe(
      `${Isolation.None}: ${Path.Relayed} ${Path.Direct} ${Path.Direct}`,
    );
  });
});
