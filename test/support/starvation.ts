import {readFileSync} from 'node:fs';
import {expect} from 'vitest';
import {sleep} from './silentupstream.js';

const RETRY_MS = 10;

/** Time for which this thread has waited for a processor since its start, in ms. */
function starvedMs(): number {
  // Linux alone tells; its second field is in ns.
  if (process.platform !== 'linux') return 0;
  const text = readFileSync('/proc/thread-self/schedstat', 'latin1');
  return Number(text.split(' ')[1]) / 1e6;
}

/** Measures time without that for which this thread waited for a processor. */
export class Stopwatch {
  private readonly startedAt = performance.now();
  private readonly starvedBefore = starvedMs();

  /** Time that has passed while this thread ran or had nothing to do, in ms. */
  get ownMs(): number {
    return this.elapsedMs - this.starvedMs;
  }

  /** Expects that less than `limitMs` of its own time has passed. */
  expectLess(limitMs: number): void {
    expect(this.ownMs, this.describe()).toBeLessThan(limitMs);
  }

  /** Calls a check until it passes, for at most `limitMs` of its own time. */
  async until(check: () => void, limitMs: number): Promise<void> {
    for (;;) {
      try {
        check();
        return;
      } catch (error) {
        if (this.ownMs >= limitMs) {
          if (error instanceof Error) error.message += `\n${this.describe()}`;
          throw error;
        }
        await sleep(RETRY_MS);
      }
    }
  }

  /** Tells how long it has run, and how much of that without a processor. */
  describe(): string {
    const [elapsed, starved] = [this.elapsedMs, this.starvedMs].map(Math.round);
    return `${elapsed} ms passed; for ${starved} of them no processor was free`;
  }

  private get elapsedMs(): number {
    return performance.now() - this.startedAt;
  }

  private get starvedMs(): number {
    return starvedMs() - this.starvedBefore;
  }
}
