import {Agent, request} from 'node:http';
import {afterEach, describe, expect, test} from 'vitest';
import {RawUpstream, startTestGateway, successHead} from './support/gateway.js';

const LIMIT_BYTES = 1_000_000;
const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

async function open() {
  const upstream = new RawUpstream(({id, socket, text}) => {
    // The rest of a long body has no head.
    if (!text.includes('HTTP/1.1\r\n')) return;
    socket.write(`${successHead(id, 'Content-Length: 2\r\n')}ok`);
  });
  const port = await upstream.listen();
  const entries = [{service: 'plain', id: 'plain-0', port}];
  const {gateway} = await startTestGateway(entries);
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  closers.push(
    () => agent.destroy(),
    () => upstream.close(),
    () => gateway.stop(),
  );
  return {port: gateway.port, agent};
}

/** Sends a body, chunked unless a length is announced; resolves to the status. */
function send(
  {port, agent}: {port: number; agent: Agent},
  id: string,
  {bytes, announcedBytes}: {bytes: number; announcedBytes?: number},
): Promise<{status: number | undefined; reused: boolean}> {
  return new Promise((resolve, reject) => {
    const length = {'content-length': String(announcedBytes)};
    const message = request(
      {
        port,
        agent,
        path: '/order/a',
        method: 'POST',
        headers: {
          host: 'shop.example',
          'x-request-id': id,
          'x-deadline-ms': '2000',
          authorization: 'Bearer key-one',
          ...(announcedBytes === undefined ? {} : length),
        },
      },
      response => {
        response.resume();
        response.on('end', () =>
          resolve({status: response.statusCode, reused: message.reusedSocket}),
        );
      },
    );
    message.on('error', reject);
    message.write(Buffer.alloc(bytes));
    if (announcedBytes === undefined || announcedBytes === bytes) message.end();
  });
}

describe('a body', () => {
  test('of the largest allowed size is served', async () => {
    const callers = await open();
    const bytes = LIMIT_BYTES;
    const expected = {status: 200, reused: false};
    expect(await send(callers, 'r1', {bytes})).toEqual(expected);
  });

  test('over the limit is refused, and the connection serves the next request', async () => {
    const callers = await open();
    const {status} = await send(callers, 'r1', {bytes: LIMIT_BYTES + 100_000});
    const next = await send(callers, 'r2', {bytes: 10});
    expect({status, next}).toEqual({
      status: 413,
      next: {status: 200, reused: true},
    });
  });

  test('that is announced over the limit is refused before it is sent', async () => {
    const callers = await open();
    const announcedBytes = 1024 ** 3;
    const {status} = await send(callers, 'r1', {bytes: 10, announcedBytes});
    const next = await send(callers, 'r2', {bytes: 10});
    expect({status, next: next.status}).toEqual({status: 413, next: 200});
  });
});
