import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {
  startTestGateway,
  RawUpstream,
  successHead,
  type TestGateway,
} from './support/gateway.js';

const upstreams: RawUpstream[] = [];
const gateways: TestGateway[] = [];

afterEach(async () => {
  for (const upstream of upstreams.splice(0)) upstream.close();
  await Promise.all(gateways.splice(0).map(({gateway}) => gateway.stop()));
});

test('an answer is not cut since its caller reads it slowly', async () => {
  const bodyBytes = 20_000_000;
  const raw = new RawUpstream(({id, socket}) => {
    const head = successHead(id, `Content-Length: ${bodyBytes}\r\n`);
    socket.write(head + 'x'.repeat(bodyBytes));
  });
  upstreams.push(raw);
  const port = await raw.listen();
  const started = await startTestGateway(
    [{service: 'plain', id: 'i-1', port}],
    300,
  );
  gateways.push(started);
  const caller = connect(started.gateway.port, LOOPBACK);
  caller.on('error', () => undefined);
  await once(caller, 'connect');
  caller.pause();
  caller.write(
    'GET /look/a HTTP/1.1\r\nhost: shop.example\r\nx-request-id: r1\r\n' +
      'authorization: Bearer key-one\r\nconnection: close\r\n\r\n',
  );
  await sleep(800);
  let bytes = 0;
  caller.on('data', chunk => {
    bytes += chunk.length;
  });
  caller.resume();
  await once(caller, 'close');
  expect(bytes).toBeGreaterThan(bodyBytes);
  expect(raw.received.length).toBe(1);
});
