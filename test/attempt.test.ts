import {afterEach, describe, expect, test} from 'vitest';
import {protocol} from '../platform/headers.js';
import {runAttempt} from '../src/forward/attempt.js';
import type {Sink} from '../src/forward/attemptspec.js';
import {
  AnswerProgress,
  BreakCause,
  type AttemptResult,
} from '../src/forward/attemptresult.js';
import {Endpoint} from '../src/forward/endpoint.js';
import {EntryState} from '../src/registry/index.js';
import {SystemTimer} from '../src/timer/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {openAnswers} from './support/answers.js';
import {RawUpstream, successHead, type RawRequest} from './support/gateway.js';

const upstreams: RawUpstream[] = [];

afterEach(() => {
  for (const upstream of upstreams.splice(0)) upstream.close();
});

/** Takes whatever comes, at once. */
const ACCEPTING: Sink = {
  heldBytes: 0,
  accepts: () => true,
  start: () => true,
  data: () => true,
};

/** Makes an attempt at an upstream; it is aborted after `abortAfterMs`. */
async function attempt(
  respond: (request: RawRequest) => void,
  abortAfterMs = 2_000,
  sink = ACCEPTING,
): Promise<AttemptResult> {
  const upstream = new RawUpstream(respond);
  upstreams.push(upstream);
  const timer = new SystemTimer();
  const endpoint = new Endpoint(
    {
      id: 'i-1',
      service: 'plain',
      host: LOOPBACK,
      port: await upstream.listen(),
      zone: 'zone-a',
      softwareVersion: 'v1',
      slots: 4,
      state: EntryState.Ready,
      coldMs: 0,
      sequence: 1,
    },
    LOOPBACK,
  );
  return runAttempt({
    endpoint,
    placedAt: timer.now(),
    protocol,
    request: {
      id: 'r1',
      method: 'POST',
      target: '/order/a',
      host: 'shop.example',
      forwardedHeaders: ['x-request-id', 'r1'],
    },
    metadata: {upstream: 'i-1', remainingMs: 2_000},
    body: Buffer.alloc(0),
    sink,
    timer,
    answers: openAnswers(),
    signal: AbortSignal.timeout(abortAfterMs),
    observe: () => false,
  });
}

const EVENT = 'id: 1\ndata: x\n\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const STREAM = `${CHUNKED}Content-Type: text/event-stream\r\n`;

const chunk = (bytes: string) => `${bytes.length.toString(16)}\r\n${bytes}\r\n`;

const BEGINNINGS: Array<{
  name: string;
  bytes: string;
  progress: AnswerProgress;
}> = [
  {name: 'no bytes', bytes: '', progress: AnswerProgress.None},
  {
    name: 'a part of a head',
    bytes: 'HTTP/1.1 200 OK\r\nX-Requ',
    progress: AnswerProgress.None,
  },
  {
    name: 'the head of a failure',
    bytes: `HTTP/1.1 500 No\r\nX-Request-Id: r1\r\n${CHUNKED}\r\n`,
    progress: AnswerProgress.None,
  },
  {
    name: 'the head of a stream',
    bytes: successHead('r1', STREAM),
    progress: AnswerProgress.Begun,
  },
  {
    name: 'a part of the first event',
    bytes: successHead('r1', STREAM) + chunk(EVENT.slice(0, -1)),
    progress: AnswerProgress.Begun,
  },
  {
    name: 'a comment',
    bytes: successHead('r1', STREAM) + chunk(': comment\n\n'),
    progress: AnswerProgress.Begun,
  },
  {
    name: 'one event',
    bytes: successHead('r1', STREAM) + chunk(EVENT),
    progress: AnswerProgress.Advanced,
  },
  {
    name: 'an event and a part of the next',
    bytes: successHead('r1', STREAM) + chunk(`${EVENT}id: 2\n`),
    progress: AnswerProgress.Advanced,
  },
  {
    name: 'a part of a plain body',
    bytes: successHead('r1', CHUNKED) + chunk('some'),
    progress: AnswerProgress.Begun,
  },
  {
    name: 'much of a plain body',
    bytes: successHead('r1', CHUNKED) + chunk('x'.repeat(300_000)),
    progress: AnswerProgress.Begun,
  },
];

