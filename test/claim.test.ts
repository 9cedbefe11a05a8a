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

const order = (
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

/** Executions under a key, over all instances of the service. */
const runs = async (key: string) => {
  const services = cluster.upstreams.filter(({kind}) => kind === 'service');
  const journals = await Promise.all(
    services.map(service => cluster.journal<ServiceExecution>(service)),
  );
  return journals.flat().filter(entry => entry.key === key).length;
};

describe('a keyed request', () => {
  it('runs once and gives its answer to every later attempt', async () => {
    const key = uuidv7();
    const first = await order(0, key);
    const again = [await order(0, key), await order(1, key)];
    expect(first.outcome).toBe('completed');
    expect(again.map(({text}) => text)).toEqual([first.text, first.text]);
    expect(await runs(key)).toBe(1);
  });

  it('runs once when all instances get it at the same moment', async () => {
    const key = uuidv7();
    const replies = await Promise.all(
      Array.from({length: 9}, (_, n) => order(n % 3, key)),
    );
    const outcomes = new Set(replies.map(reply => reply.outcome));
    const texts = new Set(replies.map(reply => reply.text));
    expect([...outcomes]).toEqual(['completed']);
    expect(texts.size).toBe(1);
    expect(await runs(key)).toBe(1);
  });

  it('is refused with another body, an old key or one without time', async () => {
    const key = uuidv7();
    await order(0, key);
    const old = uuidv7({msecs: Date.now() - 3_600_000});
    const replies = [
      await order(1, key, {}, 'another'),
      await order(1, old),
      await order(1, 'no time'),
      await order(1, 'no time', {'gypsumcourse-key-time': String(Date.now())}),
    ];
    expect(
      replies.map(({status, outcome, error}) => [status, outcome, error]),
    ).toEqual([
      [422, 'not_run', 'keyConflict'],
      [409, 'unknown', 'keyExpired'],
      [400, 'not_run', 'keyUndated'],
      [200, 'completed', undefined],
    ]);
    expect(await runs(key)).toBe(1);
  });

  it('is refused at once while the log is down, and only then', async () => {
    await cluster.setBehaviour(cluster.log, {down: true});
    const key = uuidv7();
    const start = Date.now();
    const fresh = await order(0, key);
    const retried = await order(1, key, {'gypsumcourse-prior-attempts': '1'});
    const tookMs = Date.now() - start;
    await cluster.setBehaviour(cluster.log, {down: false});
    await new Promise(resolve => setTimeout(resolve, 1_500));
    const after = await order(2, key, {'gypsumcourse-prior-attempts': '2'});
    expect([fresh.outcome, fresh.error, fresh.retryAfterMs]).toEqual([
      'not_run',
      'claimsUnavailable',
      1_000,
    ]);
    expect(retried.outcome).toBe('unknown');
    expect(tookMs).toBeLessThan(2_000);
    expect(after.outcome).toBe('completed');
    expect(await runs(key)).toBe(1);
  });

  it('runs once when the answers of all appends are lost', async () => {
    await cluster.setBehaviour(cluster.log, {lostAnswerShare: 1});
    const key = uuidv7();
    const reply = await order(0, key);
    await cluster.setBehaviour(cluster.log, {lostAnswerShare: 0});
    const again = await order(1, key);
    expect([reply.outcome, again.outcome]).toEqual(['completed', 'completed']);
    expect(again.text).toBe(reply.text);
    expect(await runs(key)).toBe(1);
  });

  it('is answered as unknown once its holder died during the run', async () => {
    const services = cluster.upstreams.filter(({kind}) => kind === 'service');
    const slow = (delayMs: number) =>
      Promise.all(services.map(item => cluster.setBehaviour(item, {delayMs})));
    await slow(1_500);
    const key = uuidv7();
    const lost = order(0, key).catch(() => undefined);
    await new Promise(resolve => setTimeout(resolve, 500));
    await cluster.routers[0]?.process?.kill();
    await lost;
    const start = Date.now();
    const retried = await order(1, key, {'gypsumcourse-prior-attempts': '1'});
    const tookMs = Date.now() - start;
    await slow(50);
    expect([retried.outcome, retried.error]).toEqual([
      'unknown',
      'claimedElsewhere',
    ]);
    expect(tookMs).toBeLessThan(5_000);
    expect(await runs(key)).toBe(1);
  });

  it('goes on to be claimed after the home of its key died', async () => {
    const keys = Array.from({length: 16}, () => uuidv7());
    const replies = await Promise.all(
      keys.map((key, n) => order(1 + (n % 2), key)),
    );
    expect(new Set(replies.map(({outcome}) => outcome))).toEqual(
      new Set(['completed']),
    );
  });
});
