import {expect, test} from 'vitest';
import {protocol} from '../platform/headers.js';
import {AnswerSign} from '../src/forward/answersign.js';
import {answerSignOf, AttemptTally} from '../src/forward/attempttally.js';
import type {ReceivedHead} from '../src/forward/attemptresult.js';

const head: ReceivedHead = {
  status: 200,
  framed: false,
  notRun: false,
  sealed: true,
  isEventStream: true,
  encoded: false,
  leaving: false,
  forwardedHeaders: [],
};

// An upstream that ends its answer and is silent may be replaced while it is
// asked how the answer ended.
test('counts a replaced attempt whose answer was whole as a run', () => {
  const tally = new AttemptTally(0);
  tally.recordFailure({type: 'delivered', head});
  expect(tally.possibleRuns).toBe(1);
});

test.each([
  {status: 200, sign: AnswerSign.Success},
  {status: 404, sign: AnswerSign.Rejection},
  {status: 408, sign: undefined},
  {status: 421, sign: undefined},
  {status: 429, sign: undefined},
  {status: 500, sign: undefined},
  {status: 503, sign: undefined},
])(
  'an answer of $status counts as sign $sign of an upstream that lived on',
  ({status, sign}) => {
    const answer = {head: {...head, status}, body: Buffer.alloc(0)};
    const result = {type: 'whole', answer, asksForPause: false} as const;
    expect(answerSignOf(result, protocol)).toBe(sign);
  },
);
