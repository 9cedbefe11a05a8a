import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, test, vi} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {
  call,
  startTestGateway,
  RawUpstream,
  successHead,
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
  graceMs: number,
  answer?: (request: RawRequest) => void,
) {
  const raw = new RawUpstream(answer ?? (() => undefined));
  upstreams.push(raw);
  const port = await raw.listen();
  const entries =
    answer === undefined ? [] : [{service: 'plain', id: 'i-1', port}];
  const started = await startTestGateway(entries, graceMs);
  gateways.push(started);
  return {...started, raw};
}

function requestBytes(id: string): string {
  return (
    'GET /look/a HTTP/1.1\r\nhost: shop.example\r\n' +
    `x-request-id: ${id}\r\nauthorization: Bearer key-one\r\n\r\n`
  );
}

async function open(port: number): Promise<Socket> {
  const socket = connect(port, LOOPBACK);
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

/** Waits until a server accepts no new connections. */
async function untilClosed(port: number): Promise<void> {
  for (;;) {
    const socket = connect(port, LOOPBACK);
    const isOpen = await new Promise(resolve => {
      socket.on('connect', () => resolve(true));
      socket.on('error', () => resolve(false));
    });
    socket.destroy();
    if (isOpen !== true) return;
    await sleep(5);
  }
}

const silent = () => undefined;

test('an instance that drains sends answers whole to a caller that reads slowly', async () => {
  const bodyBytes = 250_000;
  // More than the kernel buffers for a connection, and no more than may wait.
  const count = 33;
  const {gateway, logLines} = await openGateway(6_000, ({id, socket}) => {
    const head = successHead(id, `Content-Length: ${bodyBytes}\r\n`);
    socket.write(head + 'x'.repeat(bodyBytes));
  });
  const caller = await open(gateway.port);
  caller.pause();
  const ids = Array.from({length: count}, (_, index) => `r${index}`);
  caller.write(ids.map(requestBytes).join(''));
  const endedCount = () =>
    logLines.filter(({event}) => event === LogEvent.Ended).length;
  // The last answer that has ended waits for the caller; others wait for it.
  const ended = await vi.waitFor(
    async () => {
      const before = endedCount();
      await sleep(200);
      expect(before).toBeGreaterThan(0);
      expect(endedCount()).toBe(before);
      return before;
    },
    {timeout: 3_000},
  );
  expect(ended).toBeLessThan(count);
  let isStopped = false;
  const stopped = gateway.stop().then(() => {
    isStopped = true;
  });
  await sleep(3_200);
  const isStoppedEarly = isStopped;
  const chunks: Buffer[] = [];
  caller.on('data', (chunk: Buffer) => chunks.push(chunk));
  caller.resume();
  await Promise.all([once(caller, 'close'), stopped]);
  const answers = Buffer.concat(chunks).toString('latin1');
  const whole = answers.match(new RegExp(`x{${bodyBytes}}`, 'g')) ?? [];
  const served = answers.match(/HTTP\/1\.1 200 /g) ?? [];
  const refused = answers.match(/HTTP\/1\.1 503 /g) ?? [];
  expect({
    isStoppedEarly,
    areWhole: whole.length === served.length,
    areDelivered: served.length >= ended,
    answered: served.length + refused.length,
  }).toEqual({
    isStoppedEarly: false,
    areWhole: true,
    areDelivered: true,
    answered: count,
  });
});

test('a request that still waits at the end of a drain is refused', async () => {
  const {gateway} = await openGateway(600);
  const answer = call(gateway.port, '/look/a', 'r1');
  await sleep(100);
  await gateway.stop();
  const status = await Promise.race([
    answer.then(response => response?.status),
    sleep(50, 'not answered'),
  ]);
  expect(status).toBe(503);
});

test('a request that still runs at the end of a drain is answered', async () => {
  const {gateway, raw} = await openGateway(600, silent);
  const answer = call(gateway.port, '/order/a', 'r1');
  await sleep(100);
  await gateway.stop();
  const status = await Promise.race([
    answer.then(response => response?.status),
    sleep(50, 'not answered'),
  ]);
  expect([status, raw.received.length]).toEqual([504, 1]);
});

test('a request whose body is incomplete at the end of a drain is refused as not run', async () => {
  const {gateway} = await openGateway(600, silent);
  const caller = await open(gateway.port);
  const received = once(caller, 'data') as Promise<[Buffer]>;
  const head = requestBytes('r1').replace('GET', 'POST').trimEnd();
  caller.write(`${head}\r\ncontent-length: 10\r\n\r\nhalf`);
  await sleep(100);
  await gateway.stop();
  const bytes = await Promise.race([
    received.then(([chunk]) => chunk.toString()),
    sleep(50, 'not answered'),
  ]);
  expect(bytes.split('\r\n')[0]).toBe('HTTP/1.1 503 Service Unavailable');
});

test('a request that arrives after the end of a drain is not sent on', async () => {
  const {gateway, raw} = await openGateway(6_000, silent);
  const stopped = gateway.stop();
  await sleep(2_000);
  const caller = await open(gateway.port);
  await untilClosed(gateway.port);
  const received = once(caller, 'data');
  caller.write(requestBytes('r1'));
  const [bytes] = (await Promise.race([
    received,
    sleep(1_000, ['no answer']),
  ])) as [Buffer | string];
  await stopped;
  expect([String(bytes).split('\r\n')[0], raw.received.length]).toEqual([
    'HTTP/1.1 503 Service Unavailable',
    0,
  ]);
});

test.each(['later', 'earlier'])(
  'both requests of a caller that pipelines are answered during a drain, the first one %s',
  async order => {
    const late = order === 'later' ? 'r1' : 'r2';
    const {gateway, raw} = await openGateway(3_500, ({id, socket}) => {
      const answer = `${successHead(id, 'Content-Length: 2\r\n')}ok`;
      setTimeout(() => socket.write(answer), id === late ? 300 : 0);
    });
    const stopped = gateway.stop();
    const caller = await open(gateway.port);
    let answers = '';
    caller.on('data', chunk => {
      answers += chunk.toString();
    });
    const requests = ['r1', 'r2'].map(requestBytes).join('');
    caller.write(requests.replaceAll('GET /look/', 'POST /order/'));
    await once(caller, 'close');
    expect(raw.received.map(({id}) => id).sort()).toEqual(['r1', 'r2']);
    expect(answers.match(/seal-of-r\d/g)).toEqual(['seal-of-r1', 'seal-of-r2']);
    await stopped;
  },
);
