import {afterEach, expect, test} from 'vitest';
import {LeaveNotices} from '../src/forward/leavenotices.js';
import {EntryState, Topic, type RegistryEntry} from '../src/registry/index.js';
import {LogEvent} from '../src/telemetry/index.js';
import {
  call,
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
  expect(leaver.raw.received.map(({id}) => id)).toEqual(['s-1', 's-2']);
});

function entry(startedAt?: number, sequence = 1): RegistryEntry {
  return {
    id: 'i-1',
    service: 's',
    host: 'h',
    port: 1,
    zone: 'z',
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
