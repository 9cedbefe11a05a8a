import {afterEach, describe, expect, test} from 'vitest';
import {successHead} from './support/gateway.js';
import {
  closeAll,
  open,
  openGateway,
  sendPlain,
} from './support/silencegateway.js';
import type {Answer} from './support/silentupstream.js';

const REFUSAL =
  'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n';
const TURNS = 6;

afterEach(closeAll);

/** Writes what it last wrote on a connection once more before the next answer. */
function copying(first: (id: string) => string, copied: () => void): Answer {
  const earlier = new WeakMap<object, string>();
  return (request, upstream) => {
    const {id, socket} = request;
    const copy = earlier.get(socket);
    const isFirst = id.startsWith('first');
    const own = isFirst
      ? first(id)
      : `${successHead(id, 'Content-Length: 3\r\n')}own`;
    earlier.set(socket, own);
    if (copy !== undefined) copied();
    return upstream.send(request, (copy ?? '') + own);
  };
}

// A copy of an earlier answer was taken for that of the next request.
describe.each([
  {
    copied: 'a refusal',
    first: (id: string) => `${REFUSAL}X-Request-Id: ${id}\r\n\r\n`,
  },
  {copied: 'a refusal without id', first: () => `${REFUSAL}\r\n`},
  {
    copied: 'an answer',
    first: (id: string) => `${successHead(id, 'Content-Length: 5\r\n')}other`,
  },
])('$copied that is written once more on a kept connection', ({first}) => {
  test('is not taken for the answer of a request that may run once', async () => {
    let copies = 0;
    const answer = copying(first, () => copies++);
    const plain = await open('plain', 1, answer);
    const gateway = await openGateway([plain]);
    for (let turn = 0; turn < TURNS; turn++) {
      await sendPlain(gateway, '/look/a', `first-${turn}`);
      const id = `next-${turn}`;
      const response = await sendPlain(gateway, '/order/a', id);
      expect(plain.arrivals(id)).toHaveLength(1);
      // It has run, so that its caller must not be told that it didn't.
      expect([200, 502]).toContain(response?.status);
      if (response?.status === 200) expect(response.body).toBe('own');
    }
    expect(copies).toBeGreaterThan(0);
  });
});
