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

const SETTLE_MS = 150;
const SHUTDOWN_LIMIT_MS = 40_000;
const SLOW_LINK_MS = 80;
const SLOWNESS = 20;

const sleep = (ms: number) => new Promise<void>(end => setTimeout(end, ms));

/** Injects planned faults into a cluster and notes them in the history. */
export class Injector {
  private readonly observer: Observer;
  private readonly active = new Map<string, number>();
  private readonly held = new Set<ProxiedStandIn>();

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

  /** Injects one fault and resolves when it has ended. */
  async inject(planned: PlannedFault): Promise<void> {
    const fault = {kind: planned.kind, target: '', from: Date.now(), to: 0};
    const target = await this.strike(planned, name => {
      fault.target = name;
      this.history.faults.push({...fault, to: Infinity});
    });
    const noted = this.history.faults.find(
      ({kind, target: name, to, from}) =>
        kind === planned.kind &&
        name === target &&
        to === Infinity &&
        from === fault.from,
    );
    if (noted !== undefined) noted.to = Date.now();
  }

  /** Reads what is left to be noted. */
  async close(): Promise<void> {
    await this.publisher?.close();
    await this.observer.close();
    await Promise.all(this.stations.map(({proxy}) => proxy.close()));
  }

  private async strike(
    planned: PlannedFault,
    begin: (target: string) => void,
  ): Promise<string> {
    const {kind, durationMs} = planned;
    const {log} = this.cluster;
    switch (kind) {
      case FaultKind.KillRouter:
      case FaultKind.PauseRouter:
      case FaultKind.ReplaceRouter:
        return this.strikeRouter(planned, begin);
      case FaultKind.PauseHolder:
        return this.pauseHolder(planned, begin);
      case FaultKind.KillUpstream:
      case FaultKind.PauseUpstream:
        return this.strikeUpstream(planned, begin);
      case FaultKind.SilentUpstream: {
        const target = this.pickUpstream(planned);
        begin(target.name);
        target.proxy.silence('both');
        return target.name;
      }
      case FaultKind.SilentPeer: {
        const station = this.pickStation(planned);
        begin(station.router);
        station.instance.proxy.silence('both');
        return station.router;
      }
      case FaultKind.SilentCaller: {
        const station = this.pickStation(planned);
        begin(station.router);
        station.proxy.silence('answers');
        return station.router;
      }
      case FaultKind.SilentLog:
        begin(log.name);
        log.proxy.silence('both');
        return log.name;
      case FaultKind.LogOutage:
        return this.behaveLog(begin, durationMs, {down: true}, {down: false});
      case FaultKind.LostAppendAnswers:
        return this.behaveLog(
          begin,
          durationMs,
          {lostAnswerShare: 0.5},
          {lostAnswerShare: 0},
        );
      case FaultKind.LostAppends:
        return this.behaveLog(
          begin,
          durationMs,
          {lostAppendShare: 0.5},
          {lostAppendShare: 0},
        );
      case FaultKind.StaleReads:
        return this.behaveLog(
          begin,
          durationMs,
          {staleReadShare: 0.5, replicaLagMs: 800},
          {staleReadShare: 0, replicaLagMs: 0},
        );
      case FaultKind.SlowLink:
        return this.slowLink(planned, begin);
      case FaultKind.RegionCut:
        return this.cutRegion(durationMs, begin);
      case FaultKind.LeavingUpstream:
        return this.behaveUpstream(
          planned,
          begin,
          {leaving: true},
          {leaving: false},
        );
      case FaultKind.BusyUpstream:
        return this.behaveUpstream(
          planned,
          begin,
          {refusal: 'busy', refusedShare: 0.7},
          {refusal: 'off', refusedShare: 0},
        );
      case FaultKind.FailingUpstream:
        return this.behaveUpstream(
          planned,
          begin,
          {refusal: 'error', errorShare: 0.5, lostAnswerShare: 0.3},
          {refusal: 'off', errorShare: 0, lostAnswerShare: 0},
        );
      case FaultKind.SlowUpstream:
        return this.behaveUpstream(
          planned,
          begin,
          {slowness: SLOWNESS, delayMs: 600},
          {slowness: 1, delayMs: 20},
        );
      case FaultKind.Publish:
        begin('log');
        await this.publisher?.publish(1);
        return 'log';
      case FaultKind.PublishRace:
        begin('log');
        await this.publisher?.publish(2);
        return 'log';
    }
  }

