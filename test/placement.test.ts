import {expect, test} from 'vitest';
import {
  chooseUpstream,
  isPauseSensitive,
  prefillShareOf,
  reservedIds,
  type PlacementQuery,
  type Candidate,
  type SpeedEstimate,
} from '../src/forward/placement.js';

const IDS = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'];
const PACE: SpeedEstimate = {
  prefillTokensPerMs: 50,
  plainRequestMs: 40,
  reservedCount: 2,
};
const noise = () => 0;

function engine(id: string, change: Partial<Candidate> = {}): Candidate {
  return {
    id,
    slots: 64,
    ownInflight: 0,
    inflight: 0,
    pendingPrefillTokens: 0,
    recentPrefillTokens: 0,
    roundTripMs: 3,
    failureShare: 0,
    ejected: false,
    full: false,
    cachedTokens: 0,
    ...change,
  };
}

/** A long prompt whose catalogue part is shared with others. */
function long(change: Partial<PlacementQuery> = {}): PlacementQuery {
  return {
    prompt: {
      model: 'm',
      parts: [
        {id: 'catalogue', tokens: 13_000},
        {id: 'own', tokens: 4_000},
      ],
      tokens: 17_000,
      outputTokens: 120,
    },
    pauseSensitive: false,
    answerStarted: false,
    shortestPauseMs: 300,
    targetMs: 2_000,
    prefillShare: prefillShareOf(2, 2),
    yields: false,
    triedUpstreams: new Set(),
    ...change,
  };
}

const short = (): PlacementQuery => ({
  ...long(),
  prompt: {
    model: 'm',
    parts: [
      {id: 'greeting', tokens: 300},
      {id: 'own', tokens: 1_000},
    ],
    tokens: 1_300,
    outputTokens: 170,
  },
  pauseSensitive: true,
  targetMs: 500,
});

const shielded = reservedIds(IDS, PACE.reservedCount);
const open = IDS.filter(id => !shielded.has(id));

test('instances agree on the home of a prompt that nobody holds', () => {
  const forward = chooseUpstream(
    long(),
    IDS.map(id => engine(id)),
    PACE,
    noise,
  );
  const backward = chooseUpstream(
    long(),
    [...IDS].reverse().map(id => engine(id)),
    PACE,
    noise,
  );
  expect(forward).toEqual(backward);
  expect(forward.type === 'chosen' && shielded.has(forward.id)).toBe(false);
});

test('surge of the long kind: engines of the short kind are left to it', () => {
  const busy = {unreadTokens: 40_000, recentTokens: 40_000};
  const candidates = IDS.map(id =>
    engine(id, shielded.has(id) ? {recentPrefillTokens: 9_000} : busy),
  );
  expect(chooseUpstream(long(), candidates, PACE, noise).type).toBe('busy');
  const choice = chooseUpstream(short(), candidates, PACE, noise);
  expect(choice.type === 'chosen' && shielded.has(choice.id)).toBe(true);
});

test('hot prefix: a prompt waits for its holder rather than be read again', () => {
  const [holder = ''] = open;
  const candidates = IDS.map(id =>
    engine(
      id,
      id === holder
        ? {
            cachedTokens: 13_000,
            pendingPrefillTokens: 60_000,
            recentPrefillTokens: 45_000,
          }
        : {recentPrefillTokens: 15_000},
    ),
  );
  expect(chooseUpstream(long(), candidates, PACE, noise).type).toBe('busy');
});

test('hot prefix: an idle engine takes what a full holder can not', () => {
  const [holder = '', idle = ''] = open;
  const candidates = IDS.map(id =>
    engine(id, {
      cachedTokens: id === holder ? 13_000 : 0,
      pendingPrefillTokens: id === idle ? 0 : 60_000,
      recentPrefillTokens: id === idle ? 1_000 : 45_000,
    }),
  );
  expect(chooseUpstream(long(), candidates, PACE, noise)).toMatchObject({
    id: idle,
  });
});

