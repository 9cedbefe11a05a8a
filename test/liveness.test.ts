import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {decodeEntry} from '../platform/entry.js';
import {protocol} from '../platform/headers.js';
import {Endpoint} from '../src/forward/endpoint.js';
import {LivenessProber, type ResponseObserver} from '../src/forward/index.js';
import {SystemTimer} from '../src/timer/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {
  call,
  startTestGateway,
  RawUpstream,
  successHead,
  wireEntry,
  type RawRequest,
  type TestGateway,
} from './support/gateway.js';

const upstreams: RawUpstream[] = [];
const gateways: TestGateway[] = [];

afterEach(async () => {
  for (const upstream of upstreams.splice(0)) upstream.close();
  await Promise.all(gateways.splice(0).map(({gateway}) => gateway.stop()));
});

async function openGateway(
  answer: (request: RawRequest) => void,
): Promise<TestGateway> {
  const raw = new RawUpstream(answer);
  upstreams.push(raw);
  const port = await raw.listen();
  const started = await startTestGateway(
    [{service: 'engine', id: 'i-1', port}],
    300,
  );
  gateways.push(started);
  return started;
}

const events = (from: number, to: number) =>
  Array.from(
    {length: to - from + 1},
    (_, index) => `id: ${from + index}\ndata: x\n\n`,
  ).join('');

test('a stream is not ended since its upstream turns a probe away', async () => {
  const whole = events(1, 4);
  const {gateway} = await openGateway(({id, socket}) => {
    // An upstream resets connections beyond its limit, such as a probe's.
    if (id === '') {
      socket.resetAndDestroy();
      return;
    }
    const begun = events(1, 2);
    const more =
      'Content-Type: text/event-stream\r\n' +
      `Content-Length: ${whole.length}\r\n`;
    socket.write(successHead(id, more) + begun);
    void sleep(1_200).then(() => socket.write(whole.slice(begun.length)));
  });
  const answer = await call(gateway.port, '/chat/a', 'r1', {method: 'POST'});
  expect([answer?.complete, answer?.body]).toEqual([true, whole]);
});

test.each([
  {state: 'answers', expected: true},
  {state: 'turns the probe away', expected: true},
  {state: 'is silent', expected: false},
  {state: 'has ended', expected: false},
])('an upstream that $state is alive: $expected', async ({state, expected}) => {
  const raw = new RawUpstream(({socket}) => {
    if (state === 'answers') {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
    } else if (state !== 'is silent') socket.resetAndDestroy();
  });
  upstreams.push(raw);
  const port = await raw.listen();
  if (state === 'has ended') raw.close();
  const entry = decodeEntry(
    'i-1',
    Buffer.from(JSON.stringify(wireEntry('engine', port))),
  );
  assert(!('reason' in entry));
  const timer = new SystemTimer();
  const endpoint = new Endpoint(entry, LOOPBACK);
  const observer = {observe: () => false} as unknown as ResponseObserver;
  const prober = new LivenessProber(timer, protocol, observer);
  expect(await prober.isAlive(endpoint)).toBe(expected);
  expect(endpoint.lastHeardAt > -Infinity).toBe(expected);
});
