import {
  Availability,
  type FaultProxy,
  type KeyedStoreStandIn,
} from '../../stand-ins/index.js';
import type {Random} from '../random.js';
import {BOUNDS} from './deployment.js';
import type {GatewayProcess} from './gatewayprocess.js';
import {Nature, STORE, type SoakHistory} from './history.js';
import {Treatment} from './treatment.js';
import type {SoakUpstream} from './upstream.js';

/** Faults and planned work that a schedule consists of. */
export enum FaultKind {
  Terminate = 'terminate',
  Kill = 'kill',
  Pause = 'pause',
  Hangup = 'hangup',
  /** The way of a gateway to the store is harmed. */
  StoreLink = 'storeLink',
  /** The store treats one gateway badly. */
  StoreCaller = 'storeCaller',
  Ingress = 'ingress',
  /** The store treats all gateways badly. */
  StoreAway = 'storeAway',
  /** The store returns from an older copy. */
  StoreRestored = 'storeRestored',
  StoreTrimmed = 'storeTrimmed',
  UpstreamCrash = 'upstreamCrash',
  UpstreamLeave = 'upstreamLeave',
  UpstreamTreatment = 'upstreamTreatment',
  UpstreamLink = 'upstreamLink',
  /** A sound upstream sends nothing for a while, and goes on. */
  UpstreamSilence = 'upstreamSilence',
}

/** How a link is harmed. */
enum LinkHarm {
  Delay = 'delay',
  Refuse = 'refuse',
  Blackhole = 'blackhole',
  Reset = 'reset',
  SilentRequests = 'silentRequests',
  SilentAnswers = 'silentAnswers',
}

/** A fault at its time after the start of the faults, in ms. */
export interface ScheduledFault {
  atMs: number;
  kind: FaultKind;
  /** Chooses the gateway or upstream, from 0 to below 1. */
  target: number;
  /** Chooses the variant, from 0 to below 1. */
  variant: number;
  durationMs: number;
}

/** Weight of each kind in the schedule. */
const WEIGHTS: Record<FaultKind, number> = {
  [FaultKind.Terminate]: 3,
  [FaultKind.Kill]: 2,
  [FaultKind.Pause]: 2,
  [FaultKind.Hangup]: 2,
  [FaultKind.StoreLink]: 2,
  [FaultKind.StoreCaller]: 1,
  [FaultKind.Ingress]: 1,
  [FaultKind.StoreAway]: 1,
  [FaultKind.StoreRestored]: 1,
  [FaultKind.StoreTrimmed]: 1,
  [FaultKind.UpstreamCrash]: 3,
  [FaultKind.UpstreamLeave]: 4,
  [FaultKind.UpstreamTreatment]: 5,
  [FaultKind.UpstreamLink]: 3,
  // Scheduled apart, so that seeds keep their other faults.
  [FaultKind.UpstreamSilence]: 0,
};
const MEAN_INTERVAL_MS = 600;
const MEAN_SILENCE_INTERVAL_MS = 1_200;
const RESTART_MS = 300;
/** Time for which a leaving upstream still serves after the bound, in ms. */
const LINGER_MS = 1_500;
const UNAVAILABLE = Object.values(Availability).filter(
  value => value !== Availability.Serves,
);
const FAULTY = Object.values(Treatment).filter(
  value => value !== Treatment.Serves,
);

/** Faults of which the first gateway is spared, so that bounds hold for it. */
const SPARED_KINDS = new Set([
  FaultKind.Kill,
  FaultKind.Pause,
  FaultKind.StoreLink,
  FaultKind.StoreCaller,
  FaultKind.Ingress,
]);
const STORE_KINDS = new Set([
  FaultKind.StoreAway,
  FaultKind.StoreRestored,
  FaultKind.StoreTrimmed,
]);

/**
 * Returns the faults of a seed, in the order of time. The store as a whole has
 * faults under every second seed.
 */
