import {expect, test} from 'vitest';
import {Random} from '../bench/random.js';
import {HttpFeed} from '../platform/feed.js';
import {FEED_TIMEOUTS} from '../src/registry/index.js';
import type {Gateway} from '../src/wiring/gateway.js';
import {
  Availability,
  startKeyedStore,
  type KeyedStoreStandIn,
} from '../stand-ins/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {
  addressesIn,
  call,
  RawUpstream,
  startGatewayOn,
  successHead,
  wireConfiguration,
  wireEntry,
} from './support/gateway.js';

/** Seeds to run; more by `RESTORED_SEEDS=200 npx vitest run ...`. */
const SEEDS = Number(process.env['RESTORED_SEEDS'] ?? 6);
/** Drills that run at the same time. */
const CONCURRENCY = 6;

const INSTANCES = 3;
const HEARTBEAT_MS = 300;
const PROBE_PERIOD_MS = 50;
/** Time after a start in which removed upstreams are still used, in ms. */
const STEADY_MS = 4_200;
/** Time in which everything that is written is in force, in ms. */
const IN_FORCE_MS = 2_500;
/** Requests to each gateway after the return of the store. */
const CALLS = 20;
/** Time in which gateways agree with a store that wrote everything again. */
const CATCH_UP_MS = 4_000;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** The operator and the upstreams i-1, which runs, and i-2, which ends. */
class Writers {
  private version = 0;
  private hasEnded = false;
  private sequence = 0;

  constructor(
    private readonly store: KeyedStoreStandIn,
    private readonly ports: number[],
  ) {}

  /** Publishes the next version. Two versions accept the same key. */
  publish(): void {
    this.version++;
    this.publishAgain();
  }

  publishAgain(): void {
    const {version} = this;
    const apiKeys = [`key-${version}`, `key-${version - 1}`];
    const tenants = [{name: 'shop-one', apiKeys, priority: 1}];
    const value = {...wireConfiguration(version), tenants};
    this.write('keyed.op', 'config', value);
  }

  /** Writes the entries of the upstreams that run. */
  beat(): void {
    this.sequence++;
    for (const [index, port] of this.ports.entries()) {
      if (index === 1 && this.hasEnded) continue;
      const entry = wireEntry('plain', port, this.sequence);
      this.write('keyed.servers', `i-${index + 1}`, entry);
    }
  }

  end(): void {
    this.hasEnded = true;
    this.write('keyed.servers', 'i-2', undefined);
  }

  private write(topic: string, key: string, value: unknown): void {
    if (this.store.behaviour.availability !== Availability.Serves) return;
    const bytes =
      value === undefined ? undefined : Buffer.from(JSON.stringify(value));
    this.store.log.append(topic, key, bytes);
  }
}

/** The version in force at a gateway; 0 if there is none. */
async function versionOf({readinessPort}: Gateway): Promise<number> {
  const answer = await call(readinessPort, '/v1/readyz', 'version');
  const page = JSON.parse(answer?.body ?? '{}') as {version?: number};
  return page.version ?? 0;
}

async function statusWith(
  {port}: Gateway,
  id: string,
  key: string,
): Promise<number | undefined> {
  const headers = {authorization: `Bearer ${key}`};
  return (await call(port, '/look/a', id, {headers}))?.status;
}

