import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, test, vi} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
import {
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
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

test('an instance that drains sends answers whole to a caller that reads slowly', async () => {
  const bodyBytes = 250_000;
  // More than the kernel buffers for a connection.
  const count = 40;
  const {gateway, logLines} = await openGateway(6_000, ({id, socket}) => {
    const head = successHead(id, `Content-Length: ${bodyBytes}\r\n`);
    socket.write(head + 'x'.repeat(bodyBytes));
  });
  const caller = await open(gateway.port);
  caller.pause();
  const ids = Array.from({length: count}, (_, index) => `r${index}`);
  caller.write(ids.map(requestBytes).join(''));
  await vi.waitFor(
    () => {
      const ended = logLines.filter(({event}) => event === LogEvent.Ended);
      expect(ended).toHaveLength(count);
    },
    {timeout: 3_000},
  );
  let isStopped = false;
  const stopped = gateway.stop().then(() => {
    isStopped = true;
  });
  await sleep(3_200);
  const isStoppedEarly = isStopped;
  let bytes = 0;
  caller.on('data', chunk => {
    bytes += chunk.length;
  });
  caller.resume();
  await Promise.all([once(caller, 'close'), stopped]);
  expect({isStoppedEarly, isWhole: bytes >= count * bodyBytes}).toEqual({
    isStoppedEarly: false,
    isWhole: true,
  });
});
