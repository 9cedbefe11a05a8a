import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {call} from '../bench/caller.js';
import {Cluster} from '../bench/cluster.js';
import {demoKey, Deployment, exampleOf} from '../bench/deployment.js';
import {
  outputTokens,
  type EngineExecution,
  type ServiceExecution,
} from '../stand-ins/index.js';

let cluster: Cluster;

beforeAll(async () => {
  cluster = await Cluster.start({
    document: exampleOf(Deployment.Nilecoil),
    routers: 2,
    behaviourOf: (_name, kind) => (kind === 'runner' ? {stepMs: 5} : {}),
  });
});

afterAll(() => cluster.stop());

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const upstreamsOf = (kind: 'runner' | 'service') =>
  cluster.upstreams.filter(upstream => upstream.kind === kind);

const setBehaviour = (kind: 'runner' | 'service', behaviour: object) =>
  Promise.all(
    upstreamsOf(kind).map(item => cluster.setBehaviour(item, behaviour)),
  );

const url = (router = 0) => cluster.routers[router]?.url ?? '';

const chatBody = (content: string, tokens = 100) => ({
  model: 'tube-7b',
  stream: true,
  messages: [{role: 'user', content}],
  metadata: {output_tokens: String(tokens)},
});

const chat = (
  body: unknown,
  headers: Record<string, string> = {},
  signal?: AbortSignal,
) =>
  call(
    {
      url: url(),
      path: '/v1/chat/completions',
      key: demoKey('glue-lab'),
      headers,
      body,
    },
    signal === undefined ? {} : {signal},
  );

const placeOrder = (item: string, headers: Record<string, string> = {}) =>
  call({
    url: url(),
    path: '/services/stock/orders',
    key: demoKey('winding-line'),
    headers: {'gypsumcourse-class': 'reel-order', ...headers},
    body: {item},
  });

const lookup = () =>
  call({
    url: url(),
    path: '/services/stock/items',
    key: demoKey('winding-line'),
    headers: {'gypsumcourse-class': 'lookup'},
    body: {item: 'reel'},
  });

const countOrders = async () => {
  const journals = await Promise.all(
    upstreamsOf('service').map(item => cluster.journal<ServiceExecution>(item)),
  );
  return journals.flat().filter(({path}) => path === '/orders').length;
};

const executionsOf = async (id: string) => {
  const journals = await Promise.all(
    upstreamsOf('runner').map(item => cluster.journal<EngineExecution>(item)),
  );
  return journals.flat().filter(entry => entry.id.startsWith(id));
};

describe('outcomes of requests that are not repeatable', () => {
  it('are not_run only after a documented refusal', async () => {
    await setBehaviour('service', {refusedShare: 1});
    const refused = await placeOrder('a');
    await setBehaviour('service', {refusedShare: 0, errorShare: 1});
    const failed = await placeOrder('b');
    await setBehaviour('service', {errorShare: 0, lostAnswerShare: 1});
    const lost = await placeOrder('c');
    await setBehaviour('service', {lostAnswerShare: 0});
    expect(
      [refused, failed, lost].map(({outcome, error}) => [outcome, error]),
    ).toEqual([
      ['not_run', 'upstreamRefused'],
      ['unknown', 'upstreamFailed'],
      ['unknown', 'upstreamLost'],
    ]);
    expect(await countOrders()).toBe(2);
  });

  it('are not_run when all upstreams refuse connections', async () => {
    const before = await countOrders();
    for (const {proxy} of upstreamsOf('service')) proxy.inject({refuse: true});
    const reply = await placeOrder('d');
    for (const {proxy} of upstreamsOf('service')) proxy.clearFaults();
    expect(reply.outcome).toBe('not_run');
    expect(await countOrders()).toBe(before);
  });

  it('end at the deadline while the action runs on', async () => {
    await setBehaviour('service', {delayMs: 600});
    const before = await countOrders();
    const start = Date.now();
    const reply = await placeOrder('e', {'gypsumcourse-deadline-ms': '200'});
    const tookMs = Date.now() - start;
    await pause(800);
    await setBehaviour('service', {delayMs: 5});
    expect([reply.outcome, reply.error]).toEqual([
      'unknown',
      'deadlineExceeded',
    ]);
    expect(tookMs).toBeLessThan(500);
    expect(await countOrders()).toBe(before + 1);
  });
});

describe('repeatable requests', () => {
  it('are retried elsewhere when an upstream refuses connections', async () => {
    const [first] = upstreamsOf('service');
    first?.proxy.inject({refuse: true});
    const replies = await Promise.all(Array.from({length: 9}, lookup));
    first?.proxy.clearFaults();
    expect(replies.map(({outcome}) => outcome)).toEqual(
      Array(9).fill('completed'),
    );
  });

  it('complete within 4 s after pooled connections went silent', async () => {
    await Promise.all(Array.from({length: 9}, lookup));
    for (const {proxy} of upstreamsOf('service')) proxy.silence('both');
    const replies = await Promise.all(Array.from({length: 6}, lookup));
    expect(replies.map(({outcome}) => outcome)).toEqual(
      Array(6).fill('completed'),
    );
    expect(Math.max(...replies.map(({totalMs}) => totalMs))).toBeLessThan(
      4_000,
    );
  });

  it('resume a broken stream after the last event received', async () => {
    const body = chatBody('Broken on the way', 200);
    const running = chat(body);
    await pause(300);
    for (const {proxy} of upstreamsOf('runner')) proxy.reset();
    const reply = await running;
    expect(reply.outcome).toBe('completed');
    expect(reply.text).toBe(outputTokens(body).join(''));
    expect(await executionsOf(reply.id)).toHaveLength(1);
  });

  it('are cancelled on the upstream when the caller disconnects', async () => {
    const caller = new AbortController();
    const running = chat(chatBody('Going away', 400), {}, caller.signal);
    await pause(300);
    caller.abort();
    const reply = await running;
    await pause(200);
    const [execution] = await executionsOf(reply.id);
    expect(execution?.cancelled).toBe(true);
    expect(execution?.tokens).toBeLessThan(200);
  });
});

describe('a stream whose caller lost the connection', () => {
  it('is resumed through another instance without a second run', async () => {
    const body = chatBody('Lost and resumed', 300);
    const caller = new AbortController();
    const headers = {'gypsumcourse-resumable': 'true'};
    const running = chat(body, headers, caller.signal);
    await pause(300);
    caller.abort();
    const start = await running;
    const rest = await call({
      url: url(1),
      path: '/v1/resume',
      key: demoKey('glue-lab'),
      headers: {
        'gypsumcourse-resume-token': start.resumeToken ?? '',
        'last-event-id': start.lastEventId ?? '',
      },
    });
    expect(start.text.length).toBeGreaterThan(0);
    expect(rest.outcome).toBe('completed');
    expect(start.text + rest.text).toBe(outputTokens(body).join(''));
    expect(await executionsOf(start.id)).toHaveLength(1);
  });

  it('is not resumed by another workspace or with a forged token', async () => {
    const reply = await chat(chatBody('Mine', 5));
    const token = reply.resumeToken ?? '';
    const resume = (key: string, value: string) =>
      call({
        url: url(1),
        path: '/v1/resume',
        key: demoKey(key),
        headers: {'gypsumcourse-resume-token': value},
      });
    const replies = [
      await resume('training', token),
      await resume('glue-lab', `x${token}`),
      await resume('glue-lab', ''),
    ];
    expect(replies.map(({status, error}) => [status, error])).toEqual(
      Array(3).fill([403, 'invalidToken']),
    );
  });
});
