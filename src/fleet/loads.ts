import type {UpstreamLoad, WireLoad} from './message.js';

/** Age above which loads are ignored, in ms. */
export const MAX_LOAD_AGE_MS = 1_500;

/** Age above which reported waiting requests are ignored, in ms. */
const MAX_WAITING_AGE_MS = 500;

/** Load on an upstream from all other instances. */
export interface PeerLoad {
  /** Requests in flight. */
  inflight: number;
  /** Prompt tokens whose prefill is pending, by tier. */
  unread: Map<number, number>;
  /** Prompt tokens sent for prefill in the last second, by tier. */
  recent: Map<number, number>;
  /** Age of the oldest report included, in ms. */
  ageMs: number;
}

/** The load that an instance, or a zone as a whole, puts on upstreams. */
export interface LoadReport {
  /** Name of the instance or zone. */
  from: string;
  /** Number of instances that the load is the sum of. */
  instances: number;
  loads: UpstreamLoad[];
  /** Service, and its most urgent tier with a long-waiting request. */
  waiting: Array<[string, number]>;
}

/** Encodes a report whose data are `ageMs` old. */
export function encodeReport(report: LoadReport, ageMs: number): WireLoad {
  const {from, instances, loads, waiting} = report;
  return [
    from,
    instances,
    Math.max(0, Math.round(ageMs)),
    loads.map(({upstream, inflight, unread, recent}) => [
      upstream,
      inflight,
      unread,
      recent,
    ]),
    waiting,
  ];
}

/** Decodes a report and the age of its data, in ms. */
export function decodeReport(wire: WireLoad): {
  report: LoadReport;
  ageMs: number;
} {
  const [from, instances, ageMs, loads, waiting] = wire;
  return {
    ageMs,
    report: {
      from,
      instances,
      waiting,
      loads: loads.map(([upstream, inflight, unread, recent]) => ({
        upstream,
        inflight,
        unread,
        recent,
      })),
    },
  };
}

interface KnownReport {
  report: LoadReport;
  /** Monotonic time of the data, in ms. */
  at: number;
  /** Time of the first data since a gap, in ms. */
  since: number;
}

/**
 * Load on the upstreams from the other instances, from their last reports.
 * `now` is monotonic time, in ms.
 */
export class PeerLoads {
  /** By name of the instance or zone. */
  private readonly reports = new Map<string, KnownReport>();
  /** Reported loads on each upstream, by name of the instance or zone. */
  private readonly byUpstream = new Map<string, Map<string, UpstreamLoad>>();

  /**
   * Replaces the report of its origin, whose data are of the time `at`. Returns
   * false for data that are older than those known.
   */
  update(report: LoadReport, at: number): boolean {
    const known = this.reports.get(report.from);
    if (known !== undefined && at <= known.at) return false;
    if (known !== undefined) this.remove(known.report);
    const hasGap = known === undefined || at - known.at > MAX_LOAD_AGE_MS;
    const since = hasGap ? at : known.since;
    this.reports.set(report.from, {report, at, since});
    for (const load of report.loads) {
      const loads =
        this.byUpstream.get(load.upstream) ?? new Map<string, UpstreamLoad>();
      loads.set(report.from, load);
      this.byUpstream.set(load.upstream, loads);
    }
    return true;
  }

  /** Number of other instances with a recent report. */
  countActive(now: number): number {
    let count = 0;
    for (const {report, at} of this.reports.values()) {
      if (now - at <= MAX_LOAD_AGE_MS) count += report.instances;
    }
    return count;
  }

  /** Names of the instances and zones heard of recently. */
  activeOrigins(now: number): string[] {
    return [...this.reports]
      .filter(([, {at}]) => now - at <= MAX_LOAD_AGE_MS)
      .map(([from]) => from);
  }

  /** Since when each instance and zone heard of recently is heard, by name. */
  heardSince(now: number): Map<string, number> {
    const heard = new Map<string, number>();
    for (const [from, {at, since}] of this.reports) {
      if (now - at <= MAX_LOAD_AGE_MS) heard.set(from, since);
    }
    return heard;
  }

