import {expect, test} from 'vitest';
import {RetryBudget} from '../src/forward/retrybudget.js';
import {PromptCacheModel} from '../src/forward/promptcache.js';
import {EventSplitter} from '../src/forward/events.js';
import {Health, HealthSignal} from '../src/forward/health.js';
import {PeerLoads} from '../src/fleet/index.js';
import {
  parseLog,
  routeStatistics,
  requestHistory,
} from '../src/report/index.js';

test('requests that fail together eject an upstream once', () => {
  const health = new Health();
  expect(health.observe(HealthSignal.Unreachable, 0)).toBe(500);
  expect(health.observe(HealthSignal.Unreachable, 1)).toBe(499);
  expect(health.observe(HealthSignal.Unreachable, 2)).toBe(498);
  expect([health.isEjected(499), health.isEjected(501)]).toEqual([true, false]);
  expect(health.observe(HealthSignal.Unreachable, 501)).toBe(1_000);
  expect(health.observe(HealthSignal.Good, 1_600)).toBeUndefined();
  expect(health.observe(HealthSignal.Unreachable, 1_601)).toBe(500);
});

test('single broken responses do not eject an upstream', () => {
  const health = new Health();
  expect(health.observe(HealthSignal.Broken, 0)).toBeUndefined();
  expect(health.observe(HealthSignal.Good, 1)).toBeUndefined();
  expect(health.observe(HealthSignal.Broken, 2)).toBeUndefined();
  expect(health.observe(HealthSignal.Broken, 3)).toBeUndefined();
  expect(health.observe(HealthSignal.Broken, 4)).toBe(500);
  expect(health.failureShare).toBeGreaterThan(0);
});

test('retry storm: retries stay within the ratio of own traffic', () => {
  const budget = new RetryBudget({ratio: 0.2, windowMs: 10_000});
  let retries = 0;
  for (let now = 0; now < 10_000; now += 10) {
    budget.countFirstAttempt(now);
    if (budget.take(now)) retries++;
  }
  expect(retries).toBeLessThanOrEqual(200);
  expect(retries).toBeGreaterThan(150);
  // Without traffic, one retry per window is allowed.
  expect([budget.take(40_000), budget.take(40_001)]).toEqual([true, false]);
});

test('cached parts are evicted by least recent use', () => {
  const parts = new PromptCacheModel(100);
  const prompt = (...ids: string[]) => ({
    model: 'm',
    parts: ids.map(id => ({id, tokens: 40})),
    tokens: 40 * ids.length,
    outputTokens: 1,
  });
  parts.add(prompt('a').parts);
  parts.add(prompt('b').parts);
  parts.add(prompt('a').parts);
  parts.add(prompt('c').parts);
  expect(
    [prompt('a'), prompt('b'), prompt('c'), prompt('a', 'c')].map(item =>
      parts.cachedTokens(item),
    ),
  ).toEqual([40, 0, 40, 80]);
});

test('events are split at their ends, whatever the chunks', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata';
  for (let size = 1; size <= text.length; size++) {
    const splitter = new EventSplitter();
    let given = '';
    let last: string | undefined;
    let events = 0;
    for (let at = 0; at < text.length; at += size) {
      const complete = splitter.push(Buffer.from(text.slice(at, at + size)));
      given += complete.bytes.toString();
      events += complete.events;
      last = complete.lastEvent ?? last;
    }
    expect([given + splitter.remainder().toString(), events, last]).toEqual([
      text,
      2,
      '2',
    ]);
  }
});

test('loads of instances that stopped sending do not count', () => {
  const loads = new PeerLoads();
  const news = (from: string) => ({
    from,
    instances: 1,
    loads: [
      {
        upstream: 'i-1',
        inflight: 2,
        unread: [[1, 500]] as Array<[number, number]>,
        recent: [[1, 700]] as Array<[number, number]>,
      },
    ],
    waiting: [['s', 1]] as Array<[string, number]>,
  });
  loads.update(news('entry-2'), 0);
  loads.update(news('entry-3'), 400);
  expect(loads.loadOn('i-1', 500)).toMatchObject({inflight: 4, ageMs: 500});
  expect([loads.waitingTier('s', 500), loads.waitingTier('t', 500)]).toEqual([
    1,
    Infinity,
  ]);
  expect(loads.loadOn('i-1', 1_600).inflight).toBe(2);
  expect(loads.waitingTier('s', 1_600)).toBe(Infinity);
  expect([
    loads.countActive(1_600),
    loads.loadOn('i-1', 9_000).inflight,
  ]).toEqual([1, 0]);
});

const LOG = [
  '{"time":1000,"event":"started","instance":"entry-1","msg":"Started."}',
  '{"time":2000,"event":"placed","request":"r1","upstream":"i-1","msg":"Placed."}',
  '{"time":2010,"event":"health","upstream":"i-1","msg":"Out of use."}',
  '{"time":2020,"event":"health","upstream":"i-9","msg":"Out of use."}',
  '{"time":2030,"event":"ended","request":"r1","route":"a","outcome":"failed","status":502,"cause":"reset","ms":30,"msg":"Ended."}',
  '{"time":2040,"event":"ended","request":"r2","route":"a","outcome":"answered","ms":90,"targetMs":100,"msg":"Ended."}',
  '{"time":2050,"event":"en',
].join('\n');

test('a log explains a request, with the upstream health events in between', () => {
  const {lines, unreadable} = parseLog(LOG, 'logs/one.log');
  expect(unreadable).toBe(1);
  expect(requestHistory('r1', lines)).toMatchInlineSnapshot(`
    {
      "ending": "failed, 502, reset",
      "request": "r1",
      "sentences": [
        " -1000 ms  entry-1  Started. (instance "entry-1")",
        "    +0 ms  entry-1  Placed. (upstream "i-1")",
        "   +10 ms  entry-1  Out of use. (upstream "i-1")",
        "   +30 ms  entry-1  Ended. (route "a", outcome "failed", status 502, cause "reset", ms 30)",
      ],
    }
  `);
  expect(requestHistory('r9', lines).sentences).toEqual([]);
  expect(routeStatistics(lines)).toMatchInlineSnapshot(`
    [
      {
        "attained": 0.5,
        "endings": [
          {
            "ending": "failed: reset",
            "requests": 1,
          },
          {
            "ending": "answered",
            "requests": 1,
          },
        ],
        "medianMs": 90,
        "p99Ms": 90,
        "requests": 2,
        "route": "a",
      },
    ]
  `);
});

test('a log line may be prefixed with time and source by a collector', () => {
  const row =
    '  12.5 front-7 {"time":1,"event":"waits","request":"r","msg":"m"}';
  expect(parseLog(row, 'x').lines[0]?.source).toBe('front-7');
});
