import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, test} from 'vitest';
import {relayEvents, StreamProgress} from '../src/request/relay.js';
import {Upstream} from '../src/upstream/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';

const EVENTS = 40;
const HEAD =
  'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n';
/** Time from the last event to the end of its connection, in ms. */
const END_MS = 60;
/** Time that the delivery of an event takes, in ms. */
const DELIVERY_MS = 10;

let server: Server | undefined;

afterEach(() => server?.close());

/** Number of events of a stream that are delivered to a slow reader. */
async function read(end: (socket: Socket) => void): Promise<number> {
  server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(HEAD);
      for (let id = 1; id <= EVENTS; id++) {
        socket.write(`id: ${id}\ndata: ${'x'.repeat(5_000)}\n\n`);
      }
      setTimeout(() => end(socket), END_MS);
    });
  });
  server.listen(0, LOOPBACK);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const upstream = new Upstream(
    'i-1',
    'zone-a',
    `http://${LOOPBACK}:${port}`,
    {} as ConstructorParameters<typeof Upstream>[3],
    LOOPBACK,
  );
  const {body} = await upstream.connections.request({method: 'GET', path: '/'});
  let delivered = 0;
  await relayEvents(
    body,
    new StreamProgress(),
    () => undefined,
    async () => {
      await sleep(DELIVERY_MS);
      delivered++;
    },
  );
  return delivered;
}

// Guards against a process that ends with its upstream while a reader is slow.
describe('an upstream that ends a stream which waits for a slow reader', () => {
  test('by closing it: the reader gets all of it', async () => {
    expect(await read(socket => socket.end())).toBe(EVENTS);
  });

  test('by resetting it: the stream breaks off', async () => {
    await expect(read(socket => socket.resetAndDestroy())).rejects.toThrow();
  });
});
