import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {Random} from '../bench/random.js';
import {EndCause, Framing} from '../bench/soak/arrival.js';
import {
  addressOf,
  ServiceName,
  upstreamAddress,
} from '../bench/soak/deployment.js';
import {FaultKind, faultsOf} from '../bench/soak/faults.js';
import {Geography} from '../bench/soak/geography.js';
import {SoakHistory, type Arrival} from '../bench/soak/history.js';
import {DeclaredLimits} from '../bench/soak/limits.js';
import {Succession, SoakUpstream} from '../bench/soak/upstream.js';
import {Acceptance, FaultProxy, startKeyedStore} from '../stand-ins/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';

const LENGTH_MS = 60_000;
const ORDERLY_ENDS = new Set([
  FaultKind.UpstreamRestart,
  FaultKind.UpstreamHangup,
  FaultKind.UpstreamAbsence,
]);

function digestOf(rareFaults: boolean): string {
  const hash = createHash('sha1');
  for (let seed = 1; seed <= 300; seed++) {
    hash.update(JSON.stringify(faultsOf({seed, rareFaults}, LENGTH_MS)));
  }
  return hash.digest('hex');
}

describe('the faults of a seed', () => {
  // Digests of f813f14, which had no ends in order.
  test('are as they were without ends in order', () => {
    expect(digestOf(false)).toBe('b4f76ec4c0fb6453e6511d620cafb1d9895c1999');
    expect(digestOf(true)).toBe('bee9ed5a51bc0e045ae6da76778f329827310e8a');
  });

  test.each([false, true])(
    'are the same beside ends in order, with rare faults: %s',
    rareFaults => {
      for (let seed = 1; seed <= 50; seed++) {
        const without = faultsOf({seed, rareFaults}, LENGTH_MS);
        const options = {seed, rareFaults, orderlyEnds: true};
        const all = faultsOf(options, LENGTH_MS);
        const others = all.filter(({kind}) => !ORDERLY_ENDS.has(kind));
        expect(others).toEqual(without);
        const kinds = new Set(all.map(({kind}) => kind));
        expect([...ORDERLY_ENDS].every(kind => kinds.has(kind))).toBe(true);
      }
    },
  );
});

test('the faults of a seed are the same beside those of records', () => {
  const recordKinds = [
    FaultKind.Blackout,
    FaultKind.Standstill,
    FaultKind.StoreReadOnly,
  ];
  for (let seed = 1; seed <= 50; seed++) {
    const without = faultsOf({seed}, LENGTH_MS);
    const all = faultsOf({seed, recordFaults: true}, LENGTH_MS);
    expect(all.filter(({kind}) => !recordKinds.includes(kind))).toEqual(
      without,
    );
    const kinds = all.map(({kind}) => kind);
    expect(recordKinds.every(kind => kinds.includes(kind))).toBe(true);
  }
});

describe('the places of instances and upstreams', () => {
  test('are far apart if there are two regions', async () => {
    const geography = new Geography(2, 3);
    const distances = [0, 1, 2].map(n => geography.distanceMs(n, 'zone-b'));
    expect(distances).toEqual([0.9, 0, 12]);
    expect([0, 1].map(n => geography.distanceMs(n, 'zone-c'))).toEqual([
      12, 12,
    ]);
    const proxy = await geography.openUpstreamProxy('zone-b');
    const echo = createServer(socket => {
      // The proxy resets its connections when it closes.
      socket.on('error', () => undefined);
      socket.pipe(socket);
    });
    await new Promise<void>(done => echo.listen(0, LOOPBACK, done));
    const {port} = echo.address() as AddressInfo;
    proxy.setTarget(`${LOOPBACK}:${port}`);
    const near = await roundTripMs(proxy, addressOf(1));
    const far = await roundTripMs(proxy, addressOf(2));
    expect(near).toBeLessThan(far);
    expect(far).toBeGreaterThanOrEqual(23);
    await proxy.close();
    echo.close();
  });

  test('are one zone by default', () => {
    const geography = new Geography();
    expect([0, 1, 2].map(n => geography.zoneOf(n))).toEqual(
      Array(3).fill('zone-a'),
    );
    expect(geography.distanceMs(2)).toBe(0);
  });
});

/** Shortest of some round trips from an address through a proxy, in ms. */
async function roundTripMs(
  {host, port}: FaultProxy,
  localAddress: string,
): Promise<number> {
  const socket = connect({host, port, localAddress, noDelay: true});
  await once(socket, 'connect');
  const tries: number[] = [];
  for (let n = 0; n < 5; n++) {
    const from = performance.now();
    socket.write('x');
    await once(socket, 'data');
    tries.push(performance.now() - from);
  }
  socket.destroy();
  return Math.min(...tries);
}

/** A connection to an upstream, and how it ended. */
class Connection {
  text = '';
  isEnded = false;
  error?: Error;
  readonly closed: Promise<void>;
  private readonly socket: Socket;

  constructor(address: string, request: string, events: number) {
    const [host = '', port = ''] = address.split(':');
    this.socket = connect(Number(port), host);
    this.socket.setEncoding('utf8');
    this.socket.on('data', (data: string) => (this.text += data));
    this.socket.on('end', () => (this.isEnded = true));
    this.socket.on('error', error => (this.error = error));
    this.closed = new Promise(resolve => this.socket.once('close', resolve));
    const head = `GET /stream/${events} HTTP/1.1\r\nhost: soak.example\r\n`;
    this.socket.write(`${head}x-request-id: ${request}\r\n\r\n`);
  }

