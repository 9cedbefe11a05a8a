import {FaultProxy} from '../stand-ins/index.js';
import {Observer} from './observer.js';
import {Publisher} from './publisher.js';
import type {Cluster, ProxiedStandIn} from './cluster.js';
import {FaultKind, type History} from './history.js';
import {
  sendLateOrder,
  readCurrentHolder,
  withCopiesChangedBy,
} from './leases.js';
import type {PlannedFault} from './fault-schedule.js';
import {ProxiedRouter} from './proxied-router.js';

/** Time for requests in flight to reach the journal after a cut. */
const CUT_SETTLE_MS = 150;
const SHUTDOWN_TIMEOUT_MS = 40_000;
const SLOW_LINK_DELAY_MS = 80;
/** Factor by which the steps of a slow engine take longer. */
const SLOWDOWN_FACTOR = 20;

const sleep = (ms: number) => new Promise<void>(end => setTimeout(end, ms));

/** Injects planned faults into a cluster and records them in the history. */
export class Injector {
  private readonly observer: Observer;
  /** Number of faults in effect by target and changed properties. */
  private readonly activeChanges = new Map<string, number>();
  /** Upstreams with a fault that excludes others meanwhile. */
  private readonly busyUpstreams = new Set<ProxiedStandIn>();

  private constructor(
    private readonly cluster: Cluster,
    private readonly history: History,
    readonly stations: readonly ProxiedRouter[],
    private readonly publisher: Publisher | undefined,
  ) {
    this.observer = new Observer(cluster, history, stations);
  }

  static async open(cluster: Cluster, history: History): Promise<Injector> {
    const stations = await Promise.all(
      cluster.routers.map(async (router, index) => {
        const proxy = await FaultProxy.open(`127.0.3.${index + 1}`);
        const station = new ProxiedRouter(router, proxy);
        station.redirectCallers();
        return station;
      }),
    );
    const publisher = await Publisher.open(cluster, history);
    const injector = new Injector(cluster, history, stations, publisher);
    void injector.observer.watchVersions();
    return injector;
  }

  /** Injects one fault, and resolves when the fault has ended. */
  async inject(planned: PlannedFault): Promise<void> {
    const fault = {kind: planned.kind, target: '', from: Date.now(), to: 0};
    const target = await this.applyFault(planned, name => {
      fault.target = name;
      this.history.faults.push({...fault, to: Infinity});
    });
    const recorded = this.history.faults.find(
      ({kind, target: name, to, from}) =>
        kind === planned.kind &&
        name === target &&
        to === Infinity &&
        from === fault.from,
    );
    if (recorded !== undefined) recorded.to = Date.now();
  }

  /** Completes the history and closes the callers' proxies. */
  async close(): Promise<void> {
    await this.publisher?.close();
    await this.observer.close();
    await Promise.all(this.stations.map(({proxy}) => proxy.close()));
  }

  /**
   * Applies a fault for its duration and returns the name of its target, or an
   * empty string if no target is free. Calls `onStart` when the fault starts.
   */
  private async applyFault(
    planned: PlannedFault,
    onStart: (target: string) => void,
  ): Promise<string> {
    const {kind, durationMs} = planned;
    const {log} = this.cluster;
    switch (kind) {
      case FaultKind.KillRouter:
      case FaultKind.PauseRouter:
      case FaultKind.ReplaceRouter:
        return this.disruptRouter(planned, onStart);
      case FaultKind.PauseHolder:
        return this.pauseHolder(planned, onStart);
      case FaultKind.KillUpstream:
      case FaultKind.PauseUpstream:
        return this.disruptUpstream(planned, onStart);
      case FaultKind.SilentUpstream: {
        const target = this.pickUpstream(planned);
        onStart(target.name);
        target.proxy.silence('both');
        return target.name;
      }
      case FaultKind.SilentPeer: {
        const station = this.pickStation(planned);
        onStart(station.router);
        station.instance.proxy.silence('both');
        return station.router;
      }
      case FaultKind.SilentCaller: {
        const station = this.pickStation(planned);
        onStart(station.router);
        station.proxy.silence('answers');
        return station.router;
      }
      case FaultKind.SilentLog:
        onStart(log.name);
        log.proxy.silence('both');
        return log.name;
      case FaultKind.LogOutage:
        return this.changeLogBehaviour(
          onStart,
          durationMs,
          {down: true},
          {down: false},
        );
      case FaultKind.LostAppendAnswers:
        return this.changeLogBehaviour(
          onStart,
          durationMs,
          {lostAnswerShare: 0.5},
          {lostAnswerShare: 0},
        );
      case FaultKind.LostAppends:
        return this.changeLogBehaviour(
          onStart,
          durationMs,
          {lostAppendShare: 0.5},
          {lostAppendShare: 0},
        );
      case FaultKind.StaleReads:
        return this.changeLogBehaviour(
          onStart,
          durationMs,
          {staleReadShare: 0.5, replicaLagMs: 800},
          {staleReadShare: 0, replicaLagMs: 0},
        );
      case FaultKind.SlowLink:
        return this.slowLink(planned, onStart);
      case FaultKind.RegionCut:
        return this.cutRegion(durationMs, onStart);
      case FaultKind.LeavingUpstream:
        return this.changeUpstreamBehaviour(
          planned,
          onStart,
          {leaving: true},
          {leaving: false},
        );
      case FaultKind.BusyUpstream:
        return this.changeUpstreamBehaviour(
          planned,
          onStart,
          {refusal: 'busy', refusedShare: 0.7},
          {refusal: 'off', refusedShare: 0},
        );
      case FaultKind.FailingUpstream:
        return this.changeUpstreamBehaviour(
          planned,
          onStart,
          {refusal: 'error', errorShare: 0.5, lostAnswerShare: 0.3},
          {refusal: 'off', errorShare: 0, lostAnswerShare: 0},
        );
      case FaultKind.SlowUpstream:
        return this.changeUpstreamBehaviour(
          planned,
          onStart,
          {slowness: SLOWDOWN_FACTOR, delayMs: 600},
          {slowness: 1, delayMs: 20},
        );
      case FaultKind.Publish:
        onStart('log');
        await this.publisher?.publish(1);
        return 'log';
      case FaultKind.PublishRace:
        onStart('log');
        await this.publisher?.publish(2);
        return 'log';
    }
  }

