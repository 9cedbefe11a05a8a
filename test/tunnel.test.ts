import {once} from 'node:events';
import {connect, createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {packageRoot} from '../src/cli/packageroot.js';
import {
  Credential,
  PeerServer,
  readTlsFiles,
  type TlsFiles,
} from '../src/instance/index.js';
import {PeerTunnels} from '../src/instance/peertunnel.js';
import {joinSockets, type TunnelReply} from '../src/relay/index.js';
import {SystemTimer} from '../src/timer/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';

const SECRET = 'a-secret-of-sixteen-letters';

const fixture = (name: string) =>
  join(packageRoot(), 'test', 'fixtures', `${name}.pem`);

const TLS = readTlsFiles({
  peerCert: fixture('peer-cert'),
  peerKey: fixture('peer-key'),
  peerCa: fixture('peer-ca'),
});

let server: PeerServer;
let upstream: Server;
let upstreamPort: number;
let peer: {host: string; port: number};
/** Connections that the upstream has accepted. */
let accepted: Socket[];
/** Files of the peer and its caller; absent without TLS. */
let tls: TlsFiles | undefined;
/** What the peer answers, by default a connection to the upstream. */
let reply: (() => Promise<TunnelReply>) | undefined;

beforeEach(async () => {
  accepted = [];
  reply = undefined;
  upstream = createServer({allowHalfOpen: true}, socket => {
    socket.on('error', () => undefined);
    accepted.push(socket);
  });
  upstream.listen(0, LOOPBACK);
  await once(upstream, 'listening');
  upstreamPort = (upstream.address() as AddressInfo).port;
  tls = undefined;
  await serve();
});

afterEach(async () => {
  for (const socket of accepted) socket.destroy();
  upstream.close();
  await server.close();
});

/** Starts the peer. */
async function serve(): Promise<void> {
  server = new PeerServer(new Credential([SECRET]), tls);
  server.handleTunnels(async (host, port) => {
    if (reply !== undefined) return reply();
    const socket = connect({host, port});
    await once(socket, 'connect');
    return {type: 'opened', socket};
  }, new SystemTimer());
  peer = {host: LOOPBACK, port: await server.listen(LOOPBACK, 0)};
}

function open(secret = SECRET, signal = new AbortController().signal) {
  const tunnels = new PeerTunnels(new Credential([secret]), LOOPBACK, tls);
  const address = {
    id: 'i-1',
    service: 'plain',
    host: LOOPBACK,
    port: upstreamPort,
  };
  return tunnels.open(peer, address, signal);
}

/** An open tunnel, and its other end at the upstream. */
async function openPair(): Promise<{near: Socket; far: Socket}> {
  const near = (await open())._unsafeUnwrap();
  await expect.poll(() => accepted.length).toBe(1);
  const [far] = accepted as [Socket];
  return {near, far};
}

describe.each([{name: 'a tunnel'}, {name: 'a tunnel over TLS', files: TLS}])(
  '$name',
  ({files}) => {
    beforeEach(async () => {
      if (files === undefined) return;
      await server.close();
      tls = files;
      await serve();
    });

    test('passes bytes on in both directions, however many', async () => {
      const {near, far} = await openPair();
      const sent = Buffer.alloc(3_000_000, 'ab');
      far.end(sent);
      near.write('ask');
      expect(String(((await once(far, 'data')) as [Buffer])[0])).toBe('ask');
      const chunks: Buffer[] = [];
      for await (const chunk of near) chunks.push(chunk as Buffer);
      expect(Buffer.concat(chunks).equals(sent)).toBe(true);
    });

    test('ends in order when the upstream closes it', async () => {
      const {near, far} = await openPair();
      far.end('whole');
      const chunks: string[] = [];
      for await (const chunk of near) chunks.push(String(chunk));
      expect(chunks.join('')).toBe('whole');
    });

    test('is reset when the upstream resets it, as an answer is not whole then', async () => {
      const {near, far} = await openPair();
      far.write('half');
      await once(near, 'data');
      far.resetAndDestroy();
      const [error] = (await once(near, 'error')) as [NodeJS.ErrnoException];
      expect(error.code).toBe('ECONNRESET');
    });

    test('is reset when the reset comes with the last bytes', async () => {
      let ended = 0;
      for (let n = 0; n < 40; n++) {
        const {near, far} = await openPair();
        near.on('error', () => undefined);
        // A socket that was reset has no remote address.
        near.once(
          'end',
          () => (ended += near.remoteAddress === undefined ? 0 : 1),
        );
        near.resume();
        far.write('x'.repeat(1 + n * 500));
        // Both are read at once where the reader is late.
        far.resetAndDestroy();
        const until = performance.now() + 3;
        while (performance.now() < until);
        await once(near, 'close');
        accepted = [];
      }
      expect(ended).toBe(0);
    });

    test('is closed at the upstream when its caller leaves', async () => {
      const {near, far} = await openPair();
      near.destroy();
      await once(far.resume(), 'end');
      expect(far.readableEnded).toBe(true);
    });
  },
);

describe('a tunnel', () => {
  test('is not opened for a peer without the secret', async () => {
    expect(await open('another-secret-of-letters')).toMatchInlineSnapshot(`
      Err {
        "error": {
          "cause": "refused with 403",
          "type": "peer",
        },
      }
    `);
    expect(accepted).toEqual([]);
  });

  test('is not opened where nothing is relayed', async () => {
    reply = () => Promise.resolve({type: 'refused'});
    expect(await open()).toMatchInlineSnapshot(`
      Err {
        "error": {
          "type": "refused",
        },
      }
    `);
  });

  test('tells why the peer did not reach the upstream', async () => {
    reply = () => Promise.resolve({type: 'failed', code: 'ECONNREFUSED'});
    expect(await open()).toMatchInlineSnapshot(`
      Err {
        "error": {
          "code": "ECONNREFUSED",
          "type": "upstream",
        },
      }
    `);
  });

  test('is given up when it is no longer needed', async () => {
    const controller = new AbortController();
    reply = () => new Promise<never>(() => undefined);
    const result = open(SECRET, controller.signal);
    controller.abort();
    expect((await result).isErr()).toBe(true);
  });

  test('is refused by a peer that fails unexpectedly, and that goes on', async () => {
    reply = () => Promise.reject(new SyntaxError('unexpected'));
    expect((await open()).isErr()).toBe(true);
    reply = undefined;
    expect((await open()).isOk()).toBe(true);
  });

  test.each(['nonsense', 'host:99999999', ':', 'a:b:c', ''])(
    'to the address %j does not end the peer',
    async authority => {
      reply = () => Promise.resolve({type: 'refused'});
      const socket = connect(peer);
      socket.on('error', () => undefined);
      const mac = new Credential([SECRET]).sign(`CONNECT ${authority}`);
      socket.write(
        `CONNECT ${authority} HTTP/1.1\r\nhost: x\r\n` +
          `gypsumcourse-code: ${mac}\r\n\r\n`,
      );
      await once(socket.resume(), 'close');
      reply = undefined;
      expect((await open()).isOk()).toBe(true);
    },
  );
});

test('a connection that ends in order is not reset any more', async () => {
  const {near} = await openPair();
  let resets = 0;
  const upstreamSide = connect(peer);
  await once(upstreamSide, 'connect');
  upstreamSide.on('error', () => undefined);
  joinSockets(near, upstreamSide, new SystemTimer(), () => resets++);
  upstreamSide.emit('end');
  upstreamSide.emit('error', new TypeError('read ECONNRESET'));
  upstreamSide.destroy();
  expect([near.destroyed, resets]).toEqual([true, 0]);
});

test('a peer that stops closes the tunnels that are left', async () => {
  const {near} = await openPair();
  const closed = once(near.resume(), 'close');
  await server.close();
  await closed;
  server = new PeerServer(new Credential([SECRET]));
  await server.listen(LOOPBACK, 0);
});

test('a peer that serves no tunnels, as earlier builds, is told from others', async () => {
  const earlier = new PeerServer(new Credential([SECRET]));
  peer = {host: LOOPBACK, port: await earlier.listen(LOOPBACK, 0)};
  expect((await open()).isErr()).toBe(true);
  await earlier.close();
});
