import {afterEach, describe, expect, test} from 'vitest';
import {decodeEntry} from '../platform/entry.js';
import {protocol} from '../platform/headers.js';
import {gossipMessageSchema} from '../src/fleet/message.js';
import {PermitIssuer} from '../src/fleet/permitissuer.js';
import {Endpoint} from '../src/forward/endpoint.js';
import {
  Endpoints,
  LivenessProber,
  ResponseObserver,
  UpstreamNotices,
} from '../src/forward/index.js';
import {RateLimit} from '../src/forward/ratelimit.js';
import {ManualTimer, SystemTimer} from '../src/timer/index.js';
import {pino} from 'pino';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {RawUpstream, wireEntry} from './support/gateway.js';

const upstreams: RawUpstream[] = [];

afterEach(() => {
  for (const upstream of upstreams.splice(0)) upstream.close();
});

function endpointsWith(...ids: string[]) {
  const timer = new ManualTimer();
  const endpoints = new Endpoints(LOOPBACK);
  const entries = ids.map(id => {
    const value = Buffer.from(JSON.stringify(wireEntry('plain', 1)));
    const entry = decodeEntry(id, value);
    if (entry === undefined || 'reason' in entry) throw new TypeError();
    return entry;
  });
  endpoints.apply(entries, undefined);
  let changes = 0;
  const observer = new ResponseObserver({
    endpoints,
    timer,
    logger: pino({level: 'silent'}),
    random: () => 0,
    rateChanged: () => {
      changes++;
    },
  });
  const notices = new UpstreamNotices(endpoints, observer, timer);
  const limitOf = (id: string) => {
    const startedAt = 1_700_000_000_000;
    return endpoints.find([id, startedAt])?.limit;
  };
  return {timer, notices, observer, limitOf, changes: () => changes};
}

describe('what an upstream states of its rate', () => {
  test('holds until an answer without it, but for one that was overtaken', () => {
    const limit = new RateLimit();
    expect(limit.state(2, 1_000)).toBe(true);
    expect(limit.state(2, 1_100)).toBe(false);
    expect(limit.state(undefined, 1_300)).toBe(false);
    expect(limit.state(5, 900)).toBe(false);
    expect(limit.perSecond).toBe(2);
    expect(limit.state(1, 1_400)).toBe(true);
    expect(limit.state(undefined, 1_900)).toBe(true);
    expect(limit.perSecond).toBeUndefined();
    // An older statement that a peer tells late.
    expect(limit.state(1, 1_850)).toBe(false);
  });

  test('requires a permit for each request, which expires', () => {
    const limit = new RateLimit();
    expect([limit.admits(0), limit.take(0)]).toEqual([true, true]);
    limit.state(1, 0);
    expect([limit.admits(0), limit.take(0)]).toEqual([false, false]);
    limit.grant(2, 100);
    expect([limit.take(399), limit.take(400)]).toEqual([true, false]);
    limit.expect(700, 500);
    expect([limit.remainingMs(600), limit.remainingMs(1_600)]).toEqual([
      600, 0,
    ]);
  });

  test('reaches the other instances, and its end does', () => {
    const [first, second] = [endpointsWith('i-1'), endpointsWith('i-1')];
    const tell = () => {
      const message = {from: 'entry-1', loads: [], readings: [], waiting: []};
      const wire = {...message, ...first.notices.take()};
      second.notices.learn(gossipMessageSchema.parse(wire));
    };
    first.limitOf('i-1')?.state(3, first.timer.now());
    tell();
    expect(second.limitOf('i-1')?.perSecond).toBe(3);
    tell();
    expect(second.changes()).toBe(1);
    first.limitOf('i-1')?.state(undefined, 600);
    void first.timer.advance(600);
    void second.timer.advance(600);
    tell();
    expect(second.limitOf('i-1')?.perSecond).toBeUndefined();
  });

  test('is no news if it states none all the time', () => {
    const {notices, limitOf} = endpointsWith('i-1');
    expect(limitOf('i-1')?.state(undefined, 0)).toBe(false);
    expect(notices.take()).toEqual({});
  });

  test('takes a bounded part of a message, and all is told in turn', () => {
    const ids = Array.from({length: 60}, (_, index) => `i-${index}`);
    const {notices, limitOf} = endpointsWith(...ids);
    ids.forEach(id => limitOf(id)?.state(1, 0));
    const told = [1, 2, 3].map(() => notices.take().rates ?? []);
    expect(told.map(({length}) => length)).toEqual([24, 24, 24]);
    expect(new Set(told.flat().map(([id]) => id)).size).toBe(60);
    const bytes = told.map(rates => JSON.stringify(rates).length);
    expect(Math.max(...bytes)).toBeLessThan(1_200);
  });
});

test('without a permit, a probe opens a connection and sends nothing', async () => {
  const raw = new RawUpstream(({socket}) =>
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'),
  );
  upstreams.push(raw);
  const port = await raw.listen();
  const entry = decodeEntry(
    'i-1',
    Buffer.from(JSON.stringify(wireEntry('plain', port))),
  );
  if (entry === undefined || 'reason' in entry) throw new TypeError();
  const endpoint = new Endpoint(entry, LOOPBACK);
  const timer = new SystemTimer();
  const observer = {observe: () => false} as unknown as ResponseObserver;
  const prober = new LivenessProber(timer, protocol, observer);
  endpoint.limit.state(1, timer.now());
  expect(await prober.isAlive(endpoint)).toBe(true);
  expect(raw.received).toHaveLength(0);
  endpoint.limit.grant(1, timer.now());
  expect(await prober.isAlive(endpoint)).toBe(true);
  expect(raw.received).toHaveLength(1);
  raw.close();
  expect(await prober.isAlive(endpoint)).toBe(false);
});

describe('the issuer of permits', () => {
  test('serves the most urgent want first, then the oldest', () => {
    const issuer = new PermitIssuer();
    issuer.want('u', 10, {from: 'ahead', id: 1, count: 1}, 0);
    issuer.want('u', 10, {from: 'late', id: 2, count: 1, tier: 2}, 0);
    issuer.want('u', 10, {from: 'old', id: 3, count: 1, tier: 1}, 0);
    issuer.want('u', 10, {from: 'new', id: 4, count: 2, tier: 1}, 10);
    const order: string[] = [];
    for (let now = 0; now < 500; now += 25) {
      for (const {to, count} of issuer.issue(now)) order.push(`${to} ${count}`);
    }
    expect(order).toEqual(['old 1', 'new 1', 'new 1', 'late 1']);
  });

  test('gives out nothing at once, and little more than the rate later', () => {
    const issuer = new PermitIssuer();
    const ask = (now: number) =>
      issuer.want('u', 20, {from: 'a', id: now, count: 100, tier: 0}, now);
    ask(0);
    expect(issuer.issue(0)).toEqual([]);
    let given = 0;
    for (let now = 0; now <= 4_000; now += 25) {
      ask(now);
      for (const {count} of issuer.issue(now)) given += count;
    }
    expect(given).toBeGreaterThan(0.9 * 80);
    expect(given).toBeLessThanOrEqual(80);
    ask(30_000);
    const [burst] = issuer.issue(30_000);
    expect(burst?.count).toBeLessThanOrEqual(3);
  });

  test('forgets a want that is not renewed', () => {
    const issuer = new PermitIssuer();
    issuer.want('u', 1, {from: 'a', id: 1, count: 1, tier: 0}, 0);
    expect(issuer.hasWants).toBe(true);
    expect(issuer.issue(5_000)).toEqual([]);
    expect(issuer.hasWants).toBe(false);
  });
});