  /**
   * Kills, pauses or replaces a router. Returns its name, or an empty string
   * if other faults have all routers in use.
   */
  private async disruptRouter(
    {kind, durationMs, pick}: PlannedFault,
    onStart: (target: string) => void,
  ): Promise<string> {
    const available = this.stations.filter(({underFault: busy}) => !busy);
    const station = available[Math.floor(pick * available.length)];
    if (station === undefined) return '';
    station.underFault = true;
    onStart(station.router);
    const {process} = station.instance;
    if (kind === FaultKind.KillRouter) {
      await process?.kill();
      await sleep(durationMs);
      await station.restart();
    } else if (kind === FaultKind.PauseRouter) {
      process?.pause();
      await sleep(durationMs);
      process?.resume();
    } else {
      await this.replaceRouter(station);
    }
    station.underFault = false;
    return station.router;
  }

  /**
   * Pauses the holder of a lease beyond the lease term, publishes a change of
   * model copies so that its successor sends orders, and then delivers a late
   * order with the fencing number of the former holder.
   */
  private async pauseHolder(
    {durationMs, pick}: PlannedFault,
    onStart: (target: string) => void,
  ): Promise<string> {
    const holder = await readCurrentHolder(this.cluster);
    const station = this.stations.find(
      ({router, underFault: busy}) => router === holder?.router && !busy,
    );
    if (station === undefined || holder === undefined) return '';
    station.underFault = true;
    onStart(station.router);
    station.instance.process?.pause();
    const {document} = this.cluster;
    const changedDocument = withCopiesChangedBy(document, pick < 0.5 ? 1 : -1);
    const published = this.publisher?.publish(1, changedDocument);
    await sleep(durationMs);
    await this.deliverLateOrder(holder.fencing, pick);
    station.instance.process?.resume();
    station.underFault = false;
    await published;
    return station.router;
  }

  private async deliverLateOrder(fencing: number, pick: number): Promise<void> {
    const {upstreams, document} = this.cluster;
    const engines = upstreams.filter(({kind}) => kind === 'runner');
    const engine = engines[Math.floor(pick * engines.length)];
    const pool = document.pools.find(({kind}) => kind === 'runner');
    const model = pool?.kind === 'runner' ? pool.models[0]?.name : undefined;
    if (engine === undefined || model === undefined) return;
    // The engine may be down at this moment; it then gets no late order.
    await sendLateOrder(engine, fencing, model).catch(() => undefined);
  }

  /**
   * Shuts a router down with SIGTERM, kills it after [[SHUTDOWN_TIMEOUT_MS]],
   * and starts a new process in its place.
   */
  private async replaceRouter(station: ProxiedRouter): Promise<void> {
    const askedAt = Date.now();
    const {process} = station.instance;
    const exitCode = process?.terminate() ?? Promise.resolve(null);
    const timeout = sleep(SHUTDOWN_TIMEOUT_MS).then(() => -1);
    const code = await Promise.race([exitCode, timeout]);
    if (code === -1) await process?.kill();
    this.history.shutdowns.push({
      router: station.router,
      process: station.processNumber,
      askedAt,
      endedAt: Date.now(),
      code,
    });
    await station.restart();
  }

  /**
   * Kills or pauses an upstream. Returns its name, or an empty string if
   * another fault has it in use.
   */
  private async disruptUpstream(
    planned: PlannedFault,
    onStart: (target: string) => void,
  ): Promise<string> {
    const target = this.pickUpstream(planned);
    if (this.busyUpstreams.has(target)) return '';
    this.busyUpstreams.add(target);
    onStart(target.name);
    if (planned.kind === FaultKind.PauseUpstream) {
      target.process.pause();
      await sleep(planned.durationMs);
      target.process.resume();
    } else {
      await this.killUpstream(target, planned.durationMs);
    }
    this.busyUpstreams.delete(target);
    return target.name;
  }

