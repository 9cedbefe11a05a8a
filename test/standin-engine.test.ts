import {request} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import {
  outputTokens,
  RefusalMode,
  startEngine,
  type CacheEventPage,
  type EngineBehaviour,
  type EngineLoad,
  type EngineStandIn,
} from '../stand-ins/index.js';
import {CHARACTERS_PER_BLOCK, prefixBlocks} from '../src/upstream/index.js';

const engines: EngineStandIn[] = [];

afterEach(async () => {
  await Promise.all(engines.splice(0).map(engine => engine.close()));
});

async function openEngine(behaviour: Partial<EngineBehaviour> = {}) {
  const engine = await startEngine(0, behaviour);
  engines.push(engine);
  return engine;
}

const bodyOf = (prompt: string, length: number, stream = false) => ({
  model: 'm',
  prompt,
  stream,
  metadata: {output_tokens: String(length)},
});

const send = (
  engine: EngineStandIn,
  content: object,
  headers: Record<string, string> = {},
) =>
  request(`${engine.url}/v1/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify(content),
  });

async function usageOf(engine: EngineStandIn, content: object) {
  const response = await send(engine, content);
  return ((await response.body.json()) as {usage: object}).usage;
}

async function getJson<Value>(engine: EngineStandIn, path: string) {
  const response = await request(`${engine.url}${path}`);
  return (await response.body.json()) as Value;
}

const post = (engine: EngineStandIn, path: string, content: object = {}) =>
  request(`${engine.url}${path}`, {
    method: 'POST',
    body: JSON.stringify(content),
  });

const waitUntil = async (condition: () => boolean) => {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5));
};

/** Parses an event stream into its tokens, by event id. */
function tokensOf(text: string): Map<number, string> {
  const tokens = new Map<number, string>();
  for (const [, id, data] of text.matchAll(/id: (\d+)\ndata: (.*)\n/g)) {
    const chunk = JSON.parse(data ?? '');
    tokens.set(Number(id), chunk.choices[0].delta.content as string);
  }
  return tokens;
}

describe('the prefix cache', () => {
  const shared = 'catalogue '.repeat(100);

  it('reuses the blocks a prompt shares with an earlier one', async () => {
    const engine = await openEngine();
    expect([
      await usageOf(engine, bodyOf(`${shared}one`, 2)),
      await usageOf(engine, bodyOf(`${shared}two`, 2)),
    ]).toMatchInlineSnapshot(`
      [
        {
          "completion_tokens": 2,
          "prompt_tokens": 251,
          "prompt_tokens_details": {
            "cached_tokens": 0,
          },
          "total_tokens": 253,
        },
        {
          "completion_tokens": 2,
          "prompt_tokens": 251,
          "prompt_tokens_details": {
            "cached_tokens": 224,
          },
          "total_tokens": 253,
        },
      ]
    `);
  });

  it('evicts the least recently used blocks, and publishes it', async () => {
    const engine = await openEngine({cacheBlocks: 8});
    await usageOf(engine, bodyOf(`a${shared}`, 1));
    await usageOf(engine, bodyOf(`b${shared}`, 1));
    const again = await usageOf(engine, bodyOf(`a${shared}`, 1));
    expect(again).toMatchObject({prompt_tokens_details: {cached_tokens: 32}});
    const page = await getJson<CacheEventPage>(engine, '/cache/events?from=0');
    const stored = page.events[0];
    expect(stored?.blocks).toEqual(prefixBlocks('m', `a${shared}`));
    expect(
      page.events.map(({sequence, type, blocks}) => [
        sequence,
        type,
        blocks.length,
      ]),
    ).toMatchInlineSnapshot(`
      [
        [
          0,
          "stored",
          7,
        ],
        [
          1,
          "stored",
          7,
        ],
        [
          2,
          "evicted",
          6,
        ],
        [
          3,
          "stored",
          6,
        ],
        [
          4,
          "evicted",
          6,
        ],
      ]
    `);
  });

  it('leaves gaps in sequence numbers where events are missing', async () => {
    const engine = await openEngine({eventGapShare: 0.5, seed: 7});
    for (let n = 0; n < 10; n++) await usageOf(engine, bodyOf(n + shared, 1));
    const page = await getJson<CacheEventPage>(engine, '/cache/events?from=0');
    const numbers = page.events.map(({sequence}) => sequence);
    expect(numbers.length).toBeGreaterThan(0);
    expect(numbers.length).toBeLessThan(10);
  });

  it('imports blocks that another engine exports', async () => {
    const [source, target] = [await openEngine(), await openEngine()];
    await usageOf(source, bodyOf(shared, 1));
    const blocks = prefixBlocks('m', shared);
    const exported = await post(source, '/kv/export', {blocks});
    const answer = (await exported.body.json()) as {blocks: string[]};
    await post(target, '/kv/import', answer);
    expect(answer.blocks).toHaveLength(
      Math.floor(shared.length / CHARACTERS_PER_BLOCK),
    );
    expect(await usageOf(target, bodyOf(shared, 1))).toMatchObject({
      prompt_tokens_details: {cached_tokens: 224},
    });
  });
});

describe('the batch', () => {
  it('starts waiting requests by priority', async () => {
    const engine = await openEngine({slots: 1});
    const first = send(engine, bodyOf('first', 50));
    await waitUntil(() => engine.journal.length === 1);
    const rest = ['low', 'high', 'middle'].map((id, index) =>
      send(engine, bodyOf(id, 1), {
        'x-request-id': id,
        'x-priority': String([5, 0, 2][index]),
      }),
    );
    await Promise.all([first, ...rest]);
    expect(engine.journal.map(({id}) => id).slice(1)).toEqual([
      'high',
      'middle',
      'low',
    ]);
  });

  it('preempts the lowest priority when memory is short', async () => {
    const engine = await openEngine({kvBlocks: 10});
    const low = bodyOf('x'.repeat(CHARACTERS_PER_BLOCK * 6), 60);
    const high = bodyOf('y'.repeat(CHARACTERS_PER_BLOCK * 6), 4);
    const first = send(engine, low, {'x-priority': '4'});
    await waitUntil(() => (engine.journal[0]?.tokens ?? 0) > 0);
    const second = await send(engine, high, {'x-priority': '0'});
    await second.body.dump();
    const answer = await (await first).body.json();
    expect(answer).toMatchObject({
      choices: [{text: outputTokens(low).join('')}],
    });
    expect(
      engine.journal.map(({priority, preempted}) => ({priority, preempted})),
    ).toEqual([
      {priority: 4, preempted: 1},
      {priority: 0, preempted: 0},
    ]);
  });

  it('takes time to prefill the tokens that are not cached', async () => {
    const engine = await openEngine({prefillTokensPerMs: 10});
    const long = bodyOf('z'.repeat(8_000), 1);
    const start = performance.now();
    await usageOf(engine, long);
    const coldMs = performance.now() - start;
    expect(coldMs).toBeGreaterThan(190);
    await usageOf(engine, long);
    expect(performance.now() - start - coldMs).toBeLessThan(coldMs / 2);
  });

  it('reports its load with a delay', async () => {
    const engine = await openEngine({reportLagMs: 150, slots: 1});
    expect((await getJson<EngineLoad>(engine, '/load')).running).toBe(0);
    const running = send(engine, bodyOf('long', 400));
    await waitUntil(() => engine.journal.length === 1);
    expect((await getJson<EngineLoad>(engine, '/load')).running).toBe(0);
    await new Promise(resolve => setTimeout(resolve, 250));
    expect((await getJson<EngineLoad>(engine, '/load')).running).toBe(1);
    await running;
  });
});

describe('refusals', () => {
  it('say that the request was not run, unless it may have been', async () => {
    const engine = await openEngine({requireLoaded: true, loaded: []});
    const answers = [];
    for (const refusal of Object.values(RefusalMode)) {
      engine.behaviour.refusal = refusal;
      const {statusCode, headers} = await send(engine, bodyOf('x', 1));
      answers.push([refusal, statusCode, headers['x-not-run']]);
    }
    expect(engine.journal).toEqual([]);
    expect(answers).toMatchInlineSnapshot(`
      [
        [
          "off",
          404,
          "true",
        ],
        [
          "busy",
          429,
          "true",
        ],
        [
          "leaving",
          503,
          "true",
        ],
        [
          "error",
          503,
          undefined,
        ],
      ]
    `);
  });
});

describe('a stream', () => {
  const long = bodyOf('stream', 60, true);
  const headers = {'x-request-id': 'one'};

  async function startStream(engine: EngineStandIn) {
    const response = await send(engine, long, headers);
    await waitUntil(() => (engine.journal[0]?.tokens ?? 0) >= 5);
    return response;
  }

  it('resumes after the last event that the caller received', async () => {
    const engine = await openEngine();
    (await startStream(engine)).body.destroy();
    const resumed = await request(`${engine.url}/v1/streams/one`, {
      headers: {'last-event-id': '2'},
    });
    expect(resumed.headers['x-request-id']).toBe('one');
    const text = await resumed.body.text();
    const expected = outputTokens(long).map((token, n) => [n, token] as const);
    expect([...tokensOf(text)]).toEqual(expected.slice(3));
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
    expect(engine.journal).toMatchObject([{tokens: 60, cancelled: false}]);
  });

  it('can be resumed after it is complete', async () => {
    const engine = await openEngine();
    await (await startStream(engine)).body.text();
    const resumed = await request(`${engine.url}/v1/streams/one`, {
      headers: {'last-event-id': '58'},
    });
    expect([...tokensOf(await resumed.body.text()).keys()]).toEqual([59]);
  });

  it('is cancelled when it is not resumed in time', async () => {
    const engine = await openEngine({resumeHoldMs: 30, stepMs: 10});
    (await startStream(engine)).body.destroy();
    await waitUntil(() => engine.journal[0]?.cancelled === true);
    expect(engine.journal[0]?.tokens).toBeLessThan(60);
    const gone = await request(`${engine.url}/v1/streams/one`);
    expect(gone.statusCode).toBe(404);
  });

  it('is cancelled at once on request', async () => {
    const engine = await openEngine();
    const response = await startStream(engine);
    await post(engine, '/v1/streams/one/cancel');
    expect(engine.journal[0]).toMatchObject({cancelled: true});
    await expect(response.body.text()).rejects.toThrow();
  });
});
