import {expect, test} from 'vitest';
import {
  choose,
  isSensitive,
  readingShareOf,
  shieldedIds,
  type Ask,
  type Candidate,
  type Pace,
} from '../src/forward/placement.js';

const IDS = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'];
const PACE: Pace = {tokensPerMs: 50, serviceMs: 40, shielded: 2};
const noise = () => 0;

function engine(id: string, change: Partial<Candidate> = {}): Candidate {
  return {
    id,
    slots: 64,
    ownInflight: 0,
    inflight: 0,
    unreadTokens: 0,
    recentTokens: 0,
    roundTripMs: 3,
    failing: 0,
    out: false,
    full: false,
    heldTokens: 0,
    ...change,
  };
}

/** A long prompt whose catalogue part is shared with others. */
function long(change: Partial<Ask> = {}): Ask {
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
    sensitive: false,
    begun: false,
    shortestPauseMs: 300,
    targetMs: 2_000,
    readingShare: readingShareOf(2, 2),
    yields: false,
    tried: new Set(),
    ...change,
  };
}

const short = (): Ask => ({
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
  sensitive: true,
  targetMs: 500,
});

const shielded = shieldedIds(IDS, PACE.shielded);
const open = IDS.filter(id => !shielded.has(id));

test('instances agree on the home of a prompt that nobody holds', () => {
  const forward = choose(
    long(),
    IDS.map(id => engine(id)),
    PACE,
    noise,
  );
  const backward = choose(
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
    engine(id, shielded.has(id) ? {recentTokens: 9_000} : busy),
  );
  expect(choose(long(), candidates, PACE, noise).type).toBe('busy');
  const choice = choose(short(), candidates, PACE, noise);
  expect(choice.type === 'chosen' && shielded.has(choice.id)).toBe(true);
});

test('hot prefix: a prompt waits for its holder rather than be read again', () => {
  const [holder = ''] = open;
  const candidates = IDS.map(id =>
    engine(
      id,
      id === holder
        ? {heldTokens: 13_000, unreadTokens: 60_000, recentTokens: 45_000}
        : {recentTokens: 15_000},
    ),
  );
  expect(choose(long(), candidates, PACE, noise).type).toBe('busy');
});

test('hot prefix: an idle engine takes what a full holder can not', () => {
  const [holder = '', idle = ''] = open;
  const candidates = IDS.map(id =>
    engine(id, {
      heldTokens: id === holder ? 13_000 : 0,
      unreadTokens: id === idle ? 0 : 60_000,
      recentTokens: id === idle ? 1_000 : 45_000,
    }),
  );
  expect(choose(long(), candidates, PACE, noise)).toMatchObject({id: idle});
});

test('the least urgent tier leaves engines time for their streams', () => {
  // 0.7 s of reading in the last second; a prompt of 80 ms would go beyond 0.75.
  const candidates = IDS.map(id =>
    engine(id, {heldTokens: 13_000, unreadTokens: 1, recentTokens: 35_000}),
  );
  const urgent = long({readingShare: readingShareOf(1, 2)});
  expect(choose(long(), candidates, PACE, noise).type).toBe('busy');
  expect(choose(urgent, candidates, PACE, noise).type).toBe('chosen');
});

test('the largest prompt is read where nothing else was read', () => {
  const huge = long();
  const prompt = {
    model: 'm',
    parts: [{id: 'own', tokens: 90_000}],
    tokens: 90_000,
    outputTokens: 100,
  };
  const choice = choose(
    {...huge, prompt},
    IDS.map(id => engine(id)),
    PACE,
    noise,
  );
  expect(choice.type).toBe('chosen');
});

test('a third of the upstreams lost: the others are used', () => {
  const candidates = IDS.map((id, index) => engine(id, {out: index < 2}));
  const choice = choose(long(), candidates, PACE, noise);
  expect(choice.type === 'chosen' && ['i-1', 'i-2'].includes(choice.id)).toBe(
    false,
  );
  const none = IDS.map(id => engine(id, {out: true}));
  expect(choose(long(), none, PACE, noise).type).toBe('chosen');
});

test('plain requests go where least is served, and not to what was tried', () => {
  const plain: Ask = {
    sensitive: false,
    begun: false,
    shortestPauseMs: 300,
    targetMs: 200,
    readingShare: 1,
    yields: false,
    tried: new Set(['i-2']),
  };
  const candidates = [
    engine('i-1', {slots: 6, ownInflight: 3, inflight: 6}),
    engine('i-2', {slots: 6}),
    engine('i-3', {slots: 6, ownInflight: 1, inflight: 1}),
  ];
  expect(choose(plain, candidates, PACE, noise)).toMatchObject({id: 'i-3'});
  const full = candidates.map(candidate => ({...candidate, ownInflight: 6}));
  expect(choose(plain, full, PACE, noise).type).toBe('full');
  expect(choose(plain, [], PACE, noise).type).toBe('none');
});

test('the kind with the shortest pauses is sensitive, if they differ', () => {
  expect(
    [
      [300, [1_200, 500, 300]],
      [500, [1_200, 500, 300]],
      [400, [1_500, 600, 400]],
      [300, [300, 350]],
    ].map(([pause, all]) => isSensitive(pause as number, all as number[])),
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
  expect(choose(ask, candidates, PACE, noise).type).toBe('busy');
  const begun = choose({...ask, begun: true}, candidates, PACE, noise);
  expect(begun.type).toBe('chosen');
});

test('surge of two tiers: while the more urgent waits, no large prompt begins', () => {
  const candidates = IDS.map(id => engine(id, {recentTokens: 5_000}));
  expect(choose(long(), candidates, PACE, noise).type).toBe('chosen');
  const yielding = long({yields: true});
  expect(choose(yielding, candidates, PACE, noise).type).toBe('busy');
});

test('surge of two tiers: the less urgent one still gets small prompts read', () => {
  const candidates = IDS.map(id =>
    engine(id, {recentTokens: 5_000, heldTokens: 13_000}),
  );
  const yielding = long({yields: true});
  expect(choose(yielding, candidates, PACE, noise).type).toBe('chosen');
});