const ENDS: Array<{name: string; end: (request: RawRequest) => void}> = [
  {name: 'closed', end: ({socket}) => socket.end()},
  {name: 'reset', end: ({socket}) => socket.resetAndDestroy()},
  {
    name: 'followed by invalid bytes',
    end: ({socket}) => socket.write('?!\r\n'),
  },
];

for (const {name, bytes, progress} of BEGINNINGS) {
  test(`${name} before the end tells how far an answer got`, async () => {
    const results = [];
    for (const {end} of ENDS) {
      const result = await attempt(request => {
        request.socket.write(bytes);
        setTimeout(() => end(request), 20);
      });
      results.push(result);
    }
    const aborted = await attempt(({socket}) => socket.write(bytes), 30);
    const broken = {type: 'broken', progress, endedBy: BreakCause.Upstream};
    expect(results).toMatchObject(ENDS.map(() => broken));
    expect(aborted).toMatchObject({...broken, endedBy: BreakCause.Abort});
  });
}

test('an answer to another request is no progress', async () => {
  const result = await attempt(({socket}) =>
    socket.write(successHead('other', STREAM) + chunk(EVENT)),
  );
  expect(result).toMatchObject({
    type: 'broken',
    progress: AnswerProgress.None,
    endedBy: BreakCause.Abort,
  });
});

test('a stream that ends inside an event was broken by its upstream', async () => {
  const stream = successHead('r1', STREAM);
  const whole = await attempt(({socket}) =>
    socket.write(`${stream}${chunk(EVENT)}0\r\n\r\n`),
  );
  const cut = await attempt(({socket}) =>
    socket.write(`${stream}${chunk(`${EVENT}id: 2`)}0\r\n\r\n`),
  );
  expect(whole.type).toBe('delivered');
  expect(cut).toMatchObject({
    type: 'broken',
    progress: AnswerProgress.Advanced,
    endedBy: BreakCause.Upstream,
  });
});

class Defect extends Error {
  override name = 'Defect';
  override message = 'a defect';
}

test('a defect while bytes are passed on breaks the attempt off', async () => {
  const result = await attempt(
    ({socket}) => socket.write(successHead('r1', STREAM) + chunk(EVENT)),
    2_000,
    {
      ...ACCEPTING,
      data: () => {
        throw new Defect();
      },
    },
  );
  expect(result).toMatchObject({
    type: 'broken',
    cause: 'Defect: a defect',
    endedBy: BreakCause.Abort,
  });
});

/** Time for which a caller does not read, in ms. */
const UNREAD_MS = 300;

// Guards against a process that ends with its upstream while a caller is slow.
describe('an upstream whose last bytes wait for their caller', () => {
  test.each([
    {name: 'without a length', framing: '', whole: true},
    {name: 'of a length', framing: 'Content-Length: 30\r\n', whole: true},
    {name: 'of a longer length', framing: 'Content-Length: 31\r\n'},
    {name: 'in chunks', framing: CHUNKED},
  ])('may end its answer $name', async ({framing, whole = false}) => {
    const head = successHead(
      'r1',
      `Connection: close\r\nContent-Type: text/event-stream\r\n${framing}`,
    );
    const results = [];
    for (const {end} of ENDS.slice(0, 2)) {
      const result = await attempt(
        request => {
          const bytes = framing === CHUNKED ? chunk(EVENT) : EVENT;
          request.socket.write(head + bytes);
          // The parser pauses at the first bytes that come while it has to.
          setTimeout(() => request.socket.write(bytes), UNREAD_MS / 4);
          setTimeout(() => end(request), UNREAD_MS / 2);
        },
        2_000,
        {
          ...ACCEPTING,
          data: (_bytes, resume) => {
            setTimeout(resume, UNREAD_MS);
            return false;
          },
        },
      );
      results.push(result);
    }
    const broken = {type: 'broken', endedBy: BreakCause.Upstream};
    expect(results).toMatchObject([
      whole ? {type: 'delivered'} : broken,
      broken,
    ]);
  });
});
