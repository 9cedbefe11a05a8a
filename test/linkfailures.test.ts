import type {AddressInfo, Socket} from 'node:net';
import {createServer, type Server} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {pino} from 'pino';
import {ConnectionPool} from '../src/forward/connectionpool.js';
import type {Connection} from '../src/forward/connections.js';
import {DirectDialer} from '../src/forward/directdialer.js';
import {Dialer, Isolation, UpstreamLinks} from '../src/relay/index.js';
import {SystemTimer} from '../src/timer/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';

const SERVICE = 'plain';
const RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
/** Time in which an end is read, in ms. */
const READ_MS = 50;

/** What becomes of the connections to both upstreams. */
interface End {
  name: string;
  /** What the upstream does on a request. */
  respond(socket: Socket): void;
  /** What happens once the response, or a part of it, has come. */
  end?(connection: Connection, socket: Socket): void;
  isolation: Isolation;
}

const ENDS: End[] = [
  {
    name: 'are idle, and closed by the upstreams',
    respond: socket => socket.write(RESPONSE),
    end: (_connection, socket) => socket.end(),
    isolation: Isolation.None,
  },
  {
    name: 'are idle, and closed here',
    respond: socket => socket.write(RESPONSE),
    end: connection => connection.destroy(),
    isolation: Isolation.None,
  },
  {
    name: 'end an answer without a length',
    respond: socket => socket.end('HTTP/1.1 200 OK\r\n\r\nok'),
    isolation: Isolation.None,
  },
  {
    name: 'are in use, and closed here',
    respond: socket => socket.write('HTTP/1.1 200 OK\r\n\r\no'),
    end: connection => connection.destroy(),
    isolation: Isolation.None,
  },
  {
    name: 'are in use, and closed by the upstreams',
    respond: socket => socket.end(),
    isolation: Isolation.Suspected,
  },
  {
    name: 'are in use, and reset',
    respond: socket => socket.resetAndDestroy(),
    isolation: Isolation.Suspected,
  },
  {
    name: 'are idle, and reset',
    respond: socket => socket.write(RESPONSE),
    end: (_connection, socket) => socket.resetAndDestroy(),
    isolation: Isolation.Suspected,
  },
];

const servers: Server[] = [];
const links: UpstreamLinks[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
  for (const each of links.splice(0)) each.end();
});

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Sends a request, and waits until its connection has ended. */
async function runOnce(end: End, id: string, dialer: Dialer): Promise<void> {
  let accepted: Socket | undefined;
  const server = createServer(socket => {
    accepted = socket;
    socket.on('error', () => undefined);
    socket.once('data', () => end.respond(socket));
  });
  servers.push(server);
  await new Promise<void>(done => server.listen(0, LOOPBACK, done));
  const {port} = server.address() as AddressInfo;
  const address = {id, service: SERVICE, host: LOOPBACK, port};
  const pool = new ConnectionPool(address, dialer, new SystemTimer());
  const connection = pool.openDirectly();
  connection.dispatch(
    {method: 'GET', path: '/'},
    {
      onRequestStart: () => undefined,
      onResponseStart: () => undefined,
      onResponseData: () => undefined,
      onResponseEnd: () => pool.release(connection, true),
      onResponseError: () => pool.release(connection, false),
    },
  );
  await sleep(READ_MS);
  if (accepted !== undefined) end.end?.(connection, accepted);
  await connection.closed;
  await sleep(READ_MS);
}

// A time-out of idle connections was taken for links that are cut.
describe('two upstreams in a row whose connections', () => {
  test.each(ENDS)('$name', async end => {
    const timer = new SystemTimer();
    const upstreamLinks = new UpstreamLinks({
      timer,
      logger: pino({enabled: false}),
      random: Math.random,
      upstreamsOf: () => ['i-1', 'i-2', 'i-3'],
      answersDirectly: () => new Promise(() => undefined),
      isolated: () => undefined,
      hasPeers: () => true,
    });
    links.push(upstreamLinks);
    const unused = () => new Promise<never>(() => undefined);
    const dialer = new Dialer({
      direct: new DirectDialer(LOOPBACK),
      relays: {open: unused, openThrough: unused},
      links: upstreamLinks,
      timer,
    });
    await runOnce(end, 'i-1', dialer);
    await runOnce(end, 'i-2', dialer);
    expect(upstreamLinks.isolationFrom(SERVICE)).toBe(end.isolation);
  });
});
