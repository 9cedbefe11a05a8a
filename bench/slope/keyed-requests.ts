import {v7 as uuidv7} from 'uuid';
import {call} from '../caller.js';
import type {Cluster} from '../cluster.js';
import {demoKey, Deployment, exampleOf} from '../deployment.js';
import {MeasuredFleet, sleep} from './measured-fleet.js';
import {fitLine, type Point, type LinearFit} from './linear-fit.js';

const ROUTERS = 3;
const MEASURE_SECONDS = 6;
const SETTLE_MS = 4_000;
/** Keyed requests per second at the target size: a tenth of all requests. */
const TARGET_REQUESTS_PER_SECOND = 560;
/** Appends per second that the claims of the whole fleet may make. */
const BUDGET_APPENDS_PER_SECOND = 200;

async function countAppends(cluster: Cluster): Promise<number> {
  const answer = await fetch(`${cluster.log.url}/usage`);
  return ((await answer.json()) as {appends: number}).appends;
}

function sendOrder(cluster: Cluster, index: number) {
  const router = cluster.routers[index % cluster.routers.length];
  return call({
    url: router?.url ?? '',
    path: '/services/stock/orders',
    key: demoKey('winding-line'),
    headers: {
      'gypsumcourse-class': 'reel-order',
      'idempotency-key': uuidv7(),
    },
    body: {item: `reel ${index}`},
  });
}

/** Sends keyed requests at a steady rate and returns appends per second. */
async function measureAppendRate(
  cluster: Cluster,
  perSecond: number,
): Promise<number> {
  const before = await countAppends(cluster);
  const calls: Array<Promise<unknown>> = [];
  const start = performance.now();
  for (let index = 0; index < perSecond * MEASURE_SECONDS; index++) {
    const due = start + (index * 1_000) / perSecond;
    const wait = due - performance.now();
    if (wait > 0) await sleep(wait);
    calls.push(sendOrder(cluster, index));
  }
  await Promise.all(calls);
  return ((await countAppends(cluster)) - before) / MEASURE_SECONDS;
}

/** Measures log appends and peer traffic by the rate of keyed requests. */
export async function measureByKeyedRequests(): Promise<LinearFit[]> {
  const document = exampleOf(Deployment.Nilecoil);
  const fleet = await MeasuredFleet.start(ROUTERS, document);
  if (fleet === undefined) return [];
  await sleep(SETTLE_MS);
  const appends: Point[] = [];
  const peerBytes: Point[] = [];
  for (const rate of [1, 10, 50, 150]) {
    const measured = fleet.measure(MEASURE_SECONDS);
    appends.push([rate, await measureAppendRate(fleet.cluster, rate)]);
    peerBytes.push([rate, (await measured).peerCallBytes]);
  }
  await fleet.stop();
  const against = 'keyed requests a second';
  return [
    fitLine(
      {
        name: 'appends by keyed requests',
        unit: '1/s',
        against,
        target: TARGET_REQUESTS_PER_SECOND,
        budget: BUDGET_APPENDS_PER_SECOND,
      },
      appends,
    ),
    fitLine(
      {
        name: 'peer call bytes by keyed requests',
        unit: 'B/s',
        against,
        target: TARGET_REQUESTS_PER_SECOND,
      },
      peerBytes,
    ),
    fitLine(
      {
        name: 'claims per append',
        unit: 'claims',
        against,
        target: TARGET_REQUESTS_PER_SECOND,
      },
      appends.map(([rate, count]): Point => [rate, rate / count]),
    ),
  ];
}
