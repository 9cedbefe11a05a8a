import {once} from 'node:events';
import {Agent, request} from 'node:http';
import {connect} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {LOOPBACK} from '../stand-ins/loopback.js';
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
  return {port: gateway.port, agent, upstream};
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
        host: LOOPBACK,
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

  test('in chunks of one byte is served', async () => {
    const {port} = await open();
    const caller = connect(port, LOOPBACK);
    closers.push(() => caller.destroy());
    caller.write(
      'POST /order/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n' +
        'Authorization: Bearer key-one\r\nTransfer-Encoding: chunked\r\n\r\n' +
        `${'1\r\nx\r\n'.repeat(100_000)}0\r\n\r\n`,
    );
    const [bytes] = (await once(caller, 'data')) as [Buffer];
    expect(bytes.toString().split('\r\n')[0]).toBe('HTTP/1.1 200 OK');
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

describe('requests that a caller sends ahead', () => {
  const bytesOf = (id: string) =>
    `GET /look/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\n` +
    'Authorization: Bearer key-one\r\n\r\n';

  function sendAhead(port: number, count: number) {
    const caller = connect(port, LOOPBACK);
    let answers = '';
    caller.on('error', () => undefined);
    caller.on('data', chunk => (answers += chunk.toString()));
    closers.push(() => caller.destroy());
    const ids = Array.from({length: count}, (_, index) => `r${index}`);
    caller.write(ids.map(bytesOf).join(''));
    return {
      caller,
      answered: () => answers.match(/seal-of-r\d+/g) ?? [],
    };
  }

  test('are answered in their order, as many as may wait', async () => {
    const {port} = await open();
    const {answered} = sendAhead(port, 33);
    await expect.poll(() => answered().length).toBe(33);
    expect(answered().slice(0, 3)).toEqual([
      'seal-of-r0',
      'seal-of-r1',
      'seal-of-r2',
    ]);
  });

  test('beyond those that may wait close their connection, unsent', async () => {
    const {port, upstream} = await open();
    const {caller, answered} = sendAhead(port, 34);
    await once(caller, 'close');
    expect({answered: answered(), sent: upstream.received.length}).toEqual({
      answered: [],
      sent: 0,
    });
  });
});

describe('a request', () => {
  /** The first line that a caller receives; undefined if there is none. */
  async function answerTo(head: string): Promise<string | undefined> {
    const {port} = await open();
    const caller = connect(port, LOOPBACK);
    caller.on('error', () => undefined);
    closers.push(() => caller.destroy());
    caller.write(`${head}\r\n\r\n`);
    const [bytes] = (await Promise.race([
      once(caller, 'data'),
      once(caller, 'close'),
    ])) as [Buffer | boolean];
    return Buffer.isBuffer(bytes)
      ? bytes.toString().split('\r\n')[0]
      : undefined;
  }

  const usual =
    'Host: shop.example\r\nX-Request-Id: r1\r\nAuthorization: Bearer key-one';

  test('without a host is refused', async () => {
    const answer = await answerTo('GET /look/a HTTP/1.1\r\nX-Request-Id: r1');
    expect(answer).toBe('HTTP/1.1 400 Bad Request');
  });

  test('that asks for an upgrade or has an expectation is served', async () => {
    const head = `GET /look/a HTTP/1.1\r\n${usual}\r\n`;
    const upgrade = await answerTo(`${head}Connection: upgrade\r\nUpgrade: x`);
    const expectation = await answerTo(`${head}Expect: x`);
    expect([upgrade, expectation]).toEqual([
      'HTTP/1.1 200 OK',
      'HTTP/1.1 200 OK',
    ]);
  });

  test('for a tunnel is not answered', async () => {
    expect(await answerTo(`CONNECT a:1 HTTP/1.1\r\n${usual}`)).toBeUndefined();
  });
});
