import {describe, expect, it} from 'vitest';
import {checkAll} from '../bench/checker/index.js';
import {emptyHistory, type OrderJournal} from '../bench/history.js';
import {LATE_ORDER_SENDER} from '../bench/leases.js';
import {OrderVerdict} from '../stand-ins/index.js';

type OrderStep = [fencing: number, sender: string, verdict?: OrderVerdict];

const makeJournal = (enforced: boolean, steps: OrderStep[]): OrderJournal => ({
  upstream: 'runner-1',
  enforced,
  orders: steps.map(([fencing, sender, verdict], at) => ({
    order: {type: 'unloadModel', model: 'a', id: `${at}`, fencing, sender},
    verdict: verdict ?? OrderVerdict.Executed,
    at,
  })),
});

const countViolations = (enforced: boolean, ...steps: OrderStep[]) =>
  checkAll({...emptyHistory(), orders: [makeJournal(enforced, steps)]}).length;

describe('order checker', () => {
  it('accepts orders of a lease holder followed by those of its successor', () => {
    expect(countViolations(true, [3, 'r1'], [3, 'r1'], [7, 'r2'])).toBe(0);
    const refused: OrderStep = [3, 'r1', OrderVerdict.Stale];
    expect(countViolations(true, [3, 'r1'], [7, 'r2'], refused)).toBe(0);
  });

  it('reports an executed order of a former lease holder', () => {
    expect(countViolations(true, [7, 'r2'], [3, 'r1'])).toBe(1);
    expect(countViolations(false, [7, 'r2'], [3, 'r1'])).toBe(1);
  });

  it('accepts a delayed order only if the engine ignores fencing numbers', () => {
    expect(countViolations(true, [7, 'r2'], [3, LATE_ORDER_SENDER])).toBe(1);
    expect(countViolations(false, [7, 'r2'], [3, LATE_ORDER_SENDER])).toBe(0);
  });
});