export function scheduleFaults(
  random: Random,
  lengthMs: number,
): ScheduledFault[] {
  const harmsStore = random.next() < 0.5;
  const kinds = Object.values(FaultKind)
    .filter(kind => harmsStore || !STORE_KINDS.has(kind))
    .flatMap(kind => Array<FaultKind>(WEIGHTS[kind]).fill(kind));
  const faults: ScheduledFault[] = [];
  let atMs = random.between(0, 500);
  while (atMs < lengthMs) {
    faults.push({
      atMs,
      kind: random.pick(kinds),
      target: random.next(),
      variant: random.next(),
      durationMs: random.between(200, 2_500),
    });
    // Some faults come at the same moment.
    if (random.next() < 0.8) {
      atMs += -Math.log(1 - random.next()) * MEAN_INTERVAL_MS;
    }
  }
  return faults;
}

/** Returns when upstreams fall silent, in the order of time. */
export function scheduleSilences(
  random: Random,
  lengthMs: number,
): ScheduledFault[] {
  const silences: ScheduledFault[] = [];
  let atMs = 0;
  for (;;) {
    atMs += -Math.log(1 - random.next()) * MEAN_SILENCE_INTERVAL_MS;
    if (atMs >= lengthMs) return silences;
    silences.push({
      atMs,
      kind: FaultKind.UpstreamSilence,
      target: random.next(),
      variant: random.next(),
      durationMs: random.between(600, 2_500),
    });
  }
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function choose<Item>(items: readonly Item[], share: number): Item {
  return items[Math.floor(share * items.length)] as Item;
}

/** Injects faults from outside the gateways. */
export class Injector {
  /** Upstreams whose process is being replaced. */
  private readonly replaced = new Set<SoakUpstream>();

  constructor(
    private readonly gateways: readonly GatewayProcess[],
    private readonly upstreams: readonly SoakUpstream[],
    private readonly store: KeyedStoreStandIn,
    private readonly history: SoakHistory,
  ) {}

  /** Injects a fault and resolves when it has ended. */
  async inject(fault: ScheduledFault): Promise<void> {
    const {kind, target, variant, durationMs} = fault;
    const isSpared = SPARED_KINDS.has(kind) && this.gateways.length > 1;
    const gateway = choose(this.gateways.slice(isSpared ? 1 : 0), target);
    const upstream = choose(this.upstreams, target);
    switch (kind) {
      case FaultKind.Terminate:
        return this.terminate(gateway);
      case FaultKind.Kill:
        return this.during(gateway.name, kind, async () => {
          await gateway.kill();
          await this.restart(gateway);
        });
      case FaultKind.Pause:
        return this.during(gateway.name, kind, async () => {
          gateway.signal('SIGSTOP');
          await sleep(durationMs);
          gateway.signal('SIGCONT');
        });
      case FaultKind.Hangup: {
        const end = this.history.disrupt(gateway.name, kind, Nature.Reload);
        gateway.changeSettings(0.1 + variant / 5);
        await sleep(BOUNDS.configApplyMs);
        return end();
      }
      case FaultKind.StoreLink:
        return this.during(gateway.name, kind, () =>
          this.harm(gateway.storeLink, variant, durationMs),
        );
      case FaultKind.Ingress:
        return this.during(gateway.name, kind, () =>
          this.harm(gateway.ingress, variant, durationMs),
        );
      case FaultKind.StoreCaller:
        return this.during(gateway.name, kind, async () => {
          const {callers} = this.store.behaviour;
          const availability = choose(UNAVAILABLE, variant);
          this.store.change({
            callers: {...callers, [gateway.host]: availability},
          });
          await sleep(durationMs);
          const others = {...this.store.behaviour.callers};
          delete others[gateway.host];
          this.store.change({callers: others});
        });
      case FaultKind.StoreAway:
        return this.during(STORE, kind, async () => {
          this.store.change({availability: choose(UNAVAILABLE, variant)});
          await sleep(durationMs);
          this.store.change({availability: Availability.Serves});
        });
      case FaultKind.StoreRestored:
        return this.during(STORE, kind, async () => {
          this.store.log.restore(variant * 3_000);
          // Upstreams and the operator write again what was lost.
          await sleep(BOUNDS.heartbeatMs);
        });
      case FaultKind.StoreTrimmed:
        return this.during(STORE, kind, () => {
          for (const topic of ['keyed.op', 'keyed.servers', 'keyed.status']) {
            this.store.log.trim(topic, this.store.log.end(topic));
          }
        });
      case FaultKind.UpstreamCrash:
        return this.replace(upstream, kind, () => sleep(0), durationMs);
      case FaultKind.UpstreamLeave:
        return this.leave(upstream, variant, durationMs);
      case FaultKind.UpstreamTreatment:
        return this.during(upstream.name, kind, async () => {
          upstream.treatment = choose(FAULTY, variant);
          await sleep(durationMs);
          upstream.treatment = Treatment.Serves;
        });
      case FaultKind.UpstreamLink:
        return this.during(
          upstream.name,
          kind,
          () => this.harm(upstream.proxy, variant, durationMs),
          Nature.LinkFault,
        );
      case FaultKind.UpstreamSilence:
        return this.during(
          upstream.name,
          kind,
          () => upstream.fallSilent(durationMs),
          Nature.Silence,
        );
    }
  }

  private async during(
    target: string,
    what: string,
    action: () => void | Promise<void>,
    nature = Nature.Fault,
  ): Promise<void> {
    const end = this.history.disrupt(target, what, nature);
    await action();
    end();
  }

  private async terminate(gateway: GatewayProcess): Promise<void> {
    if (gateway.isStopping) return;
    const {name} = gateway;
    const end = this.history.disrupt(
      name,
      FaultKind.Terminate,
      Nature.PlannedStop,
    );
    await gateway.terminate();
    end();
    await this.restart(gateway);
  }

  private async restart(gateway: GatewayProcess): Promise<void> {
    await sleep(RESTART_MS);
    gateway.start();
  }

  private async harm(
    proxy: FaultProxy,
    variant: number,
    durationMs: number,
  ): Promise<void> {
    const harm = choose(Object.values(LinkHarm), variant);
    switch (harm) {
      case LinkHarm.Delay:
        proxy.inject({delayMs: 50 + variant * 400});
        await sleep(durationMs);
        return proxy.inject({delayMs: 0});
      case LinkHarm.Refuse:
        proxy.inject({refuse: true});
        proxy.reset();
        await sleep(durationMs);
        return proxy.inject({refuse: false});
      case LinkHarm.Blackhole:
        proxy.inject({blackholed: true});
        await sleep(durationMs);
        return proxy.inject({blackholed: false});
      case LinkHarm.Reset:
        return proxy.reset();
      case LinkHarm.SilentRequests:
        proxy.silence('requests');
        return;
      case LinkHarm.SilentAnswers:
        proxy.silence('answers');
        return;
    }
  }

  private async leave(
    upstream: SoakUpstream,
    variant: number,
    durationMs: number,
  ): Promise<void> {
    const serve = async () => {
      if (variant < 0.3) upstream.announcesLeaving = true;
      else upstream.leave(variant > 0.7);
      await sleep(BOUNDS.drainMs + LINGER_MS);
    };
    await this.replace(upstream, FaultKind.UpstreamLeave, serve, durationMs);
  }

  /** Ends the process of an upstream and starts another under its id. */
  private async replace(
    upstream: SoakUpstream,
    what: string,
    beforeEnd: () => Promise<unknown>,
    absentMs: number,
  ): Promise<void> {
    if (this.replaced.has(upstream)) return;
    this.replaced.add(upstream);
    await beforeEnd();
    await this.during(upstream.name, what, async () => {
      upstream.crash();
      await sleep(absentMs);
      await upstream.start();
    });
    this.replaced.delete(upstream);
  }
}
