import {afterEach, expect, test} from 'vitest';
import {Topic} from '../src/registry/index.js';
import {
  call,
  openTestFeed,
  startGatewayOn,
  successHead,
  wireConfiguration,
} from './support/gateway.js';
import {
  EVENT_STREAM,
  openGroup,
  plainAnswer,
  sleep,
  streamOf,
  type Answer,
} from './support/silentupstream.js';

const ATTEMPTS = 3;
const PATIENCE_MS = 6_000;
/** Time in which the head reaches the gateway before the reset, in ms. */
const HEAD_MS = 20;

const NO_HEADERS: Record<string, string> = {};

const closers: Array<() => Promise<void> | void> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Breaks an answer off after its head. */
function breakAfter(more: string): Answer {
  return async (request, upstream) => {
    await upstream.send(request, successHead(request.id, more));
    await sleep(HEAD_MS);
    request.socket.resetAndDestroy();
  };
}

test.each([
  {
    kind: 'without a prompt',
    service: 'plain',
    path: '/look/a',
    headers: NO_HEADERS,
    broken: 'Content-Length: 4\r\n',
    answer: plainAnswer('body'),
    arrivals: ATTEMPTS,
  },
  {
    kind: 'whose prompt has a single part',
    service: 'engine',
    path: '/chat/a',
    headers: {'x-token-counts': '5,10', 'x-prompt-prefix': 'own:5'},
    broken: EVENT_STREAM,
    answer: streamOf({events: 2}),
    arrivals: ATTEMPTS,
  },
  {
    kind: 'whose prompt has a part of others',
    service: 'engine',
    path: '/chat/a',
    headers: {'x-token-counts': '10,10', 'x-prompt-prefix': 'hot:5,own:5'},
    broken: EVENT_STREAM,
    answer: streamOf({events: 2}),
    arrivals: 2,
  },
])(
  'a request $kind is sent $arrivals times if its answers break off',
  async ({service, path, headers, broken, answer, arrivals}) => {
    const cutting = breakAfter(broken);
    const cut: Answer = (request, upstream) =>
      (request.id === 'r1' ? cutting : answer)(request, upstream);
    const group = await openGroup(service, ATTEMPTS, cut, cut, answer);
    closers.push(() => group.close());
    const feed = openTestFeed(group.entries);
    const {routes, ...rest} = wireConfiguration(2, PATIENCE_MS);
    feed.add(Topic.Configuration, 'config', {
      ...rest,
      routes: routes.map(route => ({
        ...route,
        maxAttempts: route.maxAttempts === 1 ? 1 : ATTEMPTS,
      })),
    });
    const {gateway} = await startGatewayOn(feed, 300);
    closers.push(() => gateway.stop());
    const send = (id: string) =>
      call(gateway.port, path, id, {
        method: path.startsWith('/chat/') ? 'POST' : 'GET',
        headers: {
          'x-deadline-ms': `${PATIENCE_MS}`,
          'x-model': 'm',
          ...headers,
        },
      });
    // The first attempts of others pay for the retries.
    for (let count = 0; count < 20; count++) await send(`first-${count}`);
    const response = await send('r1');
    expect(group.arrivals('r1')).toHaveLength(arrivals);
    expect(response?.complete && response.status === 200).toBe(
      arrivals === ATTEMPTS,
    );
  },
);
