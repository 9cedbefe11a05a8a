import {afterEach, describe, expect, test, vi} from 'vitest';
import {Topic} from '../src/registry/index.js';
import {LogEvent} from '../src/telemetry/index.js';
import {seededRandom} from '../stand-ins/random.js';
import {CrashingServices} from './support/crashingservices.js';
import {
  addressesIn,
  call,
  openTestFeed,
  startGatewayOn,
  type MemoryFeed,
  type TestGateway,
} from './support/gateway.js';
import {sleep} from './support/silentupstream.js';

const BAD_PATH = '/look/bad';
const GATEWAYS = 3;
const SERVICES = 3;
/** Time from the third crash after which the rule holds, in ms. */
const STABLE_WINDOW_MS = 4_000;
/** Sends that the rule allows after that. */
const SENDS_LIMIT = 3;
/** Longest wait for the third crash, which may not come, in ms. */
const CRASHES_LIMIT_MS = 8_000;
const SOUND_PERIOD_MS = 60;
const RESTART_MS = 800;

const closers: Array<() => Promise<void> | void> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Gateways, services and callers. */
class Deployment {
  readonly gateways: TestGateway[] = [];
  readonly sound: Array<{sentAt: number; status: number}> = [];
  private sent = 0;

  private constructor(
    readonly feed: MemoryFeed,
    readonly services: CrashingServices,
  ) {}

  static async open(
    endsService: (path: string, services: CrashingServices) => boolean,
    soundPath: () => string,
  ): Promise<Deployment> {
    const feed = openTestFeed([]);
    const services = new CrashingServices(
      feed,
      SERVICES,
      endsService,
      RESTART_MS,
    );
    const deployment = new Deployment(feed, services);
    closers.push(() => services.close());
    await services.start();
    for (let index = 0; index < GATEWAYS; index++) {
      const name = `entry-${index}`;
      const started = await startGatewayOn(feed, 300, name);
      deployment.gateways.push({feed, ...started});
      closers.push(() => started.gateway.stop());
    }
    await vi.waitFor(() =>
      expect(addressesIn(feed.records[Topic.Instances])).toHaveLength(GATEWAYS),
    );
    deployment.every(
      SOUND_PERIOD_MS,
      () => void deployment.sendSound(soundPath()),
    );
    await sleep(1_500);
    return deployment;
  }

  every(periodMs: number, action: () => void): void {
    const interval = setInterval(action, periodMs);
    closers.push(() => clearInterval(interval));
  }

  /** Sends a request to each gateway in turn. */
  send(path: string) {
    const id = `r${++this.sent}`;
    const {gateway} = this.gateways[this.sent % GATEWAYS] ?? {};
    return call(gateway?.port ?? 0, path, id);
  }

  badSendsSince(since: number): number {
    return this.services.arrivals.filter(
      ({at, path}) => at >= since && path === BAD_PATH,
    ).length;
  }

  /** Share of the sound requests since a time that were served. */
  servedShare(since: number): number {
    const sound = this.sound.filter(({sentAt}) => sentAt >= since);
    return sound.filter(({status}) => status === 200).length / sound.length;
  }

  private async sendSound(path: string): Promise<void> {
    const sentAt = performance.now();
    const response = await this.send(path);
    this.sound.push({sentAt, status: response?.status ?? 0});
  }
}

/** Resolves to when the rule begins to hold, once that time has come. */
async function untilHeld({services}: Deployment): Promise<number> {
  const limit = performance.now() + CRASHES_LIMIT_MS;
  while (services.crashes.length < 3 && performance.now() < limit) {
    await sleep(20);
  }
  const heldAt = (services.crashes[2] ?? limit) + STABLE_WINDOW_MS;
  await sleep(heldAt - performance.now());
  return heldAt;
}

describe('a request that ends each plain service which runs it', () => {
  test.each([
    {often: 'often', periodMs: 400},
    {often: 'now and then', periodMs: 1_700},
  ])(
    'reaches services at most three times more if it comes $often',
    async ({periodMs}) => {
      let n = 0;
      const deployment = await Deployment.open(
        path => path === BAD_PATH,
        () => `/look/${++n}`,
      );
      deployment.every(periodMs, () => void deployment.send(BAD_PATH));
      const heldAt = await untilHeld(deployment);
      await sleep(8_000);
      expect(deployment.badSendsSince(heldAt)).toBeLessThanOrEqual(SENDS_LIMIT);
      // What is refused is called not run, and others are served.
      const refused = await deployment.send(BAD_PATH);
      expect(refused?.status).toBe(503);
      expect(deployment.servedShare(heldAt + 2_000)).toBeGreaterThan(0.95);
    },
    40_000,
  );
});

test('plain services that end at random cause no refusal of a request that comes often', async () => {
  const random = seededRandom(0x9e3779b1);
  let n = 0;
  const deployment = await Deployment.open(
    (_path, {runningCount}) => runningCount === SERVICES && random() < 0.04,
    () => `/look/${++n % 2 === 0 ? 'hot' : n}`,
  );
  await sleep(12_000);
  expect(deployment.services.crashes.length).toBeGreaterThan(5);
  const held = deployment.gateways
    .flatMap(({logLines}) => logLines)
    .filter(({event}) => event === LogEvent.Held);
  expect(held).toEqual([]);
}, 40_000);
