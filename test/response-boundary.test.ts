import fc from 'fast-check';
import {request} from 'node:http';
import type {Socket} from 'node:net';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {
  call,
  startTestGateway,
  RawUpstream,
  successHead,
  withoutReports,
  type CallerResponse,
  type RawRequest,
  type TestGateway,
} from './support/gateway.js';

/** Bytes of an answer, with a change, and how its upstream sends them. */
interface Delivery {
  answer: (id: string) => string;
  /** Place of the change, as a share of the answer's length. */
  at: number;
  change: {type: 'none'} | {type: 'cut'} | {type: 'insert'; bytes: string};
  /** Places where a write ends, as shares of the length. */
  splits: number[];
  reset: boolean;
}

const bodyArbitrary = fc
  .array(
    fc.constantFrom(
      'id: 1\ndata: x\n\n',
      'data: y\r\n\r\n',
      'data: z\r\r',
      ': comment\n\n',
      'data',
      '\n',
      'x'.repeat(300),
    ),
    {maxLength: 5},
  )
  .map(parts => parts.join(''));

const typeArbitrary = fc.constantFrom(
  '',
  'Content-Type: text/plain\r\n',
  'Content-Type: text/event-stream\r\n',
);

const answerArbitrary = fc.oneof(
  fc.tuple(typeArbitrary, bodyArbitrary).map(([type, body]) => (id: string) => {
    const length = `Content-Length: ${body.length}\r\n`;
    return successHead(id, type + length) + body;
  }),
  fc.tuple(typeArbitrary, bodyArbitrary).map(
    ([type, body]) =>
      (id: string) =>
        successHead(id, `${type}Connection: close\r\n`) + body,
  ),
  fc
    .tuple(typeArbitrary, fc.array(bodyArbitrary, {maxLength: 3}))
    .map(([type, chunks]) => (id: string) => {
      const body = chunks
        .filter(bytes => bytes !== '')
        .map(bytes => `${bytes.length.toString(16)}\r\n${bytes}\r\n`)
        .join('');
      const framing = 'Transfer-Encoding: chunked\r\n';
      return `${successHead(id, type + framing)}${body}0\r\n\r\n`;
    }),
);

const insertedArbitrary = fc.oneof(
  fc.constantFrom(
    '\r\n',
    '\n',
    ' ',
    ':',
    '\0',
    '0\r\n\r\n',
    '1\r\nx\r\n',
    'HTTP/1.1 200 OK\r\n\r\n',
    'Content-Length: 1\r\n',
    'Transfer-Encoding: chunked\r\n',
  ),
  fc
    .uint8Array({minLength: 1, maxLength: 8})
    .map(bytes => Buffer.from(bytes).toString('latin1')),
);

const shareArbitrary = fc.nat(1_000).map(thousandths => thousandths / 1_000);

const deliveryArbitrary: fc.Arbitrary<Delivery> = fc.record({
  answer: answerArbitrary,
  at: shareArbitrary,
  change: fc.oneof(
    fc.constant({type: 'none' as const}),
    fc.constant({type: 'cut' as const}),
    insertedArbitrary.map(bytes => ({type: 'insert' as const, bytes})),
  ),
  splits: fc.array(shareArbitrary, {maxLength: 3}),
  reset: fc.boolean(),
});

function bytesOf({answer, at, change}: Delivery, id: string): string {
  const whole = answer(id);
  const place = Math.floor(at * whole.length);
  switch (change.type) {
    case 'none':
      return whole;
    case 'cut':
      return whole.slice(0, place);
    case 'insert':
      return whole.slice(0, place) + change.bytes + whole.slice(place);
  }
}

async function deliver(
  delivery: Delivery,
  {id, socket}: RawRequest,
): Promise<void> {
  const bytes = bytesOf(delivery, id);
  const places = delivery.splits.map(share => share * bytes.length);
  const ends = [...places.map(Math.floor), bytes.length];
  ends.sort((a, b) => a - b);
  let from = 0;
  for (const end of ends) {
    if (end > from) await write(socket, bytes.slice(from, end));
    from = end;
  }
  // The bytes are read before a reset that would discard them.
  await new Promise(resolve => setTimeout(resolve, 3));
  if (delivery.reset) socket.resetAndDestroy();
  else socket.end();
}

async function write(socket: Socket, bytes: string): Promise<void> {
  socket.write(Buffer.from(bytes, 'latin1'));
  await new Promise(resolve => setImmediate(resolve));
}

/** Whether a body ends inside an event, by the lines of its text. */
function endsInsideEvent(body: string): boolean {
  const lines = body.split(/\r\n|\r|\n/);
  const lastBlank = lines.slice(0, -1).lastIndexOf('');
  return lines
    .slice(lastBlank + 1)
    .some(line => line !== '' && !line.startsWith(':'));
}

const isWhole = (response?: {status: number; complete: boolean}) =>
  response?.status === 200 && response.complete;

/**
 * Reads an answer without the gateway, with another HTTP client. Invalid bytes
 * after the end of an answer, which [[call]] reports, do not concern it.
 */
function readDirectly(
  port: number,
  id: string,
): Promise<CallerResponse | undefined> {
  return new Promise(resolve => {
    let answered = false;
    const message = request(
      {
        host: LOOPBACK,
        port,
        method: 'POST',
        agent: false,
        headers: {'x-request-id': id},
      },
      response => {
        answered = true;
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString('utf8'),
            complete: response.complete,
          }),
        );
      },
    );
    message.on('error', () => {
      if (!answered) resolve(undefined);
    });
    message.end();
  });
}

const deliveries = new Map<string, Delivery>();
/** The latest delivery; its connection may be kept, but ends after it. */
let delivered = Promise.resolve();
let upstream: RawUpstream;
let upstreamPort: number;
let testGateway: TestGateway;

beforeAll(async () => {
  upstream = new RawUpstream(
    withoutReports(request => {
      const delivery = deliveries.get(request.id);
      if (delivery !== undefined) delivered = deliver(delivery, request);
    }),
  );
  upstreamPort = await upstream.listen();
  testGateway = await startTestGateway(
    [{service: 'plain', id: 'i-1', port: upstreamPort}],
    300,
  );
});

afterAll(async () => {
  await testGateway.gateway.stop();
  upstream.close();
});

test('what looks like a whole success was one, whatever bytes upstreams send', async () => {
  let sequence = 0;
  let whole = 0;
  await fc.assert(
    fc.asyncProperty(deliveryArbitrary, async delivery => {
      const id = `r${sequence++}`;
      deliveries.set(id, delivery);
      const options = {method: 'POST'};
      const {gateway} = testGateway;
      const response = await call(gateway.port, '/order/a', id, options);
      await delivered;
      if (!isWhole(response)) return;
      whole++;
      // The same bytes, as another client understands them.
      const direct = await readDirectly(upstreamPort, id);
      await delivered;
      expect(isWhole(direct)).toBe(true);
      expect(response?.body).toBe(direct?.body);
      expect(direct?.headers['x-request-id']).toBe(id);
      expect(direct?.headers['x-response-seal']).toBeDefined();
      const type = direct?.headers['content-type'] ?? '';
      if (type.startsWith('text/event-stream')) {
        expect(endsInsideEvent(direct?.body ?? '')).toBe(false);
      }
    }),
    {seed: 24, numRuns: 600, endOnFailure: true},
  );
  expect(whole).toBeGreaterThan(100);
}, 60_000);
