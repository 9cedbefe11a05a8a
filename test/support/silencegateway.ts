import {expect} from 'vitest';
import {Topic} from '../../src/registry/index.js';
import {
  call,
  openTestFeed,
  startGatewayOn,
  wireConfiguration,
  type CallerResponse,
  type TestGateway,
} from './gateway.js';
import {openGroup, type Answer, type UpstreamGroup} from './silentupstream.js';

/** Time-out of the requests of these tests, in ms. */
export const PATIENCE_MS = 6_000;

const groups: UpstreamGroup[] = [];
const gateways: TestGateway[] = [];

/** Closes all that a test opened. */
export async function closeAll(): Promise<void> {
  for (const group of groups.splice(0)) group.close();
  await Promise.all(gateways.splice(0).map(({gateway}) => gateway.stop()));
}

export async function open(
  service: string,
  count: number,
  ...answers: Answer[]
): Promise<UpstreamGroup> {
  const group = await openGroup(service, count, ...answers);
  groups.push(group);
  return group;
}

export function configurationOf(version: number, attempts = 3) {
  const configuration = wireConfiguration(version, PATIENCE_MS);
  const routes = configuration.routes.map(route => ({
    ...route,
    maxAttempts: route.maxAttempts === 1 ? 1 : attempts,
  }));
  return {...configuration, routes};
}

export async function openGateway(
  group: UpstreamGroup[],
  attempts?: number,
): Promise<TestGateway> {
  const feed = openTestFeed(group.flatMap(({entries}) => entries));
  const configuration = configurationOf(2, attempts);
  feed.add(Topic.Configuration, 'config', configuration);
  const started = {feed, ...(await startGatewayOn(feed, 300))};
  gateways.push(started);
  return started;
}

export function sendStream(
  {gateway}: TestGateway,
  id: string,
  deadlineMs = PATIENCE_MS,
) {
  return call(gateway.port, '/chat/a', id, {
    method: 'POST',
    headers: {
      'x-deadline-ms': `${deadlineMs}`,
      'x-model': 'm',
      'x-token-counts': '10,10',
      'x-prompt-prefix': 'a:5,b:5',
    },
  });
}

export function sendPlain({gateway}: TestGateway, path: string, id: string) {
  const headers = {'x-deadline-ms': `${PATIENCE_MS}`};
  const method = path.startsWith('/order/') ? 'POST' : 'GET';
  return call(gateway.port, path, id, {method, headers});
}

export function expectWhole(
  response: CallerResponse | undefined,
  body: string,
) {
  const {status, complete} = response ?? {};
  expect({status, complete, body: response?.body}).toEqual({
    status: 200,
    complete: true,
    body,
  });
}

/** Answers requests by their id. */
export function byId(others: Record<string, Answer>, answer: Answer): Answer {
  return (request, upstream) =>
    (others[request.id] ?? answer)(request, upstream);
}
