import type {EngineOrder} from '../src/order/index.js';
import {FencingMode, type EngineBehaviour} from './enginebehaviour.js';
import type {Models} from './models.js';

/** What became of an order. */
export enum OrderVerdict {
  Executed = 'executed',
  /** The same id was executed before. */
  Repeated = 'repeated',
  /** The fencing number is older than the newest seen. */
  Stale = 'stale',
  /** No memory for one more model. */
  NoRoom = 'noRoom',
}

/** An order as the engine's journal keeps it. */
export interface JournaledOrder {
  order: EngineOrder;
  verdict: OrderVerdict;
  /** Wall-clock ms. */
  at: number;
}

/** Takes orders, checks their fencing numbers, and keeps a journal of them. */
export class OrderHandler {
  readonly journal: JournaledOrder[] = [];
  /** Highest fencing number seen. */
  maxFencing = -1;

  constructor(
    private readonly behaviour: EngineBehaviour,
    private readonly models: Models,
  ) {}

  /** Whether a sender's `Authorization` header permits orders. */
  authorizes(authorization: string | undefined): boolean {
    const {orderToken} = this.behaviour;
    return orderToken === '' || authorization === `Bearer ${orderToken}`;
  }

  /** Judges an order and executes it when it is permitted. */
  handle(order: EngineOrder): OrderVerdict {
    const verdict = this.verdictOf(order);
    if (this.behaviour.fencing !== FencingMode.None) {
      this.maxFencing = Math.max(this.maxFencing, order.fencing);
    }
    this.journal.push({order, verdict, at: Date.now()});
    if (verdict === OrderVerdict.Executed) this.models.execute(order);
    return verdict;
  }

  private verdictOf(order: EngineOrder): OrderVerdict {
    const enforced = this.behaviour.fencing === FencingMode.Enforced;
    if (enforced && order.fencing < this.maxFencing) return OrderVerdict.Stale;
    const repeated = this.journal.some(
      ({order: {id}, verdict}) =>
        id === order.id && verdict === OrderVerdict.Executed,
    );
    if (repeated) return OrderVerdict.Repeated;
    const grows =
      order.type === 'loadModel' && !this.models.isLoadedOrPending(order.model);
    return grows && this.models.allSlotsTaken
      ? OrderVerdict.NoRoom
      : OrderVerdict.Executed;
  }
}
