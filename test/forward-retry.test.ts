import {expect, test} from 'vitest';
import {
  AnswerProgress,
  BreakCause,
  type AttemptResult,
} from '../src/forward/attemptresult.js';
import {decideRetry, type AttemptHistory} from '../src/forward/retry.js';
import {Repetition, type Route} from '../src/route/index.js';

const ROUTE: Route = {
  name: 'r',
  host: 'shop.example',
  prefix: '/',
  repetition: Repetition.Idempotent,
  streaming: false,
  timeoutMs: 2_000,
  targetMs: 200,
  priority: 0,
  splits: [],
  attemptsLimit: 2,
  open: true,
};

const RESULTS: Record<string, AttemptResult> = {
  unsent: {type: 'unsent', cause: 'no connection'},
  refused: {type: 'refused', status: 503},
  unreadable: {type: 'refused', status: 400},
  broken: {
    type: 'broken',
    cause: 'reset',
    started: false,
    progress: AnswerProgress.None,
    endedBy: BreakCause.Upstream,
  },
};

function judge(
  result: AttemptResult,
  change: Partial<AttemptHistory> = {},
): string {
  const isRun = result.type === 'broken';
  return decideRetry({
    route: ROUTE,
    result,
    attempts: 1,
    possibleRuns: isRun ? 1 : 0,
    resumable: true,
    leftMs: 1_000,
    ...change,
  });
}

test('retries depend on whether the request may have run, and on the time left', () => {
  const once = {route: {...ROUTE, repetition: Repetition.AtMostOnce}};
  const table = Object.entries(RESULTS).map(([name, result]) => ({
    after: name,
    idempotent: judge(result),
    atMostOnce: judge(result, once),
    streamWithoutMark: judge(result, {resumable: false}),
    lastAttempt: judge(result, {
      attempts: 4,
      possibleRuns: result.type === 'broken' ? 2 : 0,
    }),
    outOfTime: judge(result, {leftMs: 10}),
  }));
  expect(table).toMatchInlineSnapshot(`
    [
      {
        "after": "unsent",
        "atMostOnce": "free",
        "idempotent": "free",
        "lastAttempt": "never",
        "outOfTime": "never",
        "streamWithoutMark": "free",
      },
      {
        "after": "refused",
        "atMostOnce": "charged",
        "idempotent": "charged",
        "lastAttempt": "never",
        "outOfTime": "never",
        "streamWithoutMark": "charged",
      },
      {
        "after": "unreadable",
        "atMostOnce": "never",
        "idempotent": "never",
        "lastAttempt": "never",
        "outOfTime": "never",
        "streamWithoutMark": "never",
      },
      {
        "after": "broken",
        "atMostOnce": "never",
        "idempotent": "charged",
        "lastAttempt": "never",
        "outOfTime": "never",
        "streamWithoutMark": "never",
      },
    ]
  `);
});
