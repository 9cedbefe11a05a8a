import type {HeldLease} from '../lease/index.js';
import {takesWork, type Upstream} from '../upstream/index.js';
import {ORDER_TIMEOUT_MS} from './engineclient.js';
import {DemandMeter} from './demandmeter.js';
import type {OrderParts, RunnerPool} from './manager.js';
import {
  planOrders,
  type EngineView,
  type PlannedOrder,
  type WantedModel,
} from './plan.js';
import {CopyTargets} from './copytargets.js';
import type {EngineState} from './protocol.js';
import {ChangeDetector} from './changedetector.js';

/** Age of a snapshot from which no order based on it is sent. */
const MAX_SNAPSHOT_AGE_MS = 2_000;
/** Backlog of the weight store from which no load is ordered. */
const MAX_STORE_BACKLOG_MS = 30_000;
/** Longest pause between rounds while the pool changes. */
const MAX_BUSY_PAUSE_MS = 1_000;
/** Rounds without a change after which rounds become less frequent. */
const IDLE_ROUNDS_BEFORE_BACKOFF = 12;
/** Largest factor by which pauses grow in a pool without changes. */
const MAX_BACKOFF_FACTOR = 6;
/** Time for which the copies of an unreachable engine still count. */
const UNREACHABLE_GRACE_MS = 60_000;

/** Data about a pool, collected while this instance holds its lease. */
class LeaseData {
  readonly demand = new DemandMeter();
  readonly targets = new CopyTargets();
  readonly changes = new ChangeDetector();
  /** Last known state of each engine, and when it was read. */
  private readonly lastStates = new Map<
    string,
    {state: EngineState; at: number}
  >();

  constructor(
    readonly fencing: number,
    private readonly since: number,
  ) {}

  /** Returns the engines whose state is known. */
  engineViews({upstreams, states, readAt}: PoolSnapshot): EngineView[] {
    for (const [name, state] of states) {
      this.lastStates.set(name, {state, at: readAt});
    }
    return upstreams.flatMap(upstream => {
      const {name, zone} = upstream;
      const last = this.lastStates.get(name);
      if (last === undefined) return [];
      if (readAt - last.at > UNREACHABLE_GRACE_MS) return [];
      const reachable = states.has(name);
      const {state} = last;
      return [{name, zone, state, takesWork: takesWork(upstream), reachable}];
    });
  }

  /** Whether no engine can hold copies that are unknown to this holder. */
  isComplete({upstreams, readAt}: PoolSnapshot): boolean {
    if (readAt - this.since > UNREACHABLE_GRACE_MS) return true;
    return upstreams.every(({name}) => this.lastStates.has(name));
  }
}

/** Engine states of a pool, as read in one round. */
interface PoolSnapshot {
  upstreams: Upstream[];
  states: Map<string, EngineState>;
  /** Monotonic ms, taken before the first read. */
  readAt: number;
}

/** Loads and unloads models on the engines of one pool to match its targets. */
export class PoolReconciler {
  private pool?: RunnerPool;
  private leaseData?: LeaseData;
  /** Rounds since the last change. */
  private idleRounds = 0;
  /** Pauses since the last round. */
  private skippedPauses = 0;
  private readonly stopping = new AbortController();
  private task?: Promise<void>;

  constructor(
    private readonly name: string,
    private readonly parts: OrderParts,
    private readonly newId: () => string,
  ) {}

  apply(pool: RunnerPool): void {
    this.pool = pool;
    this.idleRounds = 0;
  }

