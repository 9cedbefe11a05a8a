import {afterEach, describe, expect, test} from 'vitest';
import {
  call,
  RawUpstream,
  startTestGateway,
  successHead,
  withoutReports,
  type CallerResponse,
  type RawRequest,
  type TestGateway,
} from './support/gateway.js';

const upstreams: RawUpstream[] = [];
const gateways: TestGateway[] = [];

afterEach(async () => {
  for (const upstream of upstreams.splice(0)) upstream.close();
  await Promise.all(gateways.splice(0).map(({gateway}) => gateway.stop()));
});

/** Time in which what was written is read before a process ends, in ms. */
const READ_MS = 30;
const EVENT_STREAM = 'Content-Type: text/event-stream\r\n';
/** Larger than what is held back until an answer is whole. */
const LONG = 'x'.repeat(600_000);

const events = (from: number, to: number) =>
  Array.from(
    {length: to - from + 1},
    (_, index) => `id: ${from + index}\ndata: x\n\n`,
  ).join('');

/**
 * Sends a request to two upstreams. The process of the first one that runs it
 * ends after `part` of an answer without a length; the system closes its
 * connections in order. The other one answers with all of it.
 */
async function sendTo(
  path: string,
  service: string,
  headers: string,
  part: string,
  rest: (request: RawRequest) => string,
): Promise<{answer: CallerResponse | undefined; runs: number}> {
  let runs = 0;
  const entries = [];
  for (const id of ['i-1', 'i-2']) {
    const upstream: RawUpstream = new RawUpstream(
      withoutReports(request => {
        const {socket} = request;
        if (request.id === '') return;
        const head = successHead(request.id, `${headers}Connection: close\r\n`);
        if (runs++ > 0) {
          socket.end(head + rest(request));
          return;
        }
        socket.write(head + part);
        setTimeout(() => upstream.close(), READ_MS);
      }),
    );
    upstreams.push(upstream);
    entries.push({service, id, port: await upstream.listen()});
  }
  const started = await startTestGateway(entries, 300);
  gateways.push(started);
  const answer = await call(started.gateway.port, path, 'r1', {
    method: service === 'engine' || path.startsWith('/order') ? 'POST' : 'GET',
    headers: {
      'x-model': 'm',
      'x-token-counts': '10,10',
      'x-prompt-prefix': 'a:5,b:5',
    },
  });
  return {answer, runs};
}

// Found by the soak: a stream that lacked its last events looked complete.
describe('an answer without a length whose upstream ends with it', () => {
  test('goes on at another upstream if it is a resumable stream', async () => {
    const {answer, runs} = await sendTo(
      '/chat/a',
      'engine',
      EVENT_STREAM,
      events(1, 3),
      ({text}) => {
        const last = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0);
        return events(last + 1, 6);
      },
    );
    expect(runs).toBe(2);
    expect([answer?.complete, answer?.body]).toEqual([true, events(1, 6)]);
  });

  test('never looks complete if it is a stream that runs once', async () => {
    const {answer, runs} = await sendTo(
      '/order/a',
      'plain',
      EVENT_STREAM,
      events(1, 3),
      () => '',
    );
    expect(runs).toBe(1);
    expect([answer?.status, answer?.complete]).toEqual([200, false]);
  });

  test('is sent again if it may be repeated', async () => {
    const whole = 'the whole answer';
    const {answer, runs} = await sendTo(
      '/look/a',
      'plain',
      '',
      whole.slice(0, 5),
      () => whole,
    );
    expect(runs).toBe(2);
    expect([answer?.complete, answer?.body]).toEqual([true, whole]);
  });

  test.each([
    {size: 'short', part: 'a part'},
    {size: 'long', part: LONG},
  ])('is no success if it runs once and is $size', async ({part}) => {
    const {answer, runs} = await sendTo(
      '/order/a',
      'plain',
      '',
      part,
      () => '',
    );
    expect(runs).toBe(1);
    const {status, complete} = answer ?? {};
    expect(status === 200 && complete).toBe(false);
  });
});

test('an answer without a length is whole if its upstream goes on running', async () => {
  const upstream = new RawUpstream(
    withoutReports(({id, socket}) => {
      socket.end(`${successHead(id, 'Connection: close\r\n')}all of it`);
    }),
  );
  upstreams.push(upstream);
  const port = await upstream.listen();
  const started = await startTestGateway(
    [{service: 'plain', id: 'i-1', port}],
    300,
  );
  gateways.push(started);
  const answer = await call(started.gateway.port, '/order/a', 'r1', {
    method: 'POST',
  });
  expect([answer?.status, answer?.complete, answer?.body]).toEqual([
    200,
    true,
    'all of it',
  ]);
});
