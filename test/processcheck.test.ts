import {afterEach, expect, test} from 'vitest';
import {protocol} from '../platform/headers.js';
import {runAttempt} from '../src/forward/attempt.js';
import {Endpoint} from '../src/forward/endpoint.js';
import {checkProcess, ProcessCheck} from '../src/forward/processcheck.js';
import type {ResponseHead} from '../src/forward/index.js';
import {EntryState} from '../src/registry/index.js';
import {SystemTimer} from '../src/timer/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {openAnswers} from './support/answers.js';
import {RawUpstream, type RawRequest} from './support/gateway.js';

const STARTED_AT = 1_700_000_000_000;
const timer = new SystemTimer();
const answers = openAnswers();
const upstreams: RawUpstream[] = [];

afterEach(() => {
  for (const upstream of upstreams.splice(0)) upstream.close();
});

async function deploy(respond: (request: RawRequest) => void) {
  const upstream = new RawUpstream(respond);
  upstreams.push(upstream);
  const entry = {
    id: 'i-1',
    service: 'engine',
    host: LOOPBACK,
    port: await upstream.listen(),
    zone: 'zone-a',
    softwareVersion: 'v1',
    slots: 4,
    state: EntryState.Ready,
    coldMs: 0,
    startedAt: STARTED_AT,
    sequence: 1,
  };
  const endpoint = new Endpoint(entry, LOOPBACK);
  const connection = endpoint.connections.acquire();
  const {signal} = new AbortController();
  const heads: ResponseHead[] = [];
  const observe = (head: ResponseHead) => {
    heads.push(head);
  };
  const check = () =>
    checkProcess({
      endpoint,
      connection,
      protocol,
      timer,
      answers,
      signal,
      observe,
    });
  return {upstream, endpoint, connection, signal, heads, check};
}

function reportWith(body: string, status = '200 OK') {
  return ({socket}: RawRequest) => {
    const {length} = body;
    socket.write(
      `HTTP/1.1 ${status}\r\nContent-Length: ${length}\r\n\r\n${body}`,
    );
  };
}

test.each([
  {body: `{"born":${STARTED_AT}}`, expected: ProcessCheck.Same},
  {body: `{"born":${STARTED_AT + 1}}`, expected: ProcessCheck.Other},
  {body: '', expected: ProcessCheck.Unknown},
  {body: '{"born":', expected: ProcessCheck.Unknown},
  {body: 'null', expected: ProcessCheck.Unknown},
  {body: '{"born":"1"}', expected: ProcessCheck.Unknown},
])('a report $body shows $expected', async ({body, expected}) => {
  const {check} = await deploy(reportWith(body));
  expect(await check()).toBe(expected);
});

test('notices in the head of a report are observed', async () => {
  const notices = '503 Full\r\nServer-Leaving: 1\r\nRetry-After: 2';
  const {check, heads} = await deploy(reportWith('', notices));
  await check();
  expect(heads).toMatchObject([{leaving: true, retryAfter: '2'}]);
});

test('an upstream without reports is not known', async () => {
  const {check} = await deploy(reportWith('', '404 Not Found'));
  expect(await check()).toBe(ProcessCheck.Unknown);
});

test('an upstream that is silent or hangs up may be another process', async () => {
  const silent = await deploy(() => undefined);
  expect(await silent.check()).toBe(ProcessCheck.Other);
  const hangingUp = await deploy(({socket}) => socket.destroy());
  expect(await hangingUp.check()).toBe(ProcessCheck.Other);
});

test('a process is asked once on a connection', async () => {
  const {check, upstream} = await deploy(reportWith(`{"born":${STARTED_AT}}`));
  await check();
  expect(await check()).toBe(ProcessCheck.Same);
  expect(upstream.received).toHaveLength(1);
});

test('a request is not sent to the process that follows the one that reported', async () => {
  const deployment = await deploy(request => {
    reportWith(`{"born":${STARTED_AT}}`)(request);
    request.socket.end();
  });
  const {check, upstream, endpoint, connection, signal} = deployment;
  expect(await check()).toBe(ProcessCheck.Same);
  await new Promise(resolve => setTimeout(resolve, 50));
  const result = await runAttempt({
    endpoint,
    connection,
    signal,
    placedAt: timer.now(),
    protocol,
    timer,
    answers,
    request: {
      id: 'r1',
      method: 'POST',
      target: '/chat/a',
      host: 'shop.example',
      forwardedHeaders: ['x-request-id', 'r1'],
    },
    metadata: {upstream: 'i-1', remainingMs: 2_000},
    body: Buffer.alloc(0),
    sink: {
      heldBytes: 0,
      accepts: () => true,
      start: () => true,
      data: () => true,
    },
    observe: () => false,
  });
  expect(result.type).toBe('unsent');
  expect(upstream.received).toHaveLength(1);
});
