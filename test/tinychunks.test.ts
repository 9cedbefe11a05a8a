import {connect, type Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {Credential, PeerServer} from '../src/instance/index.js';
import {MAC_HEADER, MAC_LENGTH} from '../src/instance/credential.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {MemorySampler} from './support/flood.js';

const BODY_BYTES = 1024 * 1024;
/** Most memory that the body may take, in bytes. */
const GROWTH_BYTES = 48 * 1024 * 1024;
const CHUNK = '1\r\nx\r\n';
const CHUNKS_PER_WRITE = 2_000;

let server: PeerServer | undefined;
let caller: Socket | undefined;

afterEach(async () => {
  caller?.destroy();
  await server?.close();
});

/** Sends the body without its end. */
async function send(socket: Socket): Promise<void> {
  socket.write(
    'POST /rpc HTTP/1.1\r\nHost: peer\r\nTransfer-Encoding: chunked\r\n' +
      `${MAC_HEADER}: ${'x'.repeat(MAC_LENGTH)}\r\n\r\n`,
  );
  const part = CHUNK.repeat(CHUNKS_PER_WRITE);
  for (let sent = 0; sent < BODY_BYTES; sent += CHUNKS_PER_WRITE) {
    await new Promise(resolve => socket.write(part, resolve));
  }
}

// Guards against bodies whose chunks take far more memory than their bytes.
test('the call of a peer in chunks of one byte takes little memory', async () => {
  server = new PeerServer(new Credential(['a-shared-secret']));
  const port = await server.listen(LOOPBACK, 0);
  const memory = new MemorySampler();
  caller = connect(port, LOOPBACK);
  await send(caller);
  const sentBytes = BODY_BYTES * CHUNK.length;
  await expect
    .poll(() => server?.meter.read().bytesIn, {timeout: 5_000})
    .toBeGreaterThanOrEqual(sentBytes);
  expect(memory.end()).toBeLessThan(GROWTH_BYTES);
});
