import type {EngineOrder} from '../src/order/index.js';
import {FencingMode, type EngineBehaviour} from './enginebehaviour.js';
import type {Models} from './models.js';

/** What an engine did with an order. */
export enum OrderVerdict {
  Executed = 'executed',
  /** Not executed, since an order of the same id was executed before. */
  Repeated = 'repeated',
  /** Refused, since its fencing number is below the highest seen. */
  Stale = 'stale',
  /** Refused, since all model slots are taken. */
  NoRoom = 'noRoom',
}

/** An order in the engine's journal. */
export interface JournaledOrder {
  order: EngineOrder;
  verdict: OrderVerdict;
  /** Wall-clock ms. */
  at: number;
}

/** Checks and executes orders, and keeps a journal of them. */
export class OrderHandler {
  readonly journal: JournaledOrder[] = [];
  /** Highest fencing number seen. */
  maxFencing = -1;

  constructor(
    private readonly behaviour: EngineBehaviour,
    private readonly models: Models,
  ) {}

  /** Whether an `Authorization` header carries the order token. */
  authorizes(authorization: string | undefined): boolean {
    const {orderToken} = this.behaviour;
    return orderToken === '' || authorization === `Bearer ${orderToken}`;
  }

  /** Decides whether an order is executed, executes it and journals it. */
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
    const needsModelSlot =
      order.type === 'loadModel' && !this.models.isLoadedOrPending(order.model);
    return needsModelSlot && this.models.allSlotsTaken
      ? OrderVerdict.NoRoom
      : OrderVerdict.Executed;
  }
}
