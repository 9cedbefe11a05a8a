import {afterEach, describe, expect, test, vi} from 'vitest';
import {protocol} from '../platform/headers.js';
import {Topic} from '../src/registry/index.js';
import {
  addressesIn,
  call,
  openTestFeed,
  RawUpstream,
  startGatewayOn,
  successHead,
  type TestGateway,
} from './support/gateway.js';
import {sleep} from './support/silentupstream.js';
import {Stopwatch} from './support/starvation.js';

const GATEWAYS = 5;
const PERIOD_MS = 60;
/** Time from the first declaration after which the rule holds, in ms. */
const STABLE_WINDOW_MS = 4_000;
const WINDOW_MS = 4_000;
/** Time for which requests are sent after that, in ms. */
const JUDGED_MS = 8_000;

const closers: Array<() => Promise<void> | void> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** An upstream that declares a rate and counts what it gets. */
class LimitedUpstream {
  readonly arrivals: number[] = [];
  /** Header line with the declared rate; empty for none. */
  declaration = '';
  private readonly raw = new RawUpstream(({id, socket}) => {
    this.arrivals.push(performance.now());
    socket.write(
      id === ''
        ? 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
        : successHead(id, `${this.declaration}Content-Length: 2\r\n`) + 'ok',
    );
  });

  async listen(): Promise<number> {
    closers.push(() => this.raw.close());
    return this.raw.listen();
  }

  declare(perSecond: number): void {
    this.declaration = `Server-Limit: ${perSecond}\r\n`;
  }

  /** Most arrivals in a window that begins in the time from `from` on. */
  mostInWindow(from: number): number {
    const judged = this.arrivals.filter(at => at >= from);
    const counts = judged.map(
      first =>
        judged.filter(at => at >= first && at < first + WINDOW_MS).length,
    );
    return Math.max(0, ...counts);
  }

  countIn(from: number, to: number): number {
    return this.arrivals.filter(at => at >= from && at < to).length;
  }
}

/** Most requests that the rule allows in a window. */
const allowedAt = (perSecond: number) =>
  Math.floor(1.5 * perSecond * (WINDOW_MS / 1_000)) + 5;

/** Gateways before upstreams of a plain service, with callers at each. */
async function openDeployment(upstreamCount: number, period = PERIOD_MS) {
  const upstreams = Array.from(
    {length: upstreamCount},
    () => new LimitedUpstream(),
  );
  const entries: Array<{service: string; id: string; port: number}> = [];
  for (const [index, upstream] of upstreams.entries()) {
    const port = await upstream.listen();
    entries.push({service: 'plain', id: `i-${index}`, port});
  }
  const feed = openTestFeed(entries);
  const gateways: TestGateway[] = [];
  for (let index = 0; index < GATEWAYS; index++) {
    const started = await startGatewayOn(feed, 300, `entry-${index}`);
    gateways.push({feed, ...started});
    closers.push(() => started.gateway.stop());
  }
  await vi.waitFor(() =>
    expect(addressesIn(feed.records[Topic.Instances])).toHaveLength(GATEWAYS),
  );
  const statuses: Array<{at: number; status: number}> = [];
  let sent = 0;
  const interval = setInterval(() => {
    for (const {gateway} of gateways) {
      void call(gateway.port, '/look/a', `r${++sent}`).then(response => {
        const status = response?.status ?? 0;
        statuses.push({at: performance.now(), status});
      });
    }
  }, period);
  closers.push(() => clearInterval(interval));
  await sleep(1_000);
  return {upstreams, gateways, statuses};
}

describe('an upstream that declares a rate', () => {
  test('gets no more than that from all instances together', async () => {
    const {upstreams, statuses} = await openDeployment(3);
    const [limited] = upstreams;
    limited?.declare(1);
    const stopwatch = new Stopwatch();
    const from = performance.now() + STABLE_WINDOW_MS;
    await sleep(STABLE_WINDOW_MS + JUDGED_MS);
    const starvation = stopwatch.describe();
    expect(limited?.mostInWindow(from), starvation).toBeLessThanOrEqual(
      allowedAt(1),
    );
    // The others of its service take what it doesn't.
    const judged = statuses.filter(({at}) => at >= from);
    expect(
      judged.filter(({status}) => status !== 200),
      starvation,
    ).toEqual([]);
  });

  test('gets most of its rate where requests wait for it', async () => {
    const {upstreams, statuses} = await openDeployment(2);
    const rates = [1, 10];
    upstreams.forEach((upstream, index) => upstream.declare(rates[index] ?? 0));
    const stopwatch = new Stopwatch();
    const from = performance.now() + STABLE_WINDOW_MS;
    await sleep(STABLE_WINDOW_MS + JUDGED_MS);
    const starvation = stopwatch.describe();
    const to = from + JUDGED_MS;
    const seen = upstreams.map((upstream, index) => {
      const rate = rates[index] ?? 0;
      return {
        withinLimit: upstream.mostInWindow(from) <= allowedAt(rate),
        isUsed: upstream.countIn(from, to) >= 0.8 * rate * (JUDGED_MS / 1_000),
      };
    });
    expect(seen, starvation).toEqual([
      {withinLimit: true, isUsed: true},
      {withinLimit: true, isUsed: true},
    ]);
    // What is refused has not run, and may come again.
    const kinds = new Set(statuses.map(({status}) => status));
    expect([...kinds].sort(), starvation).toEqual([200, 503]);
  });
});

test('a declared rate is a decimal number, the lowest of several', () => {
  const values = [
    '3',
    '2.5',
    '.5',
    '0',
    ' 7 ',
    '4, 2',
    '',
    '-1',
    '1e3',
    '+2',
    'many',
    '2, many',
    '99999999999',
  ];
  const read = values.map(value => {
    const {rate} = protocol.readResponse(200, {'server-limit': value});
    if (rate === undefined) return `${value}: none`;
    return `${value}: ${rate.type === 'rate' ? rate.perSecond : 'invalid'}`;
  });
  expect(read).toMatchInlineSnapshot(`
    [
      "3: 3",
      "2.5: 2.5",
      ".5: 0.5",
      "0: 0",
      " 7 : 7",
      "4, 2: 2",
      ": invalid",
      "-1: invalid",
      "1e3: invalid",
      "+2: invalid",
      "many: invalid",
      "2, many: invalid",
      "99999999999: 99999999999",
    ]
  `);
  expect(protocol.readResponse(200, {}).rate).toBeUndefined();
});
