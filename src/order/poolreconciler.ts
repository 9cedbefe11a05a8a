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

/** Oldest reading that an order may rest on. */
const MAX_SNAPSHOT_AGE_MS = 2_000;
/** Backlog of the weight store above which nothing is added to it. */
const MAX_STORE_BACKLOG_MS = 30_000;
/** Time between two rounds while there is something to do, in ms. */
const MAX_BUSY_PAUSE_MS = 1_000;
/** Rounds without any change after which rounds become rarer. */
const IDLE_ROUNDS_BEFORE_BACKOFF = 12;
/** Factor on the time between rounds when nothing changes for long. */
const MAX_BACKOFF_FACTOR = 6;
/** How long the copies of an engine that does not answer still count. */
const UNREACHABLE_GRACE_MS = 60_000;

/** What one holder learnt of a pool during its tenure. */
class LeaseData {
  readonly demand = new DemandMeter();
  readonly targets = new CopyTargets();
  readonly changes = new ChangeDetector();
  /** The last state known of each engine, and when it was read. */
  private readonly lastStates = new Map<
    string,
    {state: EngineState; at: number}
  >();

  constructor(
    readonly fencing: number,
    private readonly since: number,
  ) {}

  /** The engines as far as they are known. */
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

  /** Whether no engine may hold copies that this holder knows nothing of. */
  isComplete({upstreams, readAt}: PoolSnapshot): boolean {
    if (readAt - this.since > UNREACHABLE_GRACE_MS) return true;
    return upstreams.every(({name}) => this.lastStates.has(name));
  }
}

/** What one round read from a pool. */
interface PoolSnapshot {
  upstreams: Upstream[];
  states: Map<string, EngineState>;
  /** Monotonic ms before the first engine was asked. */
  readAt: number;
}

/** The task that places models on the engines of one pool. */
export class PoolReconciler {
  private pool?: RunnerPool;
  private leaseData?: LeaseData;
  /** Rounds since anything changed, and ticks since the last round. */
  private idleRounds = 0;
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
      // An order of the holder before may still be on its way.
      if (timer.now() - lease.since < ORDER_TIMEOUT_MS) continue;
      if (signal.aborted) return;
      if (this.isDue(lease)) await this.reconcile(this.pool, lease);
    }
  }

  /** Whether to hold a round now: less often while nothing changes. */
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

  private leaseDataOf({fencing, since}: HeldLease): LeaseData {
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

  /** Tells of changes that this holder did not order; whether there are any. */
  private logUnexpectedChanges(
    {changes}: LeaseData,
    {states}: PoolSnapshot,
  ): boolean {
    const changesBefore = changes.changeCount;
    for (const [engine, state] of states) {
      for (const change of changes.compare(engine, state)) {
        this.parts.logger.warn(
          {pool: this.name, engine, change},
          'Engine changed without an order.',
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

  /** Sends one order if it is still permitted; false ends the round. */
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
    // Nothing may come between this check and the sending.
    if (!this.mayOrder(fencing, snapshot.readAt)) return false;
    const sent = client.order(upstream, order);
    changes.expect(engine, task);
    const result = await sent;
    if (result.isOk()) {
      logger.info({pool: this.name, engine, task}, 'Order given.');
      return true;
    }
    logger.warn(
      {pool: this.name, task, failure: result.error},
      'Order failed.',
    );
    return result.error.type !== 'staleFencing';
  }

  /** Whether an order begun now ends within the term and rests on news. */
  private mayOrder(fencing: number, readAt: number): boolean {
    const {leases, timer} = this.parts;
    if (this.stopping.signal.aborted) return false;
    const lease = leases.held(this.name);
    if (lease?.fencing !== fencing) return false;
    const now = timer.now();
    if (lease.until - now < ORDER_TIMEOUT_MS) return false;
    return now - readAt < MAX_SNAPSHOT_AGE_MS;
  }
}
