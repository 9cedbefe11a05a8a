import fc from 'fast-check';
import {afterEach, describe, expect, test} from 'vitest';
import {decodeEntry} from '../platform/entry.js';
import {Endpoint} from '../src/forward/endpoint.js';
import {Topic} from '../src/registry/index.js';
import {
  call,
  RawUpstream,
  startTestGateway,
  successHead,
  wireEntry,
  withoutReports,
  type TestGateway,
} from './support/gateway.js';

/** Depth of lists at which recursive decoders exhaust the stack. */
const DEPTH = 200_000;

let gateway: TestGateway | undefined;
let upstream: RawUpstream | undefined;

afterEach(async () => {
  upstream?.close();
  await gateway?.gateway.stop();
  gateway = undefined;
});

const sound = wireEntry('plain', 8_000);

/** Entries of other writers that name no upstream, as the store returns them. */
const FOREIGN: Record<string, Buffer> = {
  'a port out of range': encode({address: '127.0.0.1:80800'}),
  'port 0': encode({address: '127.0.0.1:0'}),
  'an octet out of range': encode({address: '999.1.1.1:80'}),
  'a number too large': Buffer.from(
    JSON.stringify(sound).replace('"slots":4', '"slots":1e999'),
  ),
  'a sequence too large': encode({seq: 1e300}),
  'a start too large': encode({born: 1e300}),
  'deep lists': Buffer.from(
    `${JSON.stringify(sound).slice(0, -1)},"x":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}}`,
  ),
  'deep lists in place of a field': Buffer.from(
    JSON.stringify(sound).replace(
      '"zone":"zone-a"',
      `"zone":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`,
    ),
  ),
  'no UTF-8': Buffer.from([0xff, 0xfe, 0x7b, 0xc3]),
  'megabytes of text': encode({zone: 'z'.repeat(3_000_000), address: 1}),
  'keys twice': Buffer.from('{"service":"plain","service":1}'),
  'a list': Buffer.from('[]'),
  nothing: Buffer.from('null'),
};

function encode(fields: Record<string, unknown>): Buffer {
  return Buffer.from(JSON.stringify({...sound, ...fields}));
}

describe('an entry of another writer', () => {
  test.each(Object.keys(FOREIGN))('with %s ends no decoder', name => {
    const entry = decodeEntry('x', FOREIGN[name] ?? Buffer.alloc(0));
    if ('reason' in entry) return;
    // What passes as an entry must be usable as one.
    new Endpoint(entry, '127.0.0.1').connections.open().destroy();
  });

  test('that is arbitrary is ignored or can be connected to', () => {
    const digits = fc.integer({min: 0, max: 100_000});
    const address = fc.oneof(
      fc.string(),
      fc
        .tuple(digits, digits, digits, digits, digits)
        .map(([a, b, c, d, port]) => `${a}.${b}.${c}.${d}:${port}`),
    );
    const number = fc.oneof(fc.double(), fc.integer(), fc.anything());
    const fields = fc.oneof(
      fc.record({address}),
      fc.record({address: fc.anything()}),
      fc.record({slots: number}),
      fc.record({seq: number}),
      fc.record({born: number}),
      fc.record({coldRemainingMs: number}),
      fc.record({state: fc.oneof(fc.string(), fc.anything())}),
      fc.record({service: fc.anything(), zone: fc.anything()}),
    );
    fc.assert(
      fc.property(fields, candidate => {
        const text = JSON.stringify({...sound, ...candidate}, (_key, value) =>
          typeof value === 'bigint' ? String(value) : (value as unknown),
        );
        const entry = decodeEntry('x', Buffer.from(text));
        if ('reason' in entry) return;
        new Endpoint(entry, '127.0.0.1').connections.open().destroy();
      }),
      {numRuns: 2_000, seed: 48},
    );
  });

  test('neither ends an instance nor stops it following the list', async () => {
    upstream = new RawUpstream(
      withoutReports(({id, socket}) =>
        socket.write(`${successHead(id, 'Content-Length: 2\r\n')}ok`),
      ),
    );
    const port = await upstream.listen();
    gateway = await startTestGateway([]);
    const {feed} = gateway;
    for (const [key, value] of Object.entries(FOREIGN)) {
      const records = feed.records[Topic.Upstreams];
      records.push({key, value, offset: records.length});
    }
    feed.add(Topic.Upstreams, 'plain-1', wireEntry('plain', port));
    const served = async (request: string) => {
      const path = '/look/a';
      return (await call(gateway?.gateway.port ?? 0, path, request))?.status;
    };
    await expect.poll(() => served('r0'), {timeout: 3_000}).toBe(200);
    const statuses = [];
    for (let index = 1; index <= 40; index++) {
      statuses.push(await served(`r${index}`));
    }
    expect(new Set(statuses)).toEqual(new Set([200]));
  });
});
