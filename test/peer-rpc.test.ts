import {createServer} from 'node:http';
import {join} from 'node:path';
import {afterEach, describe, expect, it, test} from 'vitest';
import {packageRoot} from '../src/cli/packageroot.js';
import {listen} from '../src/forward/index.js';
import {
  Credential,
  PeerClient,
  PeerServer,
  readTlsFiles,
  type TlsFiles,
} from '../src/instance/index.js';

const HOST = '127.0.0.1';
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
  const port = await server.listen(HOST, 0);
  closers.push(() => server.close());
  return {host: HOST, port};
};

const echo = async (
  peer: {host: string; port: number},
  secrets: string[],
  tls?: TlsFiles,
) => {
  const client = new PeerClient(new Credential(secrets), HOST, tls);
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
  const port = await listen(server, {host: HOST, port: 0});
  closers.push(async () => {
    server.close();
    server.closeAllConnections();
    await Promise.resolve();
  });
  expect(await echo({host: HOST, port}, [NEW_SECRET])).toBe('peerUnreachable');
});

describe('TLS files', () => {
  it('must be set all together or not at all', () => {
    expect(readTlsFiles({})).toBeUndefined();
    expect(() => readTlsFiles({peerCert: fixture('peer-cert')})).toThrowError(
      'peer-key: is required when any of the TLS files is set',
    );
  });
});
