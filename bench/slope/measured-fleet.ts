import {
  addressOf,
  commandLeaving,
  Credential,
  isLive,
  PeerClient,
  readMembers,
  readUpstreams,
  readUsage,
  type ControlUsage,
  type MemberState,
} from '../../src/instance/index.js';
import type {ConfigurationDraft} from '../../src/config/index.js';
import {LogSession} from '../../src/cli/session.js';
import {Cluster} from '../cluster.js';
import {median} from './linear-fit.js';

const POLL_MS = 10;
const JOIN_TIMEOUT_MS = 60_000;
const PUBLISH_TIMEOUT_MS = 20_000;
const BYTES_PER_MB = 1_048_576;

/** What an instance spends a second, the median over a fleet. */
export interface Rates {
  datagramBytes: number;
  peerCallBytes: number;
  platformBytes: number;
  /** All control bytes, sent and received. */
  bytes: number;
  /** Share of one core, in percent. */
  cpuPercent: number;
  residentMb: number;
  heapMb: number;
}

/** A fleet of real router processes under measurement. */
export class MeasuredFleet {
  private readonly client = new PeerClient(
    new Credential([Cluster.peerSecret]),
    '0.0.0.0',
  );

  private constructor(
    readonly cluster: Cluster,
    private readonly session: LogSession,
  ) {}

  /** Starts routers and waits until each knows all others. */
  static async start(
    routers: number,
    document: ConfigurationDraft,
  ): Promise<MeasuredFleet | undefined> {
    const cluster = await Cluster.start({document, routers});
    const session = await LogSession.open(cluster.log.url);
    if (session === undefined) {
      await cluster.stop();
      return undefined;
    }
    const fleet = new MeasuredFleet(cluster, session);
    await fleet.untilJoined();
    return fleet;
  }

  get document(): ConfigurationDraft {
    return this.cluster.document;
  }

  async stop(): Promise<void> {
    await this.client.close();
    await this.session.close();
    await this.cluster.stop();
  }

  /** Publishes; returns the time from accepted to in force everywhere, in ms. */
  async publish(document: ConfigurationDraft): Promise<number> {
    const base = this.session.follower.current()?.version ?? 0;
    const result = await this.session.publish({base, document});
    const acceptedAt = performance.now();
    if (result.isErr()) return NaN;
    const {version} = result.value;
    await until(() => this.allHave(version), PUBLISH_TIMEOUT_MS);
    return performance.now() - acceptedAt;
  }

  /**
   * Takes an upstream out by a command to one instance and returns the time
   * until none sends it new work, in ms. Brings it back afterwards.
   */
  async takeOut(round: number): Promise<number> {
    const {upstreams} = this.cluster;
    const name = upstreams[round % upstreams.length]?.name ?? '';
    const addresses = this.addresses;
    const told = addresses[addresses.length - 1];
    if (told === undefined) return NaN;
    const start = performance.now();
    await commandLeaving(this.client, told, name, true);
    await until(() => this.allSee(name, false), PUBLISH_TIMEOUT_MS);
    const took = performance.now() - start;
    await commandLeaving(this.client, told, name, false);
    await until(() => this.allSee(name, true), PUBLISH_TIMEOUT_MS);
    return took;
  }

  /** Measures what instances spend over some seconds. */
  async measure(seconds: number): Promise<Rates> {
    const before = await this.usages();
    await sleep(seconds * 1_000);
    const after = await this.usages();
    const rates = after.map((usage, i) => ratesOf(before[i] ?? usage, usage));
    const of = (key: keyof Rates) => median(rates.map(rate => rate[key]));
    return {
      datagramBytes: of('datagramBytes'),
      peerCallBytes: of('peerCallBytes'),
      platformBytes: of('platformBytes'),
      bytes: of('bytes'),
      cpuPercent: of('cpuPercent'),
      residentMb: of('residentMb'),
      heapMb: of('heapMb'),
    };
  }

  /** The state of a member as each other router that answers sees it. */
  async statesOf(name: string): Promise<MemberState[]> {
    const others = this.cluster.routers.filter(router => router.name !== name);
    const views = await Promise.all(
      others.map(({host, process}) =>
        readMembers(
          this.client,
          addressOf(`${host}:${process?.listening.peerPort ?? 0}`),
        ),
      ),
    );
    return views.flatMap(
      view => view?.find(member => member.name === name)?.state ?? [],
    );
  }

  private get addresses() {
    return this.cluster.routers.map(({host, process}) =>
      addressOf(`${host}:${process?.listening.peerPort ?? 0}`),
    );
  }

  private async usages(): Promise<ControlUsage[]> {
    const usages = await Promise.all(
      this.addresses.map(address => readUsage(this.client, address)),
    );
    return usages.filter(usage => usage !== undefined);
  }

  /** Waits until each router knows all others as live. */
  async untilJoined(): Promise<void> {
    const count = this.cluster.routers.length;
    await until(async () => {
      const views = await Promise.all(
        this.addresses.map(address => readMembers(this.client, address)),
      );
      return views.every(view => view?.filter(isLive).length === count);
    }, JOIN_TIMEOUT_MS);
  }

  private async allSee(upstream: string, open: boolean): Promise<boolean> {
    const views = await Promise.all(
      this.addresses.map(address => readUpstreams(this.client, address)),
    );
    return views.every(view => {
      if (view === undefined) return true;
      const seen = view.find(item => item.upstream === upstream);
      return seen?.takesWork === open;
    });
  }

  private async allHave(version: number): Promise<boolean> {
    const ready = await Promise.all(
      this.cluster.routers.map(router => hasVersion(router.url, version)),
    );
    return ready.every(value => value);
  }
}

/** Whether an instance has a version in force; true of one that is gone. */
async function hasVersion(url: string, version: number): Promise<boolean> {
  try {
    const answer = await fetch(`${url}/readyz`);
    const body = (await answer.json()) as {version: number};
    return body.version >= version;
  } catch {
    return true;
  }
}

function ratesOf(before: ControlUsage, after: ControlUsage): Rates {
  const seconds = (after.uptimeMs - before.uptimeMs) / 1_000;
  const rate = (kind: 'datagrams' | 'peerCalls' | 'platform') =>
    (after[kind].bytesIn +
      after[kind].bytesOut -
      before[kind].bytesIn -
      before[kind].bytesOut) /
    seconds;
  const datagramBytes = rate('datagrams');
  const peerCallBytes = rate('peerCalls');
  const platformBytes = rate('platform');
  return {
    datagramBytes,
    peerCallBytes,
    platformBytes,
    bytes: datagramBytes + peerCallBytes + platformBytes,
    cpuPercent: (after.cpuMs - before.cpuMs) / seconds / 10,
    residentMb: after.residentBytes / BYTES_PER_MB,
    heapMb: after.heapBytes / BYTES_PER_MB,
  };
}

async function until(
  condition: () => Promise<boolean>,
  limitMs: number,
): Promise<void> {
  const end = Date.now() + limitMs;
  while (Date.now() < end && !(await condition())) await sleep(POLL_MS);
}

/** Waits some time. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
