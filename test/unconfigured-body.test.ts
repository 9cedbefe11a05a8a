import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {Topic} from '../src/registry/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {
  MemoryFeed,
  startGatewayOn,
  wireConfiguration,
  type TestGateway,
} from './support/gateway.js';

const REQUEST_START = 'http.server.request.start';

/** Time in which reads of the feed that wait have begun, in ms. */
const READ_MS = 100;

let started: Omit<TestGateway, 'feed'> | undefined;

afterEach(() => started?.gateway.stop());

test('a body that comes just before the configuration is not called too large', async () => {
  const feed = new MemoryFeed();
  started = await startGatewayOn(feed, 300);
  let configure = () => {};
  feed.readable = new Promise(resolve => (configure = resolve));
  await sleep(READ_MS);
  feed.add(Topic.Configuration, 'config', wireConfiguration(1));
  const {port} = started.gateway;
  const answer = await new Promise<string>(resolve => {
    const socket = connect(port, LOOPBACK);
    subscribe(REQUEST_START, configure);
    socket.once('data', bytes => {
      socket.destroy();
      resolve(bytes.toString('latin1'));
    });
    socket.write(
      'POST /order/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n' +
        'Authorization: Bearer key-one\r\nContent-Length: 3\r\n\r\nabc',
    );
  });
  unsubscribe(REQUEST_START, configure);
  expect(answer).toMatch(/^HTTP\/1\.1 503 /);
});
