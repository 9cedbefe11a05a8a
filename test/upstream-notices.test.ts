import {afterEach, expect, test} from 'vitest';
import {protocol} from '../platform/headers.js';
import {runAttempt} from '../src/forward/attempt.js';
import {Endpoint} from '../src/forward/endpoint.js';
import {HealthSignal} from '../src/forward/health.js';
import {LeaveNotices} from '../src/forward/leavenotices.js';
import {healthSignalOf} from '../src/forward/retry.js';
import {EntryState, Topic, type RegistryEntry} from '../src/registry/index.js';
import {LogEvent} from '../src/telemetry/index.js';
import {SystemTimer} from '../src/timer/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {openAnswers} from './support/answers.js';
import {
  call,
  startGatewayOn,
  startTestGateway,
  RawUpstream,
  successHead,
  wireEntry,
  type RawRequest,
  type TestGateway,
} from './support/gateway.js';

/** Longer than the drain time of the test gateway. */
const PAST_DRAIN_MS = 400;
const LEAVING = 'Server-Leaving: 1\r\n';

const upstreams: RawUpstream[] = [];
const gateways: TestGateway[] = [];

afterEach(async () => {
  for (const upstream of upstreams.splice(0)) upstream.close();
  await Promise.all(gateways.splice(0).map(({gateway}) => gateway.stop()));
});

async function openUpstream(
  service: string,
  id: string,
  respond: (request: RawRequest) => void,
) {
  const raw = new RawUpstream(respond);
  upstreams.push(raw);
  return {service, id, port: await raw.listen(), raw};
}

async function openGateway(
  ...listed: Array<{service: string; id: string; port: number}>
): Promise<TestGateway> {
  const started = await startTestGateway(listed, 300);
  gateways.push(started);
  return started;
}

const pass = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function answerWith(more = '', body = 'ok') {
  return ({id, socket}: RawRequest) =>
    socket.write(`${successHead(id, `${more}Content-Length: 2\r\n`)}${body}`);
}

const refuse = (more: string) => (request: RawRequest) =>
  request.socket.write(
    `HTTP/1.1 503 Busy\r\nX-Request-Id: ${request.id}\r\n` +
      `X-Not-Executed: 1\r\n${more}Content-Length: 0\r\n\r\n`,
  );

/** Statuses of calls one after the other. */
async function callTimes(port: number, count: number, label: string) {
  const statuses: Array<number | undefined> = [];
  for (let turn = 0; turn < count; turn++) {
    const answer = await call(port, '/look/a', `${label}-${turn}`);
    statuses.push(answer?.status);
  }
  return statuses;
}

test('an upstream that leaves by its answer gets no more requests, whatever its entry says', async () => {
  const leaver = await openUpstream('plain', 'i-1', answerWith(LEAVING));
  const other = await openUpstream('plain', 'i-2', answerWith());
  const {gateway, feed, logLines} = await openGateway(leaver, other);
  while (leaver.raw.received.length === 0) {
    await callTimes(gateway.port, 1, 'a');
  }
  feed.add(Topic.Upstreams, 'i-1', wireEntry('plain', leaver.port, 2));
  await pass(PAST_DRAIN_MS);
  expect(new Set(await callTimes(gateway.port, 10, 'b'))).toEqual(
    new Set([200]),
  );
  expect(leaver.raw.received).toHaveLength(1);
  expect(logLines.filter(({event}) => event === LogEvent.Leaving)).toEqual([
    expect.objectContaining({upstream: 'i-1', source: 'answer'}),
  ]);
  const born = 1_800_000_000_000;
  const reborn = {...wireEntry('plain', leaver.port, 1), born};
  feed.add(Topic.Upstreams, 'i-1', reborn);
  const drained = {...wireEntry('plain', other.port, 2), state: 'draining'};
  feed.add(Topic.Upstreams, 'i-2', drained);
  await pass(700);
  expect(await callTimes(gateway.port, 1, 'c')).toEqual([200]);
  expect(leaver.raw.received).toHaveLength(2);
});

test('no retry and no waiting request reaches an upstream that leaves', async () => {
  let refused = 0;
  const leaver = await openUpstream('plain', 'i-1', answerWith(LEAVING));
  const other = await openUpstream('plain', 'i-2', request => {
    if (request.id.startsWith('retry')) {
      refused++;
      refuse('')(request);
    } else setTimeout(() => answerWith()(request), 120);
  });
  const {gateway} = await openGateway(leaver, other);
  while (leaver.raw.received.length === 0) {
    await callTimes(gateway.port, 1, 'a');
  }
  await pass(PAST_DRAIN_MS);
  expect(await callTimes(gateway.port, 1, 'retry')).toEqual([503]);
  expect(refused).toBe(1);
  // The other upstream has four slots, so that some of the requests wait.
  const answers = await Promise.all(
    Array.from({length: 7}, (_, turn) =>
      call(gateway.port, '/look/a', `wait-${turn}`),
    ),
  );
  expect(answers.map(answer => answer?.status)).toEqual(Array(7).fill(200));
  expect(leaver.raw.received).toHaveLength(1);
});

