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
const ESTIMATE: SpeedEstimate = {
  prefillTokensPerMs: 50,
  plainRequestMs: 40,
  reservedCount: 2,
};
const noRandomness = () => 0;

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
    paused: false,
    limited: false,
    cachedTokens: 0,
    ...change,
  };
}

/** A request with a long prompt whose first part other prompts share. */
function longPrompt(change: Partial<PlacementQuery> = {}): PlacementQuery {
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

const shortPrompt = (): PlacementQuery => ({
  ...longPrompt(),
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

const reserved = reservedIds(IDS, ESTIMATE.reservedCount);
const unreserved = IDS.filter(id => !reserved.has(id));

test('instances choose the same home for a prompt that no engine has cached', () => {
  const forward = chooseUpstream(
    longPrompt(),
    IDS.map(id => engine(id)),
    ESTIMATE,
    noRandomness,
  );
  const backward = chooseUpstream(
    longPrompt(),
    [...IDS].reverse().map(id => engine(id)),
    ESTIMATE,
    noRandomness,
  );
  expect(forward).toEqual(backward);
  expect(forward.type === 'chosen' && reserved.has(forward.id)).toBe(false);
});

test('surge of long prompts: reserved engines stay free for short ones', () => {
  const busy = {pendingPrefillTokens: 40_000, recentPrefillTokens: 40_000};
  const candidates = IDS.map(id =>
    engine(id, reserved.has(id) ? {recentPrefillTokens: 9_000} : busy),
  );
  expect(
    chooseUpstream(longPrompt(), candidates, ESTIMATE, noRandomness).type,
  ).toBe('busy');
  const choice = chooseUpstream(
    shortPrompt(),
    candidates,
    ESTIMATE,
    noRandomness,
  );
  expect(choice.type === 'chosen' && reserved.has(choice.id)).toBe(true);
});

test('hot prefix: a prompt waits for the engine that has it cached', () => {
  const [holder = ''] = unreserved;
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
  expect(
    chooseUpstream(longPrompt(), candidates, ESTIMATE, noRandomness).type,
  ).toBe('busy');
});

test('hot prefix: an idle engine takes a prompt while its holder is busy', () => {
  const [holder = '', idle = ''] = unreserved;
  const candidates = IDS.map(id =>
    engine(id, {
      cachedTokens: id === holder ? 13_000 : 0,
      pendingPrefillTokens: id === idle ? 0 : 60_000,
      recentPrefillTokens: id === idle ? 1_000 : 45_000,
    }),
  );
  expect(
    chooseUpstream(longPrompt(), candidates, ESTIMATE, noRandomness),
  ).toMatchObject({
    id: idle,
  });
});

test('the least urgent tier leaves engines time for decoding', () => {
  // 0.7 s of prefill in the last second; 80 ms more would exceed 0.75 s.
  const candidates = IDS.map(id =>
    engine(id, {
      cachedTokens: 13_000,
      pendingPrefillTokens: 1,
      recentPrefillTokens: 35_000,
    }),
  );
  const urgent = longPrompt({prefillShare: prefillShareOf(1, 2)});
  expect(
    chooseUpstream(longPrompt(), candidates, ESTIMATE, noRandomness).type,
  ).toBe('busy');
  expect(chooseUpstream(urgent, candidates, ESTIMATE, noRandomness).type).toBe(
    'chosen',
  );
});

test('the largest prompt is placed on an engine without other prefill', () => {
  const huge = longPrompt();
  const prompt = {
    model: 'm',
    parts: [{id: 'own', tokens: 90_000}],
    tokens: 90_000,
    outputTokens: 100,
  };
  const choice = chooseUpstream(
    {...huge, prompt},
    IDS.map(id => engine(id)),
    ESTIMATE,
    noRandomness,
  );
  expect(choice.type).toBe('chosen');
});

test('ejected upstreams are avoided unless all are ejected', () => {
  const candidates = IDS.map((id, index) => engine(id, {ejected: index < 2}));
  const choice = chooseUpstream(
    longPrompt(),
    candidates,
    ESTIMATE,
    noRandomness,
  );
  expect(choice.type === 'chosen' && ['i-1', 'i-2'].includes(choice.id)).toBe(
    false,
  );
  const none = IDS.map(id => engine(id, {ejected: true}));
  expect(chooseUpstream(longPrompt(), none, ESTIMATE, noRandomness).type).toBe(
    'chosen',
  );
});

test('requests without a prompt go to the least loaded untried upstream', () => {
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
  expect(
    chooseUpstream(plain, candidates, ESTIMATE, noRandomness),
  ).toMatchObject({
    id: 'i-3',
  });
  const full = candidates.map(candidate => ({...candidate, ownInflight: 6}));
  expect(chooseUpstream(plain, full, ESTIMATE, noRandomness).type).toBe('full');
  expect(chooseUpstream(plain, [], ESTIMATE, noRandomness).type).toBe('none');
});

test('the route with the shortest pause is sensitive, if pauses differ', () => {
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

test('an interrupted stream is resumed at once, however busy engines are', () => {
  const busy = {pendingPrefillTokens: 90_000, recentPrefillTokens: 90_000};
  const candidates = IDS.map(id => engine(id, busy));
  const query = {...longPrompt(), triedUpstreams: new Set([IDS[0] ?? ''])};
  expect(chooseUpstream(query, candidates, ESTIMATE, noRandomness).type).toBe(
    'busy',
  );
  const resumed = chooseUpstream(
    {...query, answerStarted: true},
    candidates,
    ESTIMATE,
    noRandomness,
  );
  expect(resumed.type).toBe('chosen');
});

test('surge of two tiers: no large prompt starts while a more urgent one waits', () => {
  const candidates = IDS.map(id => engine(id, {recentPrefillTokens: 5_000}));
  expect(
    chooseUpstream(longPrompt(), candidates, ESTIMATE, noRandomness).type,
  ).toBe('chosen');
  const yielding = longPrompt({yields: true});
  expect(
    chooseUpstream(yielding, candidates, ESTIMATE, noRandomness).type,
  ).toBe('busy');
});

test('surge of two tiers: small prompts of the less urgent one are still placed', () => {
  const candidates = IDS.map(id =>
    engine(id, {recentPrefillTokens: 5_000, cachedTokens: 13_000}),
  );
  const yielding = longPrompt({yields: true});
  expect(
    chooseUpstream(yielding, candidates, ESTIMATE, noRandomness).type,
  ).toBe('chosen');
});
