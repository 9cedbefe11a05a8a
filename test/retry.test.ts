import {describe, expect, it} from 'vitest';
import {RetryBudget} from '../src/request/index.js';
import {ManualTimer} from '../src/timer/index.js';

const createBudget = () => {
  const timer = new ManualTimer();
  return {timer, budget: new RetryBudget(timer, () => 0.5)};
};

const takeAll = (budget: RetryBudget, upstream: string) => {
  let taken = 0;
  while (taken < 1_000 && budget.tryTake('chat', upstream)) taken++;
  return taken;
};

describe('the retry budget', () => {
  it('limits retries to a share of first attempts', () => {
    const {budget} = createBudget();
    takeAll(budget, 'runner-1');
    for (let n = 0; n < 50; n++) budget.recordAttempt('chat', 'runner-1');
    expect(takeAll(budget, 'runner-1')).toBe(10);
  });

  it('limits the retries of a class across all upstreams', () => {
    const {budget} = createBudget();
    expect(takeAll(budget, 'runner-1')).toBe(20);
    expect(budget.tryTake('chat', 'runner-2')).toBe(false);
    expect(budget.tryTake('batch', 'runner-2')).toBe(true);
  });

  it('limits the retries of an upstream across all classes', () => {
    const {budget} = createBudget();
    takeAll(budget, 'runner-1');
    expect(budget.tryTake('batch', 'runner-1')).toBe(false);
  });

  it('refills over time without traffic', async () => {
    const {timer, budget} = createBudget();
    takeAll(budget, 'runner-1');
    await timer.advance(3_500);
    expect(takeAll(budget, 'runner-1')).toBe(3);
  });

  it('delays retries by exponential back-off with jitter', () => {
    const {budget} = createBudget();
    const delays = [1, 2, 3, 9].map(retry => budget.delayMs(retry));
    expect(delays).toEqual([25, 50, 100, 500]);
  });
});