  /**
   * Kills an upstream and replaces it after `downMs`. The upstream is cut off
   * first, so that its journal can be read completely before the kill.
   */
  private async killUpstream(
    target: ProxiedStandIn,
    downMs: number,
  ): Promise<void> {
    this.setProxyFaults(target, {cut: true});
    await sleep(CUT_SETTLE_MS);
    await this.observer.readJournal(target);
    await target.process.kill();
    this.setProxyFaults(target, {cut: false, refuse: true});
    target.proxy.reset();
    await sleep(downMs);
    await this.cluster.replaceUpstream(target);
    this.setProxyFaults(target, {refuse: false});
  }

  /** Sets the faults of a proxy for all sources, and for each router. */
  private setProxyFaults(target: ProxiedStandIn, faults: object): void {
    target.proxy.inject(faults);
    for (const {instance: router} of this.stations) {
      target.proxy.inject(faults, router.host);
    }
  }

  private async changeLogBehaviour(
    onStart: (target: string) => void,
    durationMs: number,
    faulty: object,
    normal: object,
  ): Promise<string> {
    const {log} = this.cluster;
    onStart(log.name);
    await this.changeBehaviourFor(log, durationMs, faulty, normal);
    return log.name;
  }

  private async changeUpstreamBehaviour(
    planned: PlannedFault,
    onStart: (target: string) => void,
    faulty: object,
    normal: object,
  ): Promise<string> {
    const target = this.pickUpstream(planned);
    if (this.busyUpstreams.has(target)) return '';
    this.busyUpstreams.add(target);
    onStart(target.name);
    await this.changeBehaviourFor(target, planned.durationMs, faulty, normal);
    this.busyUpstreams.delete(target);
    return target.name;
  }

  /**
   * Changes the behaviour of a stand-in for a time. Overlapping faults on the
   * same properties restore it only when the last of them ends.
   */
  private async changeBehaviourFor(
    target: ProxiedStandIn,
    durationMs: number,
    faulty: object,
    normal: object,
  ): Promise<void> {
    const changeKey = `${target.name} ${Object.keys(faulty).join()}`;
    this.activeChanges.set(
      changeKey,
      (this.activeChanges.get(changeKey) ?? 0) + 1,
    );
    await this.cluster.setBehaviour(target, faulty);
    await sleep(durationMs);
    const remaining = (this.activeChanges.get(changeKey) ?? 1) - 1;
    this.activeChanges.set(changeKey, remaining);
    if (remaining === 0) await this.cluster.setBehaviour(target, normal);
  }

  private async slowLink(
    planned: PlannedFault,
    onStart: (target: string) => void,
  ): Promise<string> {
    const targets = [...this.cluster.upstreams, this.cluster.log];
    const target = targets[Math.floor(planned.pick * targets.length)];
    if (target === undefined) return '';
    onStart(target.name);
    this.setProxyFaults(target, {delayMs: SLOW_LINK_DELAY_MS});
    await sleep(planned.durationMs);
    this.setProxyFaults(target, {delayMs: 0});
    return target.name;
  }

  /**
   * Cuts the last zone off from the other zones, from the log and from the
   * instance list.
   */
  private async cutRegion(
    durationMs: number,
    onStart: (target: string) => void,
  ): Promise<string> {
    const zone = this.cluster.document.zones.at(-1)?.name ?? '';
    onStart(zone);
    this.setRegionCut(zone, true);
    await sleep(durationMs);
    this.setRegionCut(zone, false);
    return zone;
  }

  /** Cuts or restores the connections of routers across a zone's border. */
  private setRegionCut(zone: string, cut: boolean): void {
    const {upstreams, log, list} = this.cluster;
    for (const {instance: router} of this.stations) {
      const inside = router.zone === zone;
      for (const upstream of upstreams) {
        if ((upstream.zone === zone) !== inside) {
          upstream.proxy.inject({blackholed: cut}, router.host);
        }
      }
      if (inside) {
        log.proxy.inject({blackholed: cut}, router.host);
        list.proxy.inject({blackholed: cut}, router.host);
      }
      for (const {instance: peer} of this.stations) {
        if ((peer.zone === zone) !== inside) {
          peer.proxy.inject({blackholed: cut}, router.host);
        }
      }
    }
  }

  private pickUpstream({pick}: PlannedFault): ProxiedStandIn {
    const {upstreams} = this.cluster;
    return upstreams[Math.floor(pick * upstreams.length)] as ProxiedStandIn;
  }

  private pickStation({pick}: PlannedFault): ProxiedRouter {
    return this.stations[
      Math.floor(pick * this.stations.length)
    ] as ProxiedRouter;
  }
}
