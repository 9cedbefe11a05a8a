import {describe, expect, it} from 'vitest';
import {checkAll} from '../bench/checker/index.js';
import {emptyHistory, type OrderJournal} from '../bench/history.js';
import {LATE_ORDER_SENDER} from '../bench/leases.js';
import {OrderVerdict} from '../stand-ins/index.js';

type Step = [fencing: number, sender: string, verdict?: OrderVerdict];

const journal = (enforced: boolean, steps: Step[]): OrderJournal => ({
  upstream: 'runner-1',
  enforced,
  orders: steps.map(([fencing, sender, verdict], at) => ({
    order: {type: 'unloadModel', model: 'a', id: `${at}`, fencing, sender},
    verdict: verdict ?? OrderVerdict.Executed,
    at,
  })),
});

const found = (enforced: boolean, ...steps: Step[]) =>
  checkAll({...emptyHistory(), orders: [journal(enforced, steps)]}).length;

describe('the checker of orders', () => {
  it('permits what a holder and its successor order in turn', () => {
    expect(found(true, [3, 'r1'], [3, 'r1'], [7, 'r2'])).toBe(0);
    const refused: Step = [3, 'r1', OrderVerdict.Stale];
    expect(found(true, [3, 'r1'], [7, 'r2'], refused)).toBe(0);
  });

  it('finds an order of a former holder that was executed', () => {
    expect(found(true, [7, 'r2'], [3, 'r1'])).toBe(1);
    expect(found(false, [7, 'r2'], [3, 'r1'])).toBe(1);
  });

  it('permits one held up on its way only where numbers are ignored', () => {
    expect(found(true, [7, 'r2'], [3, LATE_ORDER_SENDER])).toBe(1);
    expect(found(false, [7, 'r2'], [3, LATE_ORDER_SENDER])).toBe(0);
  });
});
