import {expect, test} from 'vitest';
import {protocol} from '../platform/headers.js';
import {AnswerSign} from '../src/forward/answersign.js';
import {answerSignOf, AttemptTally} from '../src/forward/attempttally.js';
import type {ReceivedHead} from '../src/forward/attemptresult.js';

const head: ReceivedHead = {
  request: 'r1',
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

test('the end of a stream is no sign of an upstream that lived on without an event', () => {
  expect(answerSignOf({type: 'delivered', head}, protocol)).toBeUndefined();
  const plain = {...head, isEventStream: false};
  const sign = answerSignOf({type: 'delivered', head: plain}, protocol);
  expect(sign).toBe(AnswerSign.Success);
});

test('a rejection without the marks of its upstream is no sign', () => {
  const unnamed: ReceivedHead = {...head, status: 404};
  delete unnamed.request;
  for (const bare of [unnamed, {...head, status: 404, sealed: false}]) {
    const answer = {head: bare, body: Buffer.alloc(0)};
    const result = {type: 'whole', answer, asksForPause: false} as const;
    expect(answerSignOf(result, protocol)).toBeUndefined();
  }
});
