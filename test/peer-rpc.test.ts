import {createServer} from 'node:http';
import {connect} from 'node:net';
import {join} from 'node:path';
import {afterEach, describe, expect, it, test} from 'vitest';
import {packageRoot} from '../src/cli/packageroot.js';
import {ByteBudget} from '../src/forward/bytebudget.js';
import {listen} from '../src/forward/index.js';
import {MAC_HEADER, MAC_LENGTH} from '../src/instance/credential.js';
import {
  Credential,
  PeerClient,
  PeerServer,
  readTlsFiles,
  type TlsFiles,
} from '../src/instance/index.js';
import {SystemTimer} from '../src/timer/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';

const OLD_SECRET = 'the-old-shared-secret';
const NEW_SECRET = 'the-new-shared-secret';

const fixture = (name: string) =>
  join(packageRoot(), 'test', 'fixtures', `${name}.pem`);

const peerTls = () =>
  readTlsFiles({
    peerCert: fixture('peer-cert'),
    peerKey: fixture('peer-key'),
    peerCa: fixture('peer-ca'),
  });

const foreignTls = () =>
  readTlsFiles({
    peerCert: fixture('stranger-cert'),
    peerKey: fixture('stranger-key'),
    peerCa: fixture('peer-ca'),
  });

let closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(closers.map(close => close()));
  closers = [];
});

const serve = async (secrets: string[], tls?: TlsFiles) => {
  const server = new PeerServer(new Credential(secrets), tls);
  server.handle('echo', params => Promise.resolve(params));
  const port = await server.listen(LOOPBACK, 0);
  closers.push(() => server.close());
  return {host: LOOPBACK, port};
};

const echo = async (
  peer: {host: string; port: number},
  secrets: string[],
  tls?: TlsFiles,
) => {
  const client = new PeerClient(new Credential(secrets), LOOPBACK, tls);
  closers.push(() => client.close());
  const answer = await client.call(peer, 'echo', {n: 1}, 2_000);
  return answer.isOk() ? answer.value : answer.error.type;
};

describe('a call between peers', () => {
  it('is accepted with any configured secret during rotation', async () => {
    const rotating = await serve([NEW_SECRET, OLD_SECRET]);
    const behind = await serve([OLD_SECRET]);
    expect(await echo(rotating, [OLD_SECRET])).toEqual({n: 1});
    expect(await echo(behind, [OLD_SECRET, NEW_SECRET])).toEqual({n: 1});
    expect(await echo(behind, [NEW_SECRET])).toBe('peerRefused');
  });

  it('is refused with a secret that was removed', async () => {
    const rotated = await serve([NEW_SECRET]);
    expect(await echo(rotated, [OLD_SECRET])).toBe('peerRefused');
  });

  it('over TLS needs a certificate signed by the authority', async () => {
    const server = await serve([OLD_SECRET], peerTls());
    expect(await echo(server, [OLD_SECRET], peerTls())).toEqual({n: 1});
    expect(await echo(server, [OLD_SECRET], foreignTls())).toBe(
      'peerUnreachable',
    );
    expect(await echo(server, [OLD_SECRET])).toBe('peerUnreachable');
  });
});

// Guards against whatever answers at a peer's address without end.
test('a reply without end is broken off before its call times out', async () => {
  const server = createServer((message, response) => {
    message.resume();
    const write = () => {
      while (!response.destroyed && response.write(Buffer.alloc(64 * 1024)));
    };
    response.on('drain', write);
    write();
  });
  const port = await listen(server, {host: LOOPBACK, port: 0});
  closers.push(async () => {
    server.close();
    server.closeAllConnections();
    await Promise.resolve();
  });
  expect(await echo({host: LOOPBACK, port}, [NEW_SECRET])).toBe(
    'peerUnreachable',
  );
});

/** Begins a call that is not a peer's; resolves to the status of its refusal. */
const beginCall = (port: number, headers: string, sentBytes: number) => {
  const socket = connect(port, LOOPBACK);
  socket.on('error', () => undefined);
  closers.push(async () => {
    socket.destroy();
    await Promise.resolve();
  });
  socket.write(`POST /rpc HTTP/1.1\r\nHost: peer\r\n${headers}\r\n`);
  socket.write(Buffer.alloc(sentBytes));
  return new Promise<string>(resolve => {
    socket.once('data', reply => resolve(reply.toString().slice(9, 12)));
  });
};

const CODE = `${MAC_HEADER}: ${'x'.repeat(MAC_LENGTH)}\r\n`;

// Guards against strangers whose bodies fill the memory of an instance.
describe('the body of a stranger', () => {
  it('yields to others where all such bodies take too much memory', async () => {
    const budget = new ByteBudget(1024 * 1024, new SystemTimer());
    const server = new PeerServer(
      new Credential([NEW_SECRET]),
      undefined,
      budget,
    );
    server.handle('echo', params => Promise.resolve(params));
    const port = await server.listen(LOOPBACK, 0);
    closers.push(() => server.close());
    const calls: Array<Promise<string>> = [];
    const sentBytes = 512 * 1024;
    const head = `${CODE}Content-Length: ${2 * sentBytes}\r\n`;
    while (calls.length < 20) {
      calls.push(beginCall(port, head, sentBytes));
      await expect
        .poll(() => server.meter.read().bytesIn)
        .toBeGreaterThan(calls.length * sentBytes);
    }
    expect(budget.heldBytes).toBeLessThan(1024 * 1024);
    expect(await echo({host: LOOPBACK, port}, [NEW_SECRET])).toEqual({n: 1});
    const refused = await Promise.all(calls.slice(0, -1));
    expect(new Set(refused)).toEqual(new Set(['503']));
  });

  it.each([
    {name: 'without a code', headers: 'Content-Length: 9\r\n', status: '403'},
    {
      name: 'that is too long',
      headers: `${CODE}Content-Length: ${9 * 1024 * 1024}\r\n`,
      status: '413',
    },
  ])('$name is refused before it arrives', async ({headers, status}) => {
    const {port} = await serve([NEW_SECRET]);
    expect(await beginCall(port, headers, 0)).toBe(status);
  });
});

describe('TLS files', () => {
  it('must be set all together or not at all', () => {
    expect(readTlsFiles({})).toBeUndefined();
    expect(() => readTlsFiles({peerCert: fixture('peer-cert')})).toThrowError(
      'peer-key: is required when any of the TLS files is set',
    );
  });
});