  private async strikeRouter(
    {kind, durationMs, pick}: PlannedFault,
    begin: (target: string) => void,
  ): Promise<string> {
    const free = this.stations.filter(({underFault}) => !underFault);
    const station = free[Math.floor(pick * free.length)];
    if (station === undefined) return '';
    station.underFault = true;
    begin(station.router);
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
      await this.replace(station);
    }
    station.underFault = false;
    return station.router;
  }

  /**
   * Pauses the holder of a lease past its term, has its successor give orders,
   * and lets an order of the former holder arrive late.
   */
  private async pauseHolder(
    {durationMs, pick}: PlannedFault,
    begin: (target: string) => void,
  ): Promise<string> {
    const holder = await readCurrentHolder(this.cluster);
    const station = this.stations.find(
      ({router, underFault}) => router === holder?.router && !underFault,
    );
    if (station === undefined || holder === undefined) return '';
    station.underFault = true;
    begin(station.router);
    station.instance.process?.pause();
    const {document} = this.cluster;
    const wanted = withCopiesChangedBy(document, pick < 0.5 ? 1 : -1);
    const published = this.publisher?.publish(1, wanted);
    await sleep(durationMs);
    await this.orderLate(holder.fencing, pick);
    station.instance.process?.resume();
    station.underFault = false;
    await published;
    return station.router;
  }

  private async orderLate(fencing: number, pick: number): Promise<void> {
    const {upstreams, document} = this.cluster;
    const engines = upstreams.filter(({kind}) => kind === 'runner');
    const engine = engines[Math.floor(pick * engines.length)];
    const pool = document.pools.find(({kind}) => kind === 'runner');
    const model = pool?.kind === 'runner' ? pool.models[0]?.name : undefined;
    if (engine === undefined || model === undefined) return;
    // An engine that is down just then gets no late order.
    await sendLateOrder(engine, fencing, model).catch(() => undefined);
  }

  private async replace(station: ProxiedRouter): Promise<void> {
    const askedAt = Date.now();
    const {process} = station.instance;
    const ended = process?.terminate() ?? Promise.resolve(null);
    const late = sleep(SHUTDOWN_LIMIT_MS).then(() => -1);
    const code = await Promise.race([ended, late]);
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

  private async strikeUpstream(
    planned: PlannedFault,
    begin: (target: string) => void,
  ): Promise<string> {
    const target = this.pickUpstream(planned);
    if (this.held.has(target)) return '';
    this.held.add(target);
    begin(target.name);
    if (planned.kind === FaultKind.PauseUpstream) {
      target.process.pause();
      await sleep(planned.durationMs);
      target.process.resume();
    } else {
      await this.killUpstream(target, planned.durationMs);
    }
    this.held.delete(target);
    return target.name;
  }

  /** Cuts an upstream off, reads its journal, and only then kills it. */
  private async killUpstream(
    target: ProxiedStandIn,
    downMs: number,
  ): Promise<void> {
    this.setAll(target, {cut: true});
    await sleep(SETTLE_MS);
    await this.observer.readJournal(target);
    await target.process.kill();
    this.setAll(target, {cut: false, refuse: true});
    target.proxy.reset();
    await sleep(downMs);
    await this.cluster.replaceUpstream(target);
    this.setAll(target, {refuse: false});
  }

  private setAll(target: ProxiedStandIn, faults: object): void {
    target.proxy.inject(faults);
    for (const {instance: router} of this.stations) {
      target.proxy.inject(faults, router.host);
    }
  }

  private async behaveLog(
    begin: (target: string) => void,
    durationMs: number,
    during: object,
    after: object,
  ): Promise<string> {
    const {log} = this.cluster;
    begin(log.name);
    await this.behaveFor(log, durationMs, during, after);
    return log.name;
  }

  private async behaveUpstream(
    planned: PlannedFault,
    begin: (target: string) => void,
    during: object,
    after: object,
  ): Promise<string> {
    const target = this.pickUpstream(planned);
    if (this.held.has(target)) return '';
    this.held.add(target);
    begin(target.name);
    await this.behaveFor(target, planned.durationMs, during, after);
    this.held.delete(target);
    return target.name;
  }

  /** Changes a behaviour, and changes it back when no other fault needs it. */
  private async behaveFor(
    target: ProxiedStandIn,
    durationMs: number,
    during: object,
    after: object,
  ): Promise<void> {
    const name = `${target.name} ${Object.keys(during).join()}`;
    this.active.set(name, (this.active.get(name) ?? 0) + 1);
    await this.cluster.setBehaviour(target, during);
    await sleep(durationMs);
    const left = (this.active.get(name) ?? 1) - 1;
    this.active.set(name, left);
    if (left === 0) await this.cluster.setBehaviour(target, after);
  }

  private async slowLink(
    planned: PlannedFault,
    begin: (target: string) => void,
  ): Promise<string> {
    const all = [...this.cluster.upstreams, this.cluster.log];
    const target = all[Math.floor(planned.pick * all.length)];
    if (target === undefined) return '';
    begin(target.name);
    this.setAll(target, {delayMs: SLOW_LINK_MS});
    await sleep(planned.durationMs);
    this.setAll(target, {delayMs: 0});
    return target.name;
  }

  /** Cuts the region of the last zone off from the others and from the log. */
  private async cutRegion(
    durationMs: number,
    begin: (target: string) => void,
  ): Promise<string> {
    const zone = this.cluster.document.zones.at(-1)?.name ?? '';
    begin(zone);
    this.setCut(zone, true);
    await sleep(durationMs);
    this.setCut(zone, false);
    return zone;
  }

  private setCut(zone: string, cut: boolean): void {
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
