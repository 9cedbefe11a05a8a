import type {SimulatedFleet, SimulatedInstance} from './simulatedfleet.js';

const SAMPLE_PERIOD_MS = 500;
/**
 * Time for which an instance may count too few peers, in ms. Loads count for
 * 1.5 s, and those of a new instance are heard once it has announced itself.
 */
const MAX_LOW_MS = 3_000;
/** Most instances that all talk to each other directly. */
const MAX_DIRECT_INSTANCES = 13;
/** Share of a larger fleet that an instance counts by sums of the zones. */
const RELAYED_SHARE = 0.5;

/** Watches that connected instances keep hearing each other. */
export class PeerWatch {
  readonly faults: string[] = [];
  /** Since when each instance is up and connected, in ms. */
  private readonly connectedSince = new Map<SimulatedInstance, number>();
  /** Since when an instance counts too few others, in ms. */
  private readonly lowSince = new Map<SimulatedInstance, number>();

  constructor(private readonly fleet: SimulatedFleet) {
    fleet.base.every(SAMPLE_PERIOD_MS, () => this.sample());
  }

  private sample(): void {
    const {base, instances} = this.fleet;
    const now = base.now();
    for (const instance of instances) {
      if (!instance.isConnected) this.connectedSince.delete(instance);
      else if (!this.connectedSince.has(instance)) {
        this.connectedSince.set(instance, now);
      }
    }
    const settled = [...this.connectedSince].flatMap(([instance, since]) =>
      now - since > MAX_LOW_MS ? [instance] : [],
    );
    const others = settled.length - 1;
    const expected =
      instances.length <= MAX_DIRECT_INSTANCES
        ? others
        : RELAYED_SHARE * others;
    for (const instance of instances) {
      const {fleet, timer, place} = instance;
      const isLow =
        settled.includes(instance) &&
        fleet.gossip.peerLoads.countActive(timer.now()) < expected;
      if (!isLow) {
        this.lowSince.delete(instance);
        continue;
      }
      const since = this.lowSince.get(instance) ?? now;
      this.lowSince.set(instance, since);
      if (now - since === MAX_LOW_MS) {
        this.faults.push(`${place.name} misses peers since ${since} ms`);
      }
    }
  }
}