  start(): void {
    this.task ??= this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    const {timer, roundMs} = this.parts;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const busy = this.idleRounds === 0;
      const pauseMs = busy ? Math.min(roundMs, MAX_BUSY_PAUSE_MS) : roundMs;
      await timer.sleep(pauseMs, signal);
      const lease = this.parts.leases.held(this.name);
      if (lease === undefined || this.pool === undefined) continue;
      // An order of the previous holder may still be under way.
      if (timer.now() - lease.heldSince < ORDER_TIMEOUT_MS) continue;
      if (signal.aborted) return;
      if (this.isDue(lease)) await this.reconcile(this.pool, lease);
    }
  }

  /** Whether a round is due; rounds are less frequent in an idle pool. */
  private isDue({fencing}: HeldLease): boolean {
    if (this.leaseData?.fencing !== fencing) this.idleRounds = 0;
    const idle = Math.max(1, this.idleRounds - IDLE_ROUNDS_BEFORE_BACKOFF);
    const due = ++this.skippedPauses >= Math.min(MAX_BACKOFF_FACTOR, idle);
    if (due) this.skippedPauses = 0;
    return due;
  }

  private async reconcile(pool: RunnerPool, lease: HeldLease): Promise<void> {
    const leaseData = this.leaseDataOf(lease);
    const snapshot = await this.readSnapshot();
    const changed = this.logUnexpectedChanges(leaseData, snapshot);
    leaseData.demand.measure(snapshot.states, snapshot.readAt);
    const engines = leaseData.engineViews(snapshot);
    const orders = planOrders({
      models: this.wantedModels(pool, leaseData, engines, snapshot.readAt),
      engines,
      storeReady: await this.storeReady(),
      complete: leaseData.isComplete(snapshot),
      inUse: model => leaseData.demand.inUse(model, snapshot.readAt),
    });
    const loading = engines.some(({state}) => state.pending.length > 0);
    const idle = !changed && !loading && orders.length === 0;
    this.idleRounds = idle ? this.idleRounds + 1 : 0;
    for (const order of orders) {
      if (!(await this.send(order, lease.fencing, snapshot, leaseData))) return;
    }
  }

  private leaseDataOf({fencing, heldSince: since}: HeldLease): LeaseData {
    if (this.leaseData?.fencing !== fencing) {
      this.leaseData = new LeaseData(fencing, since);
    }
    return this.leaseData;
  }

  private async readSnapshot(): Promise<PoolSnapshot> {
    const {directory, client, timer} = this.parts;
    const readAt = timer.now();
    const upstreams = directory
      .all()
      .filter(({pool}) => pool.name === this.name);
    const states = new Map<string, EngineState>();
    await Promise.all(
      upstreams.map(async upstream => {
        const state = await client.state(upstream);
        if (state.isOk()) states.set(upstream.name, state.value);
      }),
    );
    return {upstreams, states, readAt};
  }

  /** Logs unexpected changes of engines; returns whether there are any. */
  private logUnexpectedChanges(
    {changes}: LeaseData,
    {states}: PoolSnapshot,
  ): boolean {
    const changesBefore = changes.changeCount;
    for (const [engine, state] of states) {
      for (const change of changes.compare(engine, state)) {
        this.parts.logger.warn(
          {pool: this.name, engine, change},
          'Engine changed without an order from this instance.',
        );
      }
    }
    return changes.changeCount > changesBefore;
  }

  private wantedModels(
    {models}: RunnerPool,
    {demand, targets}: LeaseData,
    engines: EngineView[],
    now: number,
  ): WantedModel[] {
    const usable = engines.filter(engine => engine.takesWork);
    const total = models.reduce((sum, {name}) => sum + demand.rateOf(name), 0);
    const needs = models.map(({name, copies}) => ({
      model: name,
      minimum: Math.min(copies ?? 1, usable.length),
      actual: usable.filter(({state}) =>
        state.loaded.some(({model}) => model === name),
      ).length,
      share: total === 0 ? 0 : demand.rateOf(name) / total,
    }));
    const slots = usable.reduce((sum, {state}) => sum + state.modelSlots, 0);
    const copies = targets.update(needs, slots, usable.length, now);
    return models.map(({name, version, adapters}, index) => ({
      name,
      version,
      adapters: [...adapters].sort(
        (a, b) => demand.rateOfAdapter(name, b) - demand.rateOfAdapter(name, a),
      ),
      minimum: needs[index]?.minimum ?? 1,
      target: copies.get(name) ?? 1,
    }));
  }

  private async storeReady(): Promise<boolean> {
    if (this.parts.weights === undefined) return true;
    const status = await this.parts.weights.status();
    return status.isOk() && status.value.backlogMs < MAX_STORE_BACKLOG_MS;
  }

  /** Sends an order if it is still allowed; returns false to end the round. */
  private async send(
    {engine, task}: PlannedOrder,
    fencing: number,
    snapshot: PoolSnapshot,
    {changes}: LeaseData,
  ): Promise<boolean> {
    const {client, logger, instance} = this.parts;
    const upstream = snapshot.upstreams.find(({name}) => name === engine);
    const highestFencing = snapshot.states.get(engine)?.fencing ?? -1;
    if (upstream === undefined || highestFencing > fencing) return false;
    const order = {...task, id: this.newId(), fencing, sender: instance};
    // There must be no await between this check and sending the order.
    if (!this.mayOrder(fencing, snapshot.readAt)) return false;
    const sent = client.order(upstream, order);
    changes.expect(engine, task);
    const result = await sent;
    if (result.isOk()) {
      logger.info({pool: this.name, engine, task}, 'Engine accepted order.');
      return true;
    }
    logger.warn(
      {pool: this.name, task, failure: result.error},
      'Order to engine failed.',
    );
    return result.error.type !== 'staleFencing';
  }

  /**
   * Whether an order sent now ends before the lease does, and is based on a
   * recent snapshot.
   */
  private mayOrder(fencing: number, readAt: number): boolean {
    const {leases, timer} = this.parts;
    if (this.stopping.signal.aborted) return false;
    const lease = leases.held(this.name);
    if (lease?.fencing !== fencing) return false;
    const now = timer.now();
    if (lease.validUntil - now < ORDER_TIMEOUT_MS) return false;
    return now - readAt < MAX_SNAPSHOT_AGE_MS;
  }
}