  get events(): number {
    return this.text.split('\n\n').length - 1;
  }

  async untilBegun(): Promise<void> {
    await expect.poll(() => this.text).toContain('id: 2');
  }

  close(): void {
    this.socket.destroy();
  }
}

describe('an upstream of the soak whose connections end in order', () => {
  let history: SoakHistory;
  let store: Awaited<ReturnType<typeof startKeyedStore>>;
  let upstream: SoakUpstream;
  const connections: Connection[] = [];

  beforeEach(async () => {
    history = new SoakHistory();
    store = await startKeyedStore(0, {}, LOOPBACK);
    upstream = new SoakUpstream(
      'streams-0',
      ServiceName.Streams,
      await FaultProxy.open(upstreamAddress()),
      store,
      history,
      new Random(1),
      new DeclaredLimits(1, 0, history),
      ['v1'],
      true,
      new Geography(),
      'zone-a',
    );
    await upstream.start();
  });

  afterEach(async () => {
    for (const connection of connections.splice(0)) connection.close();
    upstream.crash();
    await upstream.proxy.close();
    await store.close();
  });

  function ask(request: string, events = 200): Connection {
    const {address} = upstream.proxy;
    const connection = new Connection(address, request, events);
    connections.push(connection);
    return connection;
  }

  /** Asks for two streams, of which the second one has no length. */
  async function askTwice(): Promise<[Connection, Connection]> {
    const first = ask('r1');
    await first.untilBegun();
    const second = ask('r2');
    await second.untilBegun();
    return [first, second];
  }

  function arrivalOf(request: string): Arrival | undefined {
    return history.arrivalsOf(request)[0];
  }

  /** Expects that all written events came, and then an end that is no reset. */
  async function expectOrderlyEnd(
    connection: Connection,
    request: string,
    endedBy: EndCause,
  ): Promise<void> {
    await connection.closed;
    expect(connection.isEnded).toBe(true);
    expect(connection.error).toBeUndefined();
    expect(arrivalOf(request)).toMatchObject({
      brokeOff: true,
      ending: {endedBy, events: connection.events},
    });
  }

  function listedIds(): string[] {
    const entries = store.log.newest('keyed.servers');
    return entries.map(({key}) => String(key)).sort();
  }

  test.each([
    [Succession.SameId, ['streams-0'], 'streams-0'],
    [Succession.OtherId, ['streams-0-r1'], 'streams-0-r1'],
    [
      Succession.OtherIdUnannounced,
      ['streams-0', 'streams-0-r1'],
      'streams-0-r1',
    ],
  ])(
    'has its next process at the same address at once: %s',
    async (succession, ids, id) => {
      const [first, second] = await askTwice();
      const {born, proxy, incarnation} = upstream;
      upstream.restart(succession);
      expect(upstream.born).toBeGreaterThan(born);
      expect(upstream.incarnation).toBe(incarnation + 1);
      const next = ask('r3', 2);
      await expectOrderlyEnd(first, 'r1', EndCause.Restart);
      await expectOrderlyEnd(second, 'r2', EndCause.Restart);
      expect(arrivalOf('r1')?.framing).toBe(Framing.Chunks);
      expect(arrivalOf('r2')?.framing).toBe(Framing.None);
      await next.untilBegun();
      expect(upstream.proxy).toBe(proxy);
      expect(next.text).toContain(`x-instance-id: ${id}\r\n`);
      expect(arrivalOf('r3')).toMatchObject({incarnation: incarnation + 1});
      expect(listedIds()).toEqual(ids);
    },
  );

  test('goes on after it hung up half of them', async () => {
    const [first, second] = await askTwice();
    upstream.hangUp(true);
    await expectOrderlyEnd(first, 'r1', EndCause.Hangup);
    const {events} = second;
    await expect.poll(() => second.events).toBeGreaterThan(events);
    expect(second.isEnded).toBe(false);
    const next = ask('r3', 2);
    await next.untilBegun();
    await expect
      .poll(() => arrivalOf('r3')?.ending)
      .toMatchObject({endedBy: EndCause.Answer, events: 2});
    expect(arrivalOf('r3')?.brokeOff).toBe(false);
    expect(arrivalOf('r3')).toMatchObject({incarnation: 1});
  });

  test.each([Acceptance.Ended, Acceptance.Held])(
    'leaves an address whose connections are %s',
    async acceptance => {
      const [first, second] = await askTwice();
      upstream.vanish(acceptance);
      await expectOrderlyEnd(first, 'r1', EndCause.Exit);
      await expectOrderlyEnd(second, 'r2', EndCause.Exit);
      const later = ask('r3');
      await Promise.race([
        later.closed,
        new Promise(resolve => setTimeout(resolve, 300)),
      ]);
      expect(later.isEnded).toBe(acceptance === Acceptance.Ended);
      expect(later.error).toBeUndefined();
      expect(later.text).toBe('');
      expect(arrivalOf('r3')).toBeUndefined();
      await upstream.start();
      const again = ask('r4');
      await again.untilBegun();
    },
  );

  test('notes that the side of the caller cut an answer', async () => {
    const connection = ask('r1');
    await connection.untilBegun();
    connection.close();
    await expect
      .poll(() => arrivalOf('r1')?.ending?.endedBy)
      .toBe(EndCause.Caller);
    expect(arrivalOf('r1')?.brokeOff).toBe(true);
  });
});
