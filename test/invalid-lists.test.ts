import {createHash} from 'node:crypto';
import {createServer, IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import type {AcceptedConfiguration} from '../src/config/index.js';
import {listen} from '../src/forward/index.js';
import {EngineClient} from '../src/order/engineclient.js';
import {parseRequest, type Target} from '../src/request/parse.js';
import {SystemTimer} from '../src/timer/index.js';
import {Upstream} from '../src/upstream/index.js';
import {fetchCacheEvents, fetchLoad} from '../src/upstream/report.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {MemorySampler} from './support/flood.js';

const ITEMS = 250_000;
const ZEROS = JSON.stringify(Array.from({length: ITEMS}, () => 0));
const COUNTERS = Array.from({length: 75_000}, (_, n) => `"${n}":""`).join();
/** Most memory that a text may take beside itself, in bytes. */
const GROWTH_BYTES = 32 * 1024 * 1024;
const KEY = 'a-key';

const closers: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()));
});

/** An upstream that answers each request by a text. */
async function openUpstream(text: string): Promise<Upstream> {
  const server = createServer((_message, response) => response.end(text));
  const port = await listen(server, {host: LOOPBACK, port: 0});
  const url = `http://${LOOPBACK}:${port}`;
  const upstream = new Upstream('engine', 'zone-a', url, {} as never, LOOPBACK);
  closers.push(() => {
    server.close();
    server.closeAllConnections();
    return upstream.close();
  });
  return upstream;
}

const configuration = {
  version: 1,
  document: {
    classes: [{name: 'chat', deadlineMs: 1_000, repeatable: true}],
    workspaces: [
      {
        name: 'a',
        classes: ['chat'],
        keys: [{sha256: createHash('sha256').update(KEY).digest('hex')}],
      },
    ],
    pools: [],
  },
} as unknown as AcceptedConfiguration;

function parse(type: 'chat' | 'completion', text: string) {
  const message = new IncomingMessage(new Socket());
  message.headers.authorization = `Bearer ${KEY}`;
  const target: Target = {type, path: '/'};
  const timer = new SystemTimer();
  const body = Buffer.from(text);
  return parseRequest(message, target, body, configuration, timer);
}

// Guards against lists whose problems take far more memory than the lists.
describe('many invalid items', () => {
  test.each([
    {
      name: 'models of a load report',
      text: `{"running": 0, "waiting": 0, "memory": 0, "models": ${ZEROS}}`,
      read: (upstream: Upstream) => fetchLoad(upstream, new SystemTimer()),
      type: 'reportMalformed',
    },
    {
      name: 'cache events',
      text: `{"events": ${ZEROS}, "first": 0, "next": 0}`,
      read: (upstream: Upstream) => fetchCacheEvents(upstream, 0, 1),
      type: 'reportMalformed',
    },
    {
      name: "an engine's loads",
      text: `{"loaded": ${ZEROS}, "pending": [], "failed": [], "modelSlots": 1, "fencing": 0, "asked": {}}`,
      read: (upstream: Upstream) => new EngineClient().state(upstream),
      type: 'engineMalformed',
    },
    {
      name: "an engine's counters",
      text: `{"loaded": [], "pending": [], "failed": [], "modelSlots": 1, "fencing": 0, "asked": {${COUNTERS}}}`,
      read: (upstream: Upstream) => new EngineClient().state(upstream),
      type: 'engineMalformed',
    },
  ])('in $name take little memory', async ({text, read, type}) => {
    const upstream = await openUpstream(text);
    const memory = new MemorySampler();
    const result = await read(upstream);
    await new Promise(resolve => setTimeout(resolve, 20));
    expect(result).toMatchObject({error: {type}});
    expect(memory.end()).toBeLessThan(GROWTH_BYTES);
  });

  test.each([
    {
      type: 'chat' as const,
      text: `{"model": "m", "messages": ${ZEROS}}`,
      reason: 'messages.0: Invalid input: expected object, received number',
    },
    {
      type: 'chat' as const,
      text: `{"model": "m", "messages": [{"role": "user"}, {}]}`,
      reason:
        'messages.1.role: Invalid input: expected string, received undefined',
    },
    {
      type: 'chat' as const,
      text: `{"model": "m", "messages": [${'{"role": ""}, '.repeat(300)} 0]}`,
      reason: 'messages.300: Invalid input: expected object, received number',
    },
    {
      type: 'completion' as const,
      text: `{"model": "m", "prompt": ${ZEROS}}`,
      reason: 'prompt: Invalid input',
    },
  ])('of a $type request give a short reason', ({type, text, reason}) => {
    const before = process.memoryUsage().heapUsed;
    const result = parse(type, text);
    const grownBytes = process.memoryUsage().heapUsed - before;
    expect(result).toMatchObject({error: {type: 'badRequest', reason}});
    expect(grownBytes).toBeLessThan(GROWTH_BYTES);
  });
});
