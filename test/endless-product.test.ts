import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import type {Dispatcher} from 'undici';
import {EngineClient} from '../src/order/engineclient.js';
import {classifyErrorResponse} from '../src/request/attemptresult.js';
import {relayEvents, StreamProgress} from '../src/request/relay.js';
import {SystemTimer} from '../src/timer/index.js';
import {fetchLoad} from '../src/upstream/report.js';
import {Upstream} from '../src/upstream/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {Flood, MemorySampler} from './support/flood.js';

/** Most that may be kept of what an upstream sends without end, in bytes. */
const KEPT_BYTES = 16 * 1024 * 1024;

const servers: Server[] = [];
const sockets: Socket[] = [];
const upstreams: Upstream[] = [];

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const server of servers.splice(0)) server.close();
  await Promise.all(upstreams.splice(0).map(upstream => upstream.close()));
});

/** An upstream that answers each request by a head and bytes without end. */
async function openUpstream(head: string, unit: string) {
  const floods: Flood[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`HTTP/1.1 ${head}\r\n\r\n`);
      floods.push(new Flood(socket, unit));
    });
  });
  servers.push(server);
  await new Promise<void>(done => server.listen(0, LOOPBACK, done));
  const {port} = server.address() as AddressInfo;
  const upstream = new Upstream(
    'engine',
    'zone-a',
    `http://${LOOPBACK}:${port}`,
    {} as never,
    LOOPBACK,
  );
  upstreams.push(upstream);
  return {upstream, floods};
}

type Read = (upstream: Upstream) => Promise<unknown>;

const answerOf = (upstream: Upstream): Promise<Dispatcher.ResponseData> =>
  upstream.connections.request({method: 'GET', path: '/'});

// Another operator: a process kept such bytes until it had no memory left.
describe('bytes without end from an upstream', () => {
  test.each<{what: string; head: string; unit: string; read: Read}>([
    {
      what: 'a load report',
      head: '200 OK',
      unit: ' ',
      read: upstream => fetchLoad(upstream, new SystemTimer()),
    },
    {
      what: 'the answer to an order',
      head: '200 OK',
      unit: ' ',
      read: upstream => new EngineClient().state(upstream),
    },
    {
      what: 'a failure',
      head: '500 Internal Server Error',
      unit: 'x',
      read: async upstream =>
        classifyErrorResponse(await answerOf(upstream), 'GET'),
    },
    {
      what: 'a rejection',
      head: '400 Bad Request',
      unit: 'x',
      read: async upstream =>
        classifyErrorResponse(await answerOf(upstream), 'GET'),
    },
    {
      what: 'an event',
      head: '200 OK\r\nContent-Type: text/event-stream',
      unit: 'x',
      read: async upstream => {
        const {body} = await answerOf(upstream);
        return relayEvents(
          body,
          new StreamProgress(),
          () => undefined,
          () => Promise.resolve(),
        ).catch((cause: unknown) => cause);
      },
    },
  ])('in $what are neither kept nor read on', async ({head, unit, read}) => {
    const {upstream, floods} = await openUpstream(head, unit);
    const sampler = new MemorySampler();
    const limit = new Promise(resolve => setTimeout(resolve, 600, 'late'));
    const result = await Promise.race([read(upstream), limit]);
    const keptBytes = sampler.end();
    expect(result).not.toBe('late');
    expect(keptBytes).toBeLessThan(KEPT_BYTES);
    await expect.poll(() => floods.map(({closed}) => closed)).toEqual([true]);
  });
});
