import {expect, vi} from 'vitest';
import {Topic} from '../../src/registry/index.js';
import {
  CrashingEngines,
  type CrashCondition,
  type SpoilCondition,
} from './crashingengines.js';
import {
  addressesIn,
  call,
  openTestFeed,
  startGatewayOn,
  type MemoryFeed,
  type TestGateway,
} from './gateway.js';
import {sleep} from './silentupstream.js';

/** The part that crashes engines in tests that have one. */
export const BAD_PART = 'bad';
export const ENGINES = 6;
/** Bound of the platform from which a state must be known, in ms. */
export const STABLE_WINDOW_MS = 4_000;
const FIRST_PART = 'hot';
const GATEWAYS = 3;
/** Longest wait for the fifth crash, which may not come, in ms. */
const CRASHES_LIMIT_MS = 4_000;
const SHARED_PARTS = 5;

const closers: Array<() => Promise<void> | void> = [];

/** Closes what a test opened. */
export async function closeDeployments(): Promise<void> {
  for (const close of closers.splice(0).reverse()) await close();
}

/** How often what happens in a deployment. */
interface Pace {
  /** Time between two sound requests to a gateway, in ms. */
  soundPeriodMs: number;
  /** Time between two requests with the bad part to a gateway, in ms. */
  badPeriodMs: number;
  /** Time from a crash to the start of the engine's next process, in ms. */
  restartMs?: () => number;
}

const USUAL_PACE: Pace = {soundPeriodMs: 50, badPeriodMs: 400};

interface SentRequest {
  id: string;
  sentAt: number;
}

/** Gateways, engines and callers. */
export class CrashDeployment {
  readonly sound: SentRequest[] = [];
  readonly gateways: TestGateway[] = [];
  /** Gateways that get requests with the bad part. */
  readonly exposed = new Set<TestGateway>();
  private sent = 0;

  private constructor(
    private readonly feed: MemoryFeed,
    readonly engines: CrashingEngines,
    private readonly pace: Pace,
  ) {}

  static async open(
    endsEngine: CrashCondition,
    spoils?: SpoilCondition,
    pace = USUAL_PACE,
  ): Promise<CrashDeployment> {
    const feed = openTestFeed([]);
    const {restartMs, soundPeriodMs} = pace;
    const engines = new CrashingEngines(
      feed,
      ENGINES,
      endsEngine,
      spoils,
      restartMs,
    );
    const deployment = new CrashDeployment(feed, engines, pace);
    closers.push(() => engines.close());
    await engines.start();
    for (let index = 0; index < GATEWAYS; index++) {
      await deployment.startGateway(`entry-${index}`);
    }
    await vi.waitFor(() =>
      expect(addressesIn(feed.records[Topic.Instances])).toHaveLength(GATEWAYS),
    );
    deployment.every(soundPeriodMs, gateway => {
      const sentAt = performance.now();
      deployment.sound.push({id: deployment.send(gateway, false), sentAt});
    });
    return deployment;
  }

  async startGateway(name: string): Promise<TestGateway> {
    const {feed} = this;
    const gateway = {feed, ...(await startGatewayOn(feed, 300, name))};
    this.gateways.push(gateway);
    closers.push(() => gateway.gateway.stop());
    return gateway;
  }

  /** Ends the first gateway and starts a new process under its name. */
  async restartGateway(): Promise<TestGateway> {
    const [old] = this.gateways.splice(0, 1);
    if (old !== undefined) this.exposed.delete(old);
    await old?.gateway.stop();
    return this.startGateway('entry-0');
  }

  /** Sends requests with the bad part to the exposed gateways. */
  sendBad(): void {
    for (const gateway of this.gateways) this.exposed.add(gateway);
    this.every(this.pace.badPeriodMs, gateway => {
      if (this.exposed.has(gateway)) this.send(gateway, true);
    });
  }

  /** Sends with the bad part since a time. */
  badSendsSince(since: number): number {
    return this.engines.arrivals.filter(
      ({at, parts}) => at >= since && parts.includes(BAD_PART),
    ).length;
  }

  /** Share of the sound requests of a time that begin at their first attempt. */
  begunShare(from: number, to: number): number {
    const requests = this.sound.filter(
      ({sentAt}) => sentAt >= from && sentAt < to,
    );
    const begun = requests.filter(
      ({id}) => this.engines.arrivalsOf(id)[0]?.began === true,
    );
    return begun.length / requests.length;
  }

  private every(
    periodMs: number,
    action: (gateway: TestGateway) => void,
  ): void {
    const interval = setInterval(() => this.gateways.forEach(action), periodMs);
    closers.push(() => clearInterval(interval));
  }

  /** Sends a request and returns its id. */
  private send({gateway}: TestGateway, hasBadPart: boolean): string {
    const n = ++this.sent;
    const shared = `shared-${n % SHARED_PARTS}:10`;
    const between = !hasBadPart
      ? [shared]
      : n % 2 === 0
        ? [`${BAD_PART}:15`, shared]
        : [shared, `${BAD_PART}:15`];
    const parts = [`${FIRST_PART}:20`, ...between, `own-${n}:8`];
    const id = `r${n}`;
    void call(gateway.port, '/chat/a', id, {
      method: 'POST',
      headers: {
        'x-model': 'm',
        'x-token-counts': `${hasBadPart ? 53 : 38},8`,
        'x-prompt-prefix': parts.join(','),
      },
    });
    return id;
  }
}

export const hasBadPart: CrashCondition = parts => parts.includes(BAD_PART);

/** Resolves to when the rule begins to hold, once that time has come. */
export async function untilHeld({engines}: CrashDeployment): Promise<number> {
  const limit = performance.now() + CRASHES_LIMIT_MS;
  while (engines.crashes.length < 5 && performance.now() < limit) {
    await sleep(20);
  }
  const heldAt = (engines.crashes[4] ?? limit) + STABLE_WINDOW_MS;
  await sleep(heldAt - performance.now());
  return heldAt;
}
