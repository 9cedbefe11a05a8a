/**
 * Stand-in of the platform's entry for one zone: asks each machine every second
 * whether it is ready, takes one out after two misses, and sends new
 * connections to the others; to all if fewer than half are left.
 */
export class Balancer {
  constructor(gateways, record) {
    this.gateways = gateways;
    this.record = record;
    this.misses = new Map(gateways.map(gateway => [gateway, 0]));
    this.timer = setInterval(() => this.ask(), 1_000);
  }

  ask() {
    for (const gateway of this.gateways) {
      fetch(gateway.readinessUrl, {signal: AbortSignal.timeout(900)})
        .then(({status}) => status === 200)
        .catch(() => false)
        .then(isReady => {
          const misses = isReady ? 0 : this.misses.get(gateway) + 1;
          if (misses === 2) this.record.note(`${gateway.name} taken out`);
          this.misses.set(gateway, misses);
        });
    }
  }

  /** The machine that gets a new connection of the client `hash`. */
  pick(hash) {
    const inRotation = this.gateways.filter(
      gateway => this.misses.get(gateway) < 2,
    );
    const chosen =
      inRotation.length * 2 < this.gateways.length ? this.gateways : inRotation;
    return chosen[hash % chosen.length];
  }

  stop() {
    clearInterval(this.timer);
  }
}
