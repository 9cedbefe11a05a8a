import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {v7 as uuidv7} from 'uuid';
import {call} from '../bench/caller.js';
import {Cluster} from '../bench/cluster.js';
import {demoKey, Deployment, exampleOf} from '../bench/deployment.js';
import type {ServiceExecution} from '../stand-ins/index.js';

let cluster: Cluster;

beforeAll(async () => {
  cluster = await Cluster.start({
    document: exampleOf(Deployment.Nilecoil),
    routers: 3,
    behaviourOf: (_name, kind) => (kind === 'service' ? {delayMs: 50} : {}),
  });
});

afterAll(() => cluster.stop());

const sendOrder = (
  router: number,
  key: string,
  headers: Record<string, string> = {},
  item = 'reel',
) =>
  call({
    url: cluster.routers[router]?.url ?? '',
    path: '/services/stock/orders',
    key: demoKey('winding-line'),
    headers: {
      'gypsumcourse-class': 'reel-order',
      'idempotency-key': key,
      ...headers,
    },
    body: {item},
  });

/** Counts executions with a key across all instances of the service. */
const countRuns = async (key: string) => {
  const services = cluster.upstreams.filter(({kind}) => kind === 'service');
  const journals = await Promise.all(
    services.map(service => cluster.journal<ServiceExecution>(service)),
  );
  return journals.flat().filter(entry => entry.key === key).length;
};

describe('a keyed request', () => {
  it('runs once and returns its answer to every later attempt', async () => {
    const key = uuidv7();
    const first = await sendOrder(0, key);
    const again = [await sendOrder(0, key), await sendOrder(1, key)];
    expect(first.outcome).toBe('completed');
    expect(again.map(({text}) => text)).toEqual([first.text, first.text]);
    expect(await countRuns(key)).toBe(1);
  });

  it('runs once when all instances receive it at the same time', async () => {
    const key = uuidv7();
    const replies = await Promise.all(
      Array.from({length: 9}, (_, n) => sendOrder(n % 3, key)),
    );
    const outcomes = new Set(replies.map(reply => reply.outcome));
    const texts = new Set(replies.map(reply => reply.text));
    expect([...outcomes]).toEqual(['completed']);
    expect(texts.size).toBe(1);
    expect(await countRuns(key)).toBe(1);
  });

  it('is refused with another body, an old key or an undated key', async () => {
    const key = uuidv7();
    await sendOrder(0, key);
    const old = uuidv7({msecs: Date.now() - 3_600_000});
    const replies = [
      await sendOrder(1, key, {}, 'another'),
      await sendOrder(1, old),
      await sendOrder(1, 'no time'),
      await sendOrder(1, 'no time', {
        'gypsumcourse-key-time': String(Date.now()),
      }),
    ];
    expect(
      replies.map(({status, outcome, error}) => [status, outcome, error]),
    ).toEqual([
      [422, 'not_run', 'keyConflict'],
      [409, 'unknown', 'keyExpired'],
      [400, 'not_run', 'keyUndated'],
      [200, 'completed', undefined],
    ]);
    expect(await countRuns(key)).toBe(1);
  });

  it('is refused at once while the log is down, and runs later', async () => {
    await cluster.setBehaviour(cluster.log, {down: true});
    const key = uuidv7();
    const start = Date.now();
    const fresh = await sendOrder(0, key);
    const retried = await sendOrder(1, key, {
      'gypsumcourse-prior-attempts': '1',
    });
    const tookMs = Date.now() - start;
    await cluster.setBehaviour(cluster.log, {down: false});
    await new Promise(resolve => setTimeout(resolve, 1_500));
    const after = await sendOrder(2, key, {'gypsumcourse-prior-attempts': '2'});
    expect([fresh.outcome, fresh.error, fresh.retryAfterMs]).toEqual([
      'not_run',
      'claimsUnavailable',
      1_000,
    ]);
    expect(retried.outcome).toBe('unknown');
    expect(tookMs).toBeLessThan(2_000);
    expect(after.outcome).toBe('completed');
    expect(await countRuns(key)).toBe(1);
  });

  it('runs once when the responses to all appends are lost', async () => {
    await cluster.setBehaviour(cluster.log, {lostAnswerShare: 1});
    const key = uuidv7();
    const reply = await sendOrder(0, key);
    await cluster.setBehaviour(cluster.log, {lostAnswerShare: 0});
    const again = await sendOrder(1, key);
    expect([reply.outcome, again.outcome]).toEqual(['completed', 'completed']);
    expect(again.text).toBe(reply.text);
    expect(await countRuns(key)).toBe(1);
  });

  it('ends as unknown after its holder crashed during the run', async () => {
    const services = cluster.upstreams.filter(({kind}) => kind === 'service');
    const slow = (delayMs: number) =>
      Promise.all(services.map(item => cluster.setBehaviour(item, {delayMs})));
    await slow(1_500);
    const key = uuidv7();
    const lost = sendOrder(0, key).catch(() => undefined);
    await new Promise(resolve => setTimeout(resolve, 500));
    await cluster.routers[0]?.process?.kill();
    await lost;
    const start = Date.now();
    const retried = await sendOrder(1, key, {
      'gypsumcourse-prior-attempts': '1',
    });
    const tookMs = Date.now() - start;
    await slow(50);
    expect([retried.outcome, retried.error]).toEqual([
      'unknown',
      'claimedElsewhere',
    ]);
    expect(tookMs).toBeLessThan(5_000);
    expect(await countRuns(key)).toBe(1);
  });

  it('can be claimed after the owner of its partition crashed', async () => {
    const keys = Array.from({length: 16}, () => uuidv7());
    const replies = await Promise.all(
      keys.map((key, n) => sendOrder(1 + (n % 2), key)),
    );
    expect(new Set(replies.map(({outcome}) => outcome))).toEqual(
      new Set(['completed']),
    );
  });
});