test('the least urgent tier leaves engines time for their streams', () => {
  // 0.7 s of reading in the last second; a prompt of 80 ms would go beyond 0.75.
  const candidates = IDS.map(id =>
    engine(id, {
      cachedTokens: 13_000,
      pendingPrefillTokens: 1,
      recentPrefillTokens: 35_000,
    }),
  );
  const urgent = long({prefillShare: prefillShareOf(1, 2)});
  expect(chooseUpstream(long(), candidates, PACE, noise).type).toBe('busy');
  expect(chooseUpstream(urgent, candidates, PACE, noise).type).toBe('chosen');
});

test('the largest prompt is read where nothing else was read', () => {
  const huge = long();
  const prompt = {
    model: 'm',
    parts: [{id: 'own', tokens: 90_000}],
    tokens: 90_000,
    outputTokens: 100,
  };
  const choice = chooseUpstream(
    {...huge, prompt},
    IDS.map(id => engine(id)),
    PACE,
    noise,
  );
  expect(choice.type).toBe('chosen');
});

test('a third of the upstreams lost: the others are used', () => {
  const candidates = IDS.map((id, index) => engine(id, {ejected: index < 2}));
  const choice = chooseUpstream(long(), candidates, PACE, noise);
  expect(choice.type === 'chosen' && ['i-1', 'i-2'].includes(choice.id)).toBe(
    false,
  );
  const none = IDS.map(id => engine(id, {ejected: true}));
  expect(chooseUpstream(long(), none, PACE, noise).type).toBe('chosen');
});

test('plain requests go where least is served, and not to what was tried', () => {
  const plain: PlacementQuery = {
    pauseSensitive: false,
    answerStarted: false,
    shortestPauseMs: 300,
    targetMs: 200,
    prefillShare: 1,
    yields: false,
    triedUpstreams: new Set(['i-2']),
  };
  const candidates = [
    engine('i-1', {slots: 6, ownInflight: 3, inflight: 6}),
    engine('i-2', {slots: 6}),
    engine('i-3', {slots: 6, ownInflight: 1, inflight: 1}),
  ];
  expect(chooseUpstream(plain, candidates, PACE, noise)).toMatchObject({
    id: 'i-3',
  });
  const full = candidates.map(candidate => ({...candidate, ownInflight: 6}));
  expect(chooseUpstream(plain, full, PACE, noise).type).toBe('full');
  expect(chooseUpstream(plain, [], PACE, noise).type).toBe('none');
});

test('the kind with the shortest pauses is sensitive, if they differ', () => {
  expect(
    [
      [300, [1_200, 500, 300]],
      [500, [1_200, 500, 300]],
      [400, [1_500, 600, 400]],
      [300, [300, 350]],
    ].map(([pause, all]) => isPauseSensitive(pause as number, all as number[])),
  ).toMatchInlineSnapshot(`
    [
      true,
      false,
      true,
      false,
    ]
  `);
});

test('a stream that broke goes on at once, however busy engines are', () => {
  const busy = {unreadTokens: 90_000, recentTokens: 90_000};
  const candidates = IDS.map(id => engine(id, busy));
  const ask = {...long(), tried: new Set([IDS[0] ?? ''])};
  expect(chooseUpstream(ask, candidates, PACE, noise).type).toBe('busy');
  const begun = chooseUpstream(
    {...ask, answerStarted: true},
    candidates,
    PACE,
    noise,
  );
  expect(begun.type).toBe('chosen');
});

test('surge of two tiers: while the more urgent waits, no large prompt begins', () => {
  const candidates = IDS.map(id => engine(id, {recentPrefillTokens: 5_000}));
  expect(chooseUpstream(long(), candidates, PACE, noise).type).toBe('chosen');
  const yielding = long({yields: true});
  expect(chooseUpstream(yielding, candidates, PACE, noise).type).toBe('busy');
});

test('surge of two tiers: the less urgent one still gets small prompts read', () => {
  const candidates = IDS.map(id =>
    engine(id, {recentPrefillTokens: 5_000, cachedTokens: 13_000}),
  );
  const yielding = long({yields: true});
  expect(chooseUpstream(yielding, candidates, PACE, noise).type).toBe('chosen');
});
