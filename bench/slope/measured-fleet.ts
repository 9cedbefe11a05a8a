import {
  parsePeerAddress,
  sendLeavingCommand,
  Credential,
  isLive,
  PeerClient,
  fetchMembers,
  fetchUpstreams,
  fetchUsage,
  type ResourceUsage,
  type MemberState,
} from '../../src/instance/index.js';
import type {ConfigurationDraft} from '../../src/config/index.js';
import {LogSession} from '../../src/cli/logsession.js';
import {Cluster} from '../cluster.js';
import {median} from './linear-fit.js';

const POLL_MS = 10;
const JOIN_TIMEOUT_MS = 60_000;
const PROPAGATION_TIMEOUT_MS = 20_000;
const BYTES_PER_MB = 1_048_576;

/** Resource use of an instance; traffic in bytes per second, both ways. */
export interface ResourceRates {
  datagramBytes: number;
  peerCallBytes: number;
  platformBytes: number;
  /** Sum of datagrams, peer calls and platform traffic. */
  bytes: number;
  /** CPU time in percent of one core. */
  cpuPercent: number;
  residentMb: number;
  heapMb: number;
}

/** A cluster of router processes whose resource use is measured. */
export class MeasuredFleet {
  private readonly client = new PeerClient(
    new Credential([Cluster.peerSecret]),
    '0.0.0.0',
  );

  private constructor(
    readonly cluster: Cluster,
    private readonly session: LogSession,
  ) {}

  /**
   * Starts routers and waits until each knows all others. Returns undefined if
   * the log can't be opened.
   */
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
    await fleet.waitUntilJoined();
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

  /**
   * Publishes a document and returns the time in ms from its acceptance until
   * it is in force everywhere; NaN if it was not accepted.
   */
  async publish(document: ConfigurationDraft): Promise<number> {
    const base = this.session.follower.current()?.version ?? 0;
    const result = await this.session.publish({base, document});
    const acceptedAt = performance.now();
    if (result.isErr()) return NaN;
    const {version} = result.value;
    await waitUntil(() => this.allHaveVersion(version), PROPAGATION_TIMEOUT_MS);
    return performance.now() - acceptedAt;
  }

  /**
   * Tells one instance that an upstream is leaving and returns the time in ms
   * until no instance sends it new requests. Cancels the leave afterwards.
   */
  async measureUpstreamLeave(round: number): Promise<number> {
    const {upstreams} = this.cluster;
    const name = upstreams[round % upstreams.length]?.name ?? '';
    const addresses = this.addresses;
    const instance = addresses[addresses.length - 1];
    if (instance === undefined) return NaN;
    const start = performance.now();
    await sendLeavingCommand(this.client, instance, name, true);
    await waitUntil(() => this.allReport(name, false), PROPAGATION_TIMEOUT_MS);
    const elapsedMs = performance.now() - start;
    await sendLeavingCommand(this.client, instance, name, false);
    await waitUntil(() => this.allReport(name, true), PROPAGATION_TIMEOUT_MS);
    return elapsedMs;
  }

  /** Returns the median resource use of the instances over a period. */
  async measure(seconds: number): Promise<ResourceRates> {
    const before = await this.usages();
    await sleep(seconds * 1_000);
    const after = await this.usages();
    const rates = after.map((usage, i) => ratesOf(before[i] ?? usage, usage));
    const medianOf = (key: keyof ResourceRates) =>
      median(rates.map(rate => rate[key]));
    return {
      datagramBytes: medianOf('datagramBytes'),
      peerCallBytes: medianOf('peerCallBytes'),
      platformBytes: medianOf('platformBytes'),
      bytes: medianOf('bytes'),
      cpuPercent: medianOf('cpuPercent'),
      residentMb: medianOf('residentMb'),
      heapMb: medianOf('heapMb'),
    };
  }

  /** State of a member as reported by every other router that responds. */
  async memberStates(name: string): Promise<MemberState[]> {
    const others = this.cluster.routers.filter(router => router.name !== name);
    const views = await Promise.all(
      others.map(({host, process}) =>
        fetchMembers(
          this.client,
          parsePeerAddress(`${host}:${process?.listening.peerPort ?? 0}`),
        ),
      ),
    );
    return views.flatMap(
      view => view?.find(member => member.name === name)?.state ?? [],
    );
  }

  private get addresses() {
    return this.cluster.routers.map(({host, process}) =>
      parsePeerAddress(`${host}:${process?.listening.peerPort ?? 0}`),
    );
  }

  private async usages(): Promise<ResourceUsage[]> {
    const usages = await Promise.all(
      this.addresses.map(address => fetchUsage(this.client, address)),
    );
    return usages.filter(usage => usage !== undefined);
  }

  /** Waits until each router lists all others as live. */
  async waitUntilJoined(): Promise<void> {
    const count = this.cluster.routers.length;
    await waitUntil(async () => {
      const views = await Promise.all(
        this.addresses.map(address => fetchMembers(this.client, address)),
      );
      return views.every(view => view?.filter(isLive).length === count);
    }, JOIN_TIMEOUT_MS);
  }

  private async allReport(
    upstream: string,
    takesWork: boolean,
  ): Promise<boolean> {
    const views = await Promise.all(
      this.addresses.map(address => fetchUpstreams(this.client, address)),
    );
    return views.every(view => {
      if (view === undefined) return true;
      const seen = view.find(item => item.upstream === upstream);
      return seen?.takesWork === takesWork;
    });
  }

  private async allHaveVersion(version: number): Promise<boolean> {
    const ready = await Promise.all(
      this.cluster.routers.map(router =>
        hasVersionOrIsGone(router.url, version),
      ),
    );
    return ready.every(value => value);
  }
}

/** Whether an instance has a version in force, or can't be reached. */
async function hasVersionOrIsGone(
  url: string,
  version: number,
): Promise<boolean> {
  try {
    const answer = await fetch(`${url}/readyz`);
    const body = (await answer.json()) as {version: number};
    return body.version >= version;
  } catch {
    return true;
  }
}

function ratesOf(before: ResourceUsage, after: ResourceUsage): ResourceRates {
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

async function waitUntil(
  condition: () => Promise<boolean>,
  limitMs: number,
): Promise<void> {
  const end = Date.now() + limitMs;
  while (Date.now() < end && !(await condition())) await sleep(POLL_MS);
}

/** Resolves after a time in ms. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
