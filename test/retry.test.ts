import {describe, expect, it} from 'vitest';
import {RetryBudget} from '../src/request/index.js';
import {ManualTimer} from '../src/timer/index.js';

const open = () => {
  const timer = new ManualTimer();
  return {timer, budget: new RetryBudget(timer, () => 0.5)};
};

const takeAll = (budget: RetryBudget, upstream: string) => {
  let taken = 0;
  while (taken < 1_000 && budget.tryTake('chat', upstream)) taken++;
  return taken;
};

describe('the retry budget', () => {
  it('bounds retries to a share of first attempts', () => {
    const {budget} = open();
    takeAll(budget, 'runner-1');
    for (let n = 0; n < 50; n++) budget.recordAttempt('chat', 'runner-1');
    expect(takeAll(budget, 'runner-1')).toBe(10);
  });

  it('is spent by the class on all upstreams together', () => {
    const {budget} = open();
    expect(takeAll(budget, 'runner-1')).toBe(20);
    expect(budget.tryTake('chat', 'runner-2')).toBe(false);
    expect(budget.tryTake('batch', 'runner-2')).toBe(true);
  });

  it('is spent by an upstream over all classes', () => {
    const {budget} = open();
    takeAll(budget, 'runner-1');
    expect(budget.tryTake('batch', 'runner-1')).toBe(false);
  });

  it('comes back with time, whatever the traffic', async () => {
    const {timer, budget} = open();
    takeAll(budget, 'runner-1');
    await timer.advance(3_500);
    expect(takeAll(budget, 'runner-1')).toBe(3);
  });

  it('spaces retries by back-off with jitter, up to a bound', () => {
    const {budget} = open();
    const delays = [1, 2, 3, 9].map(retry => budget.delayMs(retry));
    expect(delays).toEqual([25, 50, 100, 500]);
  });
});