  /**
   * The most urgent tier with a long-waiting request for a service at another
   * instance; `Infinity` if there is none.
   */
  waitingTier(service: string, now: number): number {
    let tier = Infinity;
    for (const {report, at} of this.reports.values()) {
      if (now - at > MAX_WAITING_AGE_MS) continue;
      for (const [waitingService, waitingTier] of report.waiting) {
        if (waitingService === service) tier = Math.min(tier, waitingTier);
      }
    }
    return tier;
  }

  /** Sum of the load on an upstream that recent reports tell. */
  loadOn(upstream: string, now: number): PeerLoad {
    const sum = emptyLoad();
    for (const [from, load] of this.byUpstream.get(upstream) ?? []) {
      const known = this.reports.get(from);
      if (known === undefined) continue;
      const ageMs = now - known.at;
      if (ageMs > MAX_LOAD_AGE_MS) continue;
      sum.inflight += load.inflight;
      sum.ageMs = Math.max(sum.ageMs, ageMs);
      addTokens(sum.unread, load.unread);
      addTokens(sum.recent, load.recent);
    }
    return sum;
  }

  /** Ages of the known reports for which `includes` holds, in ms. */
  ages(includes: (from: string) => boolean, now: number): number[] {
    return [...this.reports.values()]
      .filter(({report}) => includes(report.from))
      .map(({at}) => now - at);
  }

  /** Forgets the reports that are too old to count. */
  sweep(now: number): void {
    for (const [from, {report, at}] of this.reports) {
      if (now - at <= MAX_LOAD_AGE_MS) continue;
      this.remove(report);
      this.reports.delete(from);
    }
  }

  /** Sum of the recent reports for which `includes` holds, and their mean age. */
  sumOf(
    includes: (from: string) => boolean,
    own: LoadReport,
    now: number,
  ): {sum: LoadReport; ageMs: number} {
    const included = [...this.reports.values()].filter(
      ({report, at}) => includes(report.from) && now - at <= MAX_LOAD_AGE_MS,
    );
    const reports = [own, ...included.map(({report}) => report)];
    const totalAgeMs = included.reduce((total, {at}) => total + now - at, 0);
    return {
      sum: {...sumReports(reports), from: own.from},
      ageMs: totalAgeMs / reports.length,
    };
  }

  private remove({from, loads}: LoadReport): void {
    for (const {upstream} of loads) {
      const known = this.byUpstream.get(upstream);
      known?.delete(from);
      if (known?.size === 0) this.byUpstream.delete(upstream);
    }
  }
}

function emptyLoad(): PeerLoad {
  return {inflight: 0, unread: new Map(), recent: new Map(), ageMs: 0};
}

function sumReports(reports: readonly LoadReport[]): LoadReport {
  const sums = new Map<string, PeerLoad>();
  const waiting = new Map<string, number>();
  for (const report of reports) {
    for (const {upstream, inflight, unread, recent} of report.loads) {
      const sum = sums.get(upstream) ?? emptyLoad();
      sum.inflight += inflight;
      addTokens(sum.unread, unread);
      addTokens(sum.recent, recent);
      sums.set(upstream, sum);
    }
    for (const [service, tier] of report.waiting) {
      waiting.set(service, Math.min(tier, waiting.get(service) ?? Infinity));
    }
  }
  return {
    from: '',
    instances: reports.reduce((total, {instances}) => total + instances, 0),
    loads: [...sums].map(([upstream, {inflight, unread, recent}]) => ({
      upstream,
      inflight,
      unread: [...unread],
      recent: [...recent],
    })),
    waiting: [...waiting],
  };
}

function addTokens(
  sum: Map<number, number>,
  added: ReadonlyArray<[number, number]>,
): void {
  for (const [tier, tokens] of added) {
    sum.set(tier, (sum.get(tier) ?? 0) + tokens);
  }
}
