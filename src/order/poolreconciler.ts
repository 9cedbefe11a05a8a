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
const PLAN_AGE_LIMIT_MS = 2_000;
/** Backlog of the weight store above which nothing is added to it. */
const STORE_BACKLOG_LIMIT_MS = 30_000;
/** Time between two rounds while there is something to do, in ms. */
const BUSY_ROUND_MS = 1_000;
/** Rounds without any change after which rounds become rarer. */
const BUSY_ROUNDS = 12;
/** Factor on the time between rounds when nothing changes for long. */
const IDLE_FACTOR_LIMIT = 6;
/** How long the copies of an engine that does not answer still count. */
const UNREACHABLE_GRACE_MS = 60_000;

/** What one holder learnt of a pool during its tenure. */
class Tenure {
  readonly demand = new DemandMeter();
  readonly targets = new CopyTargets();
  readonly watch = new ChangeDetector();
  /** The last state known of each engine, and when it was read. */
  private readonly known = new Map<string, {state: EngineState; at: number}>();

  constructor(
    readonly fencing: number,
    private readonly since: number,
  ) {}

  /** The engines as far as they are known. */
  viewsOf({upstreams, states, readAt}: Reading): EngineView[] {
    for (const [name, state] of states) {
      this.known.set(name, {state, at: readAt});
    }
    return upstreams.flatMap(upstream => {
      const {name, zone} = upstream;
      const known = this.known.get(name);
      if (known === undefined) return [];
      if (readAt - known.at > UNREACHABLE_GRACE_MS) return [];
      const reachable = states.has(name);
      const {state} = known;
      return [{name, zone, state, takesWork: takesWork(upstream), reachable}];
    });
  }

  /** Whether no engine may hold copies that this holder knows nothing of. */
  isComplete({upstreams, readAt}: Reading): boolean {
    if (readAt - this.since > UNREACHABLE_GRACE_MS) return true;
    return upstreams.every(({name}) => this.known.has(name));
  }
}

/** What one round read from a pool. */
interface Reading {
  upstreams: Upstream[];
  states: Map<string, EngineState>;
  /** Monotonic ms before the first engine was asked. */
  readAt: number;
}

/** The task that places models on the engines of one pool. */
export class PoolReconciler {
  private pool?: RunnerPool;
  private tenure?: Tenure;
  /** Rounds since anything changed, and ticks since the last round. */
  private idleRounds = 0;
  private skipped = 0;
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
      const pauseMs = busy ? Math.min(roundMs, BUSY_ROUND_MS) : roundMs;
      await timer.sleep(pauseMs, signal);
      const lease = this.parts.leases.held(this.name);
      if (lease === undefined || this.pool === undefined) continue;
      // An order of the holder before may still be on its way.
      if (timer.now() - lease.heldSince < ORDER_TIMEOUT_MS) continue;
      if (signal.aborted) return;
      if (this.isDue(lease)) await this.round(this.pool, lease);
    }
  }

  /** Whether to hold a round now: less often while nothing changes. */
  private isDue({fencing}: HeldLease): boolean {
    if (this.tenure?.fencing !== fencing) this.idleRounds = 0;
    const idle = Math.max(1, this.idleRounds - BUSY_ROUNDS);
    const due = ++this.skipped >= Math.min(IDLE_FACTOR_LIMIT, idle);
    if (due) this.skipped = 0;
    return due;
  }

  private async round(pool: RunnerPool, lease: HeldLease): Promise<void> {
    const tenure = this.tenureOf(lease);
    const reading = await this.read();
    const changed = this.report(tenure, reading);
    tenure.demand.measure(reading.states, reading.readAt);
    const engines = tenure.viewsOf(reading);
    const orders = planOrders({
      models: this.wanted(pool, tenure, engines, reading.readAt),
      engines,
      storeReady: await this.storeReady(),
      complete: tenure.isComplete(reading),
      inUse: model => tenure.demand.inUse(model, reading.readAt),
    });
    const loading = engines.some(({state}) => state.pending.length > 0);
    const idle = !changed && !loading && orders.length === 0;
    this.idleRounds = idle ? this.idleRounds + 1 : 0;
    for (const order of orders) {
      if (!(await this.send(order, lease.fencing, reading, tenure))) return;
    }
  }

  private tenureOf({fencing, heldSince: since}: HeldLease): Tenure {
    if (this.tenure?.fencing !== fencing) {
      this.tenure = new Tenure(fencing, since);
    }
    return this.tenure;
  }

  private async read(): Promise<Reading> {
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
  private report({watch}: Tenure, {states}: Reading): boolean {
    const before = watch.changeCount;
    for (const [engine, state] of states) {
      for (const change of watch.compare(engine, state)) {
        this.parts.logger.warn(
          {pool: this.name, engine, change},
          'Engine changed without an order.',
        );
      }
    }
    return watch.changeCount > before;
  }

  private wanted(
    {models}: RunnerPool,
    {demand, targets}: Tenure,
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
    const room = usable.reduce((sum, {state}) => sum + state.modelSlots, 0);
    const copies = targets.update(needs, room, usable.length, now);
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
    return status.isOk() && status.value.backlogMs < STORE_BACKLOG_LIMIT_MS;
  }

  /** Sends one order if it is still permitted; false ends the round. */
  private async send(
    {engine, task}: PlannedOrder,
    fencing: number,
    reading: Reading,
    {watch}: Tenure,
  ): Promise<boolean> {
    const {client, logger, instance} = this.parts;
    const upstream = reading.upstreams.find(({name}) => name === engine);
    const seen = reading.states.get(engine)?.fencing ?? -1;
    if (upstream === undefined || seen > fencing) return false;
    const order = {...task, id: this.newId(), fencing, sender: instance};
    // Nothing may come between this check and the sending.
    if (!this.permitted(fencing, reading.readAt)) return false;
    const sent = client.order(upstream, order);
    watch.expect(engine, task);
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
  private permitted(fencing: number, readAt: number): boolean {
    const {leases, timer} = this.parts;
    if (this.stopping.signal.aborted) return false;
    const lease = leases.held(this.name);
    if (lease?.fencing !== fencing) return false;
    const now = timer.now();
    if (lease.validUntil - now < ORDER_TIMEOUT_MS) return false;
    return now - readAt < PLAN_AGE_LIMIT_MS;
  }
}
