import {property, array, integer, assert, uint8Array} from 'fast-check';
import {describe, expect, test} from 'vitest';
import {ByteBudget} from '../src/forward/bytebudget.js';
import {ByteCollector} from '../src/forward/bytes.js';

const KIB = 1024;

/** A budget of 100 KiB, of which large bodies may use 80, and its clock. */
function openBudget() {
  const clock = {ms: 0};
  const budget = new ByteBudget(100 * KIB, {now: () => clock.ms});
  const evicted: string[] = [];
  const open = (name: string) => budget.open(() => evicted.push(name));
  return {budget, clock, evicted, open};
}

describe('the memory for bodies', () => {
  test('is taken from the body that held most for longest', () => {
    const {budget, clock, evicted, open} = openBudget();
    open('old and small').take(10 * KIB);
    clock.ms = 900;
    open('large').take(50 * KIB);
    clock.ms = 1_000;
    expect(open('new').take(30 * KIB)).toBe(true);
    expect({evicted, held: budget.heldBytes}).toEqual({
      evicted: ['old and small'],
      held: 80 * KIB,
    });
  });

  test('is refused to the body that itself held most for longest', () => {
    const {evicted, open} = openBudget();
    const large = open('large');
    large.take(70 * KIB);
    open('other').take(10 * KIB);
    expect({taken: large.take(KIB), evicted}).toEqual({
      taken: false,
      evicted: [],
    });
  });

  test('is not taken from complete bodies, and has a part for small ones', () => {
    const {evicted, open} = openBudget();
    const complete = open('complete');
    complete.take(80 * KIB);
    complete.settle();
    const results = {
      large: open('large').take(17 * KIB),
      small: open('small').take(16 * KIB),
      tooMany: open('too many').take(16 * KIB),
    };
    expect({...results, evicted}).toEqual({
      large: false,
      small: true,
      tooMany: true,
      evicted: ['small'],
    });
  });

  test('is given to a single body, whatever its size', () => {
    const {budget, open} = openBudget();
    const single = open('single');
    expect(single.take(500 * KIB)).toBe(true);
    single.release();
    expect(budget.heldBytes).toBe(0);
  });
});

test('a body is collected whatever its chunks are', () => {
  assert(
    property(
      array(uint8Array({maxLength: 300}), {maxLength: 40}),
      integer({min: 1, max: 400}),
      (chunks, repeats) => {
        const collector = new ByteCollector();
        const whole = Buffer.concat(
          Array.from({length: repeats}, () => chunks).flat(),
        );
        let allocated = 0;
        for (let turn = 0; turn < repeats; turn++) {
          for (const chunk of chunks) {
            allocated += collector.growthFor(chunk.length);
            collector.push(Buffer.from(chunk));
          }
        }
        expect(allocated).toBeGreaterThanOrEqual(whole.length);
        expect(collector.take().equals(whole)).toBe(true);
      },
    ),
    {numRuns: 50, seed: 67},
  );
});
