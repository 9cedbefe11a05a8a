import {
  Acceptance,
  Availability,
  type FaultProxy,
  type KeyedStoreStandIn,
} from '../../stand-ins/index.js';
import {FaultKind, type ScheduledFault} from './faults.js';
import {BOUNDS} from './deployment.js';
import {writeForeignEntry} from './foreignentries.js';
import {RESTART_MS, type GatewayProcess} from './gatewayprocess.js';
import {Nature, STORE, type SoakHistory} from './history.js';
import {Treatment} from './treatment.js';
import {Succession, type SoakUpstream} from './upstream.js';

/** How a link is harmed. */
enum LinkHarm {
  Delay = 'delay',
  Refuse = 'refuse',
  Blackhole = 'blackhole',
  Reset = 'reset',
  SilentRequests = 'silentRequests',
  SilentAnswers = 'silentAnswers',
}

const MAX_BLACKOUT_MS = 1_300;
/** Time in which an upstream begins an answer for a fault to cut, in ms. */
const ANSWERING_MS = 1_000;
/** Time for which a leaving upstream still serves after the bound, in ms. */
const LINGER_MS = 1_500;
const UNFORWARDED = [Acceptance.Ended, Acceptance.Held];
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
    /** Share of the upstreams that send bytes without end at a time. */
    private readonly endlessShare = 0,
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
        return this.during(gateway.name, kind, () =>
          this.pause(gateway, durationMs),
        );
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
      case FaultKind.UpstreamExit:
        return this.replace(
          upstream,
          kind,
          () => sleep(0),
          durationMs,
          () => upstream.exit(),
        );
      case FaultKind.UpstreamRestart: {
        const succession = choose(Object.values(Succession), variant);
        return this.endInOrder(upstream, `${kind} ${succession}`, () =>
          upstream.restart(succession),
        );
      }
      case FaultKind.UpstreamHangup: {
        const isHalf = variant < 0.5;
        const what = `${kind} of ${isHalf ? 'half' : 'all'}`;
        return this.endInOrder(upstream, what, () => upstream.hangUp(isHalf));
      }
      case FaultKind.UpstreamAbsence: {
        const acceptance = choose(UNFORWARDED, variant);
        return this.replace(
          upstream,
          `${kind} ${acceptance}`,
          () => upstream.untilAnswering(ANSWERING_MS),
          durationMs,
          () => upstream.vanish(acceptance),
        );
      }
      case FaultKind.Blackout:
        await Promise.all(
          this.gateways.map(one =>
            this.during(one.name, kind, async () => {
              await one.kill();
              await sleep(RESTART_MS + variant * MAX_BLACKOUT_MS);
              one.start();
            }),
          ),
        );
        return;
      case FaultKind.Standstill:
        await Promise.all(
          this.gateways.map(one =>
            this.during(one.name, kind, () => this.pause(one, durationMs)),
          ),
        );
        return;
      case FaultKind.StoreReadOnly:
        return this.during(STORE, kind, async () => {
          this.store.change({isReadOnly: true});
          await sleep(durationMs);
          this.store.change({isReadOnly: false});
        });
      case FaultKind.EndlessAnswers:
        await Promise.all(
          this.upstreams
            .filter((_, index) => this.isChosen(index, target))
            .map(one =>
              this.during(one.name, kind, async () => {
                one.endlessAnswers++;
                await sleep(durationMs);
                one.endlessAnswers--;
              }),
            ),
        );
        return;
      case FaultKind.ForeignEntry:
        return writeForeignEntry(this.store.log, upstream.service, variant);
    }
  }

  /** Whether an upstream is of the share that sends bytes without end. */
  private isChosen(index: number, target: number): boolean {
    const {length} = this.upstreams;
    return (index / length + target) % 1 < this.endlessShare;
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

  private async pause(gateway: GatewayProcess, ms: number): Promise<void> {
    gateway.signal('SIGSTOP');
    await sleep(ms);
    gateway.signal('SIGCONT');
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

  /** Ends connections of an upstream while it answers. */
  private async endInOrder(
    upstream: SoakUpstream,
    what: string,
    action: () => void,
  ): Promise<void> {
    if (this.replaced.has(upstream)) return;
    this.replaced.add(upstream);
    await upstream.untilAnswering(ANSWERING_MS);
    await this.during(upstream.name, what, action);
    this.replaced.delete(upstream);
  }

  /** Ends the process of an upstream and starts another under its id. */
  private async replace(
    upstream: SoakUpstream,
    what: string,
    beforeEnd: () => Promise<unknown>,
    absentMs: number,
    end: () => void | Promise<void> = () => upstream.crash(),
  ): Promise<void> {
    if (this.replaced.has(upstream)) return;
    this.replaced.add(upstream);
    await beforeEnd();
    await this.during(upstream.name, what, async () => {
      await end();
      await sleep(absentMs);
      await upstream.start();
    });
    this.replaced.delete(upstream);
  }
}