test('a stream that announces the leaving runs to its end', async () => {
  const leaver = await openUpstream('engine', 'e-1', ({id, socket}) => {
    const head = successHead(
      id,
      `${LEAVING}Content-Type: text/event-stream\r\nConnection: close\r\n`,
    );
    socket.write(`${head}id: 1\ndata: a\n\n`);
    setTimeout(() => socket.end('id: 2\ndata: b\n\n'), PAST_DRAIN_MS);
  });
  const {gateway} = await openGateway(leaver);
  const first = call(gateway.port, '/chat/a', 's-1');
  await pass(50);
  // As the last upstream of its service it serves until the drain is over.
  const second = call(gateway.port, '/chat/a', 's-2');
  await pass(PAST_DRAIN_MS);
  const late = call(gateway.port, '/chat/a', 's-3', {abortAfterMs: 200});
  const bodies = (await Promise.all([first, second])).map(
    answer => answer?.body,
  );
  expect(new Set(bodies)).toEqual(
    new Set(['id: 1\ndata: a\n\nid: 2\ndata: b\n\n']),
  );
  expect((await late)?.status).not.toBe(200);
  const requests = leaver.raw.received.filter(
    ({text}) => !text.startsWith('GET /v1/report '),
  );
  expect(requests.map(({id}) => id)).toEqual(['s-1', 's-2']);
});

/** Answers that ask for a pause, and when they were given, in ms. */
function pausing(seconds: string, more = '') {
  const givenAt: number[] = [];
  const respond = (request: RawRequest) => {
    givenAt.push(performance.now());
    refuse(`Retry-After: ${seconds}\r\n${more}`)(request);
  };
  return {givenAt, respond};
}

test('an upstream that asks for a pause gets no requests until it is over', async () => {
  const pause = pausing('1.5');
  const arrivals: number[] = [];
  const busy = await openUpstream('plain', 'i-1', request => {
    arrivals.push(performance.now());
    if (arrivals.length <= 2) pause.respond(request);
    else answerWith()(request);
  });
  const other = await openUpstream('plain', 'i-2', answerWith());
  const {gateway, logLines} = await openGateway(busy, other);
  const statuses: Array<number | undefined> = [];
  const until = performance.now() + 5_000;
  for (let turn = 0; performance.now() < until; turn++) {
    statuses.push(...(await callTimes(gateway.port, 1, `r${turn}`)));
    await pass(10);
  }
  expect(new Set(statuses)).toEqual(new Set([200]));
  expect(pause.givenAt).toHaveLength(2);
  const during = pause.givenAt.map(
    at => arrivals.filter(t => t > at && t < at + 1_500).length,
  );
  expect(during).toEqual([0, 0]);
  expect(arrivals.length).toBeGreaterThan(5);
  const states = logLines
    .filter(({event}) => event === LogEvent.Pause)
    .map(({state}) => state);
  expect(states).toEqual(['begun', 'begun', 'ended']);
  expect(logLines.some(({event}) => event === LogEvent.Health)).toBe(false);
});

test('while all upstreams pause, callers are told at once when to return', async () => {
  const pauses = ['3', '2'].map(seconds => pausing(seconds));
  const listed = await Promise.all(
    pauses.map(({respond}, index) =>
      openUpstream('plain', `i-${index + 1}`, respond),
    ),
  );
  const {gateway} = await openGateway(...listed);
  await callTimes(gateway.port, 2, 'first');
  expect(pauses.map(({givenAt}) => givenAt.length)).toEqual([1, 1]);
  const startedAt = performance.now();
  const answer = await call(gateway.port, '/look/a', 'second');
  const tookMs = performance.now() - startedAt;
  const retryAfter = Number(answer?.headers['retry-after']);
  expect([answer?.status, tookMs < 100]).toEqual([503, true]);
  expect(JSON.parse(answer?.body ?? '')).toMatchObject({
    error: {type: 'notRun', cause: 'paused'},
  });
  expect(retryAfter).toBeGreaterThan(1);
  expect(retryAfter).toBeLessThan(4);
  await call(gateway.port, '/order/a', 'third', {method: 'POST'});
  expect(pauses.map(({givenAt}) => givenAt.length)).toEqual([1, 1]);
});

test('a request waits for a pause that ends before its objective is due', async () => {
  let refused = false;
  const busy = await openUpstream('plain', 'i-1', request => {
    if (refused) answerWith()(request);
    else refuse('Retry-After: 0.05\r\n')(request);
    refused = true;
  });
  const {gateway} = await openGateway(busy);
  expect(await callTimes(gateway.port, 2, 'a')).toEqual([503, 200]);
});

