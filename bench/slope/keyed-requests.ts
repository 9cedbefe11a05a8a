import {v7 as uuidv7} from 'uuid';
import {call} from '../caller.js';
import type {Cluster} from '../cluster.js';
import {demoKey, Deployment, exampleOf} from '../deployment.js';
import {MeasuredFleet, sleep} from './measured-fleet.js';
import {fit, type Point, type Slope} from './linear-fit.js';

const ROUTERS = 3;
const SECONDS = 6;
const SETTLE_MS = 4_000;
/** Keyed requests a second at target: a tenth of all. */
const TARGET_PER_SECOND = 560;
/** Appends a second that claims may use in the whole fleet. */
const APPENDS_BUDGET = 200;

async function appendsOf(cluster: Cluster): Promise<number> {
  const answer = await fetch(`${cluster.log.url}/usage`);
  return ((await answer.json()) as {appends: number}).appends;
}

function order(cluster: Cluster, index: number) {
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

/** Sends keyed requests at a steady rate and returns appends a second. */
async function appendsAt(cluster: Cluster, perSecond: number): Promise<number> {
  const before = await appendsOf(cluster);
  const calls: Array<Promise<unknown>> = [];
  const start = performance.now();
  for (let index = 0; index < perSecond * SECONDS; index++) {
    const due = start + (index * 1_000) / perSecond;
    const wait = due - performance.now();
    if (wait > 0) await sleep(wait);
    calls.push(order(cluster, index));
  }
  await Promise.all(calls);
  return ((await appendsOf(cluster)) - before) / SECONDS;
}

/** Appends to the log, against the rate of keyed requests. */
export async function byKeyedRequests(): Promise<Slope[]> {
  const document = exampleOf(Deployment.Nilecoil);
  const fleet = await MeasuredFleet.start(ROUTERS, document);
  if (fleet === undefined) return [];
  await sleep(SETTLE_MS);
  const appends: Point[] = [];
  const peerBytes: Point[] = [];
  for (const rate of [1, 10, 50, 150]) {
    const measured = fleet.measure(SECONDS);
    appends.push([rate, await appendsAt(fleet.cluster, rate)]);
    peerBytes.push([rate, (await measured).peerCallBytes]);
  }
  await fleet.stop();
  const against = 'keyed requests a second';
  return [
    fit(
      {
        name: 'appends by keyed requests',
        unit: '1/s',
        against,
        target: TARGET_PER_SECOND,
        budget: APPENDS_BUDGET,
      },
      appends,
    ),
    fit(
      {
        name: 'peer call bytes by keyed requests',
        unit: 'B/s',
        against,
        target: TARGET_PER_SECOND,
      },
      peerBytes,
    ),
    fit(
      {
        name: 'claims per append',
        unit: 'claims',
        against,
        target: TARGET_PER_SECOND,
      },
      appends.map(([rate, count]): Point => [rate, rate / count]),
    ),
  ];
}
