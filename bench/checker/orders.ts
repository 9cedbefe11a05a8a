import {OrderVerdict} from '../../stand-ins/index.js';
import type {History, OrderJournal} from '../history.js';
import {LATE_ORDER_SENDER} from '../leases.js';
import {Guarantee, type Violation} from './violation.js';

/**
 * Checks that no engine executed an order of a former lease holder after an
 * order of its successor. Only engines that ignore fencing numbers may execute
 * an order that was delayed on the network.
 */
export function checkOrders({orders}: History): Violation[] {
  return orders.flatMap(journal => findStaleOrders(journal));
}

function findStaleOrders({
  upstream,
  enforced,
  orders,
}: OrderJournal): Violation[] {
  let newest: OrderJournal['orders'][number] | undefined;
  const violations: Violation[] = [];
  for (const entry of orders) {
    if (entry.verdict !== OrderVerdict.Executed) continue;
    const {fencing, sender} = entry.order;
    const highest = newest?.order.fencing ?? -1;
    const excused = sender === LATE_ORDER_SENDER && !enforced;
    if (fencing < highest && !excused) {
      const message = `${upstream} executed an order of a former lease holder`;
      const trace = [newest, entry];
      violations.push({guarantee: Guarantee.Orders, message, trace});
    }
    if (fencing > highest) newest = entry;
  }
  return violations;
}