/** Runs one drill; returns what went wrong. */
async function runDrill(seed: number): Promise<string[]> {
  const random = new Random(seed);
  // The first numbers of neighbouring seeds are alike.
  for (let n = 0; n < 20; n++) random.next();
  const store = await startKeyedStore(0, {}, LOOPBACK);
  const upstreams = [1, 2].map(
    () =>
      new RawUpstream(({id, socket}) => {
        socket.write(`${successHead(id, 'Content-Length: 2\r\n')}ok`);
      }),
  );
  const ports = await Promise.all(upstreams.map(each => each.listen()));
  const writers = new Writers(store, ports);
  writers.publish();
  writers.beat();
  const heartbeat = setInterval(() => writers.beat(), HEARTBEAT_MS);
  const started = await Promise.all(
    Array.from({length: INSTANCES}, (_, index) => {
      const feed = new HttpFeed(
        `${LOOPBACK}:${store.port}`,
        LOOPBACK,
        FEED_TIMEOUTS,
      );
      return startGatewayOn(feed, 300, `entry-${index}`);
    }),
  );
  const gateways = started.map(({gateway}) => gateway);
  const problems: string[] = [];
  const versions = gateways.map(() => 0);
  let isWatching = true;
  const watch = async (gateway: Gateway, index: number) => {
    while (isWatching) {
      const version = await versionOf(gateway);
      const known = versions[index] ?? 0;
      if (version < known) {
        problems.push(`entry-${index} went back from ${known}`);
      }
      versions[index] = version;
      await sleep(PROBE_PERIOD_MS);
    }
  };
  const watches = gateways.map(watch);
  const everyone = (
    action: (gateway: Gateway, index: number) => Promise<void>,
  ) => Promise.all(gateways.map(action));

  await sleep(STEADY_MS + random.between(0, 800));
  writers.publish();
  await sleep(random.between(0, 800));
  writers.publish();
  writers.end();
  await sleep(IN_FORCE_MS);
  const atKnown = upstreams[1]?.received.length;
  const knownBefore = [...versions];
  const awayMs = random.between(0, 1_200);
  const leftAt = performance.now();
  store.change({
    availability: random.pick([
      Availability.Refuses,
      Availability.Resets,
      Availability.Silent,
    ]),
  });
  await sleep(awayMs);
  store.change({availability: Availability.Serves});
  store.log.restore(
    performance.now() - leftAt + random.between(IN_FORCE_MS + 100, 4_500),
  );
  const returnedAt = performance.now();
  const rewrites = [
    () => writers.publishAgain(),
    () => writers.end(),
    () => writers.publish(),
  ].map(async write => {
    await sleep(random.between(0, 2_000));
    write();
  });
  await everyone(async (gateway, index) => {
    const status = await statusWith(gateway, `gap-${index}`, 'key-1');
    if (status !== 401) problems.push(`entry-${index}: key-1 gets ${status}`);
    // Versions 3 and 4 accept it; i-2 gets none of these.
    for (let n = 0; n < CALLS; n++) {
      const found = await statusWith(gateway, `call-${index}-${n}`, 'key-3');
      if (found !== 200) {
        const ended = started[index]?.logLines.findLast(
          ({request}) => request === `call-${index}-${n}`,
        );
        problems.push(`entry-${index}: key-3 gets ${JSON.stringify(ended)}`);
      }
      await sleep(PROBE_PERIOD_MS);
    }
  });
  await Promise.all(rewrites);
  // Announcements are spread over two seconds.
  await sleep(Math.max(0, returnedAt + CATCH_UP_MS - performance.now()));
  const limit = performance.now() + CATCH_UP_MS;
  while (performance.now() < limit && versions.some(each => each !== 4)) {
    await sleep(PROBE_PERIOD_MS);
  }
  if (
    versions.some(each => each !== 4) ||
    knownBefore.some(each => each !== 3)
  ) {
    problems.push(`versions ${String(knownBefore)}, then ${String(versions)}`);
  }
  await everyone(async (gateway, index) => {
    const status = await statusWith(gateway, `end-${index}`, 'key-4');
    if (status !== 200) problems.push(`entry-${index}: key-4 gets ${status}`);
  });
  if (upstreams[1]?.received.length !== atKnown) {
    problems.push('a request reached the upstream that had ended');
  }
  const announced = addressesIn(store.log.newest('keyed.gypsumcourse')).length;
  if (announced !== INSTANCES) problems.push(`${announced} are announced`);
  isWatching = false;
  await Promise.all(watches);
  clearInterval(heartbeat);
  await Promise.all(gateways.map(gateway => gateway.stop()));
  for (const upstream of upstreams) upstream.close();
  await store.close();
  return problems;
}

test('gateways keep what they know when their store returns from a copy', async () => {
  const seeds = Array.from({length: SEEDS}, (_, seed) => seed);
  const failed: string[] = [];
  const work = async () => {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
      for (const problem of await runDrill(seed)) {
        failed.push(`seed ${seed}: ${problem}`);
      }
    }
  };
  await Promise.all(Array.from({length: CONCURRENCY}, work));
  expect(failed).toEqual([]);
}, 900_000);
