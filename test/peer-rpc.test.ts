import {join} from 'node:path';
import {afterEach, describe, expect, it} from 'vitest';
import {packageRoot} from '../src/cli/packageroot.js';
import {
  Credential,
  PeerClient,
  PeerServer,
  readTlsFiles,
  type TlsFiles,
} from '../src/instance/index.js';

const HOST = '127.0.0.1';
const OLD = 'the-old-shared-secret';
const NEW = 'the-new-shared-secret';

const fixture = (name: string) =>
  join(packageRoot(), 'test', 'fixtures', `${name}.pem`);

const peerTls = () =>
  readTlsFiles({
    peerCert: fixture('peer-cert'),
    peerKey: fixture('peer-key'),
    peerCa: fixture('peer-ca'),
  });

const strangerTls = () =>
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
  it('is taken with any secret held during rotation', async () => {
    const rotating = await serve([NEW, OLD]);
    const behind = await serve([OLD]);
    expect(await echo(rotating, [OLD])).toEqual({n: 1});
    expect(await echo(behind, [OLD, NEW])).toEqual({n: 1});
    expect(await echo(behind, [NEW])).toBe('peerRefused');
  });

  it('is refused once a secret is withdrawn', async () => {
    const rotated = await serve([NEW]);
    expect(await echo(rotated, [OLD])).toBe('peerRefused');
  });

  it('over TLS is taken from holders of a certificate only', async () => {
    const server = await serve([OLD], peerTls());
    expect(await echo(server, [OLD], peerTls())).toEqual({n: 1});
    expect(await echo(server, [OLD], strangerTls())).toBe('peerUnreachable');
    expect(await echo(server, [OLD])).toBe('peerUnreachable');
  });
});

describe('files for TLS', () => {
  it('are named all together or not at all', () => {
    expect(readTlsFiles({})).toBeUndefined();
    expect(() => readTlsFiles({peerCert: fixture('peer-cert')})).toThrowError(
      'peer-key: needed along with the other two',
    );
  });
});
