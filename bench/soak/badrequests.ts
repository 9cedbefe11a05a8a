import {Random} from '../random.js';
import {RequestKind} from './deployment.js';
import type {SentRequest, SoakHistory} from './history.js';

/** Time from the start until bad requests may come, in ms. */
const FIRST_MS = 3_000;
const SEED_FACTOR = 0x165667b1;

/** Requests to plain services that crash upstreams, and come again and again. */
export class BadRequests {
  private readonly names: readonly string[];
  private readonly random: Random;
  private readonly perSecond: number;
  private nextAt = Infinity;

  constructor(
    seed: number,
    count: number,
    private readonly history: SoakHistory,
  ) {
    this.random = new Random(Math.imul(seed, SEED_FACTOR));
    this.perSecond = this.random.between(0.3, 2);
    this.names = Array.from({length: count}, (_, n) => `bad-${seed}-${n}`);
  }

  start(): void {
    if (this.names.length > 0) this.nextAt = this.history.now() + FIRST_MS;
  }

  stop(): void {
    this.nextAt = Infinity;
  }

  /** What makes a request a bad one, if one is due. */
  next(): Partial<SentRequest> {
    const now = this.history.now();
    if (now < this.nextAt) return {};
    const gapMs = (-Math.log(1 - this.random.next()) * 1_000) / this.perSecond;
    this.nextAt = now + gapMs;
    const badRequest = this.random.pick(this.names);
    // The workspaces of a soak have another name in each version, so that a
    // request with a key would be that of another caller each time.
    const kind = RequestKind.Public;
    return {kind, badRequest, path: `/${kind}/0?${badRequest}`, body: ''};
  }
}