test('a pause asked for without the mark of a refusal counts, and is no failure', async () => {
  const busy = await openUpstream('plain', 'i-1', ({id, socket}) =>
    socket.write(
      `HTTP/1.1 503 Busy\r\nX-Request-Id: ${id}\r\nX-Response-Seal: s\r\n` +
        'Retry-After: 2\r\nContent-Length: 0\r\n\r\n',
    ),
  );
  const {gateway} = await openGateway(busy);
  const post = (id: string) =>
    call(gateway.port, '/order/a', id, {method: 'POST'});
  // The first request may have run.
  expect((await post('a'))?.status).toBe(502);
  expect((await post('b'))?.status).toBe(503);
  const head = {
    ...protocol.readResponse(503, {}),
    status: 503,
    framed: true,
  };
  const answer = {head, body: Buffer.alloc(0)};
  const signals = [true, false].map(asksForPause =>
    healthSignalOf({type: 'whole', answer, asksForPause}),
  );
  expect(signals).toEqual([undefined, HealthSignal.Failure]);
});

test('an invalid Retry-After is ignored and logged', async () => {
  const busy = await openUpstream('plain', 'i-1', pausing('-3').respond);
  const {gateway, logLines} = await openGateway(busy);
  await callTimes(gateway.port, 2, 'a');
  expect(busy.raw.received).toHaveLength(2);
  expect(logLines).toContainEqual(
    expect.objectContaining({event: LogEvent.Pause, reason: '-3'}),
  );
});

test('a request whose connection opens after the pause began is not sent', async () => {
  const busy = await openUpstream('plain', 'i-1', answerWith());
  const endpoint = new Endpoint(
    {...entry(), host: LOOPBACK, port: busy.port},
    LOOPBACK,
  );
  const timer = new SystemTimer();
  const running = runAttempt({
    endpoint,
    placedAt: timer.now(),
    protocol,
    request: {
      id: 'r',
      method: 'GET',
      target: '/',
      host: 'h',
      forwardedHeaders: [],
    },
    metadata: {upstream: 'i-1', remainingMs: 1_000},
    body: Buffer.alloc(0),
    sink: {
      heldBytes: 0,
      accepts: () => true,
      start: () => true,
      data: () => true,
    },
    timer,
    answers: openAnswers(),
    signal: new AbortController().signal,
    observe: () => false,
  });
  endpoint.pause.begin(timer.now(), 2_000, 0);
  expect(await running).toEqual({type: 'withheld'});
  await pass(50);
  expect(busy.raw.received).toEqual([]);
});

test('other instances are told of an upstream that leaves by its answer', async () => {
  const leaver = await openUpstream('plain', 'i-1', answerWith(LEAVING));
  const other = await openUpstream('plain', 'i-2', answerWith());
  const first = await openGateway(leaver, other);
  const second = {
    feed: first.feed,
    ...(await startGatewayOn(first.feed, 300, 'entry-2')),
  };
  gateways.push(second);
  const hasHeard = () =>
    second.logLines.some(
      ({event, source}) => event === LogEvent.Leaving && source === 'peer',
    );
  while (leaver.raw.received.length === 0) {
    await callTimes(first.gateway.port, 1, 'a');
  }
  for (let turn = 0; turn < 100 && !hasHeard(); turn++) await pass(50);
  expect(hasHeard()).toBe(true);
  await callTimes(second.gateway.port, 10, 'b');
  expect(leaver.raw.received).toHaveLength(1);
});

function entry(startedAt?: number, sequence = 1): RegistryEntry {
  return {
    id: 'i-1',
    service: 's',
    host: 'h',
    port: 1,
    zone: 'z',
    softwareVersion: 'v1',
    slots: 4,
    state: EntryState.Ready,
    coldMs: 0,
    sequence,
    ...(startedAt === undefined ? {} : {startedAt}),
  };
}

test('a leave notice concerns one process and outlives its entry', () => {
  const notices = new LeaveNotices();
  expect([notices.add(entry(100), 5), notices.add(entry(100, 2), 9)]).toEqual([
    true,
    false,
  ]);
  notices.entryRemoved(entry(100));
  expect([
    notices.covers(entry(100, 7)),
    notices.covers(entry(200)),
    notices.isLastResort(entry(100), 14, 10),
    notices.isLastResort(entry(100), 15, 10),
  ]).toEqual([true, false, true, false]);
  notices.add(entry(200), 20);
  // A late answer of the earlier process does not end the notice of the later.
  notices.add(entry(100), 30);
  expect(notices.covers(entry(200))).toBe(true);
  const nameless = new LeaveNotices();
  nameless.add(entry(), 5);
  nameless.entryRemoved(entry());
  expect(nameless.covers(entry())).toBe(false);
});
