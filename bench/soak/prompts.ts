import {Random} from '../random.js';
import type {SoakHistory} from './history.js';

/** Seeds that stand for failures from before prompts were sent. */
const SEEDS_WITHOUT_PROMPTS = new Set([1, 4, 107, 113, 129]);
const MOST_BAD_PARTS = 3;
/** Time from the start until bad requests may come, in ms. */
const FIRST_BAD_MS = 3_000;
const FIRST_PART = {id: 'system', tokens: 400};
const MIDDLE_PARTS = 4;
const MIDDLE_TOKENS = 200;
const BAD_TOKENS = 100;
const LAST_TOKENS = 50;
const SEED_FACTOR = 0x85ebca6b;

/** The prompt of a request for a generation. */
export interface Prompt {
  /** The part that crashes upstreams, if it has one. */
  badPart?: string;
  headers: Record<string, string>;
}

/** The number of parts that crash upstreams under a seed. */
export function crashingPartsOf(seed: number): number {
  if (SEEDS_WITHOUT_PROMPTS.has(seed)) return 0;
  return Math.floor(generatorOf(seed).between(0, MOST_BAD_PARTS + 1));
}

/** Generator apart from the others, so that seeds keep their other faults. */
function generatorOf(seed: number): Random {
  return new Random(Math.imul(seed, SEED_FACTOR));
}

/** Makes prompts that share parts, some of them with a bad one. */
export class Prompts {
  readonly badParts: readonly string[];
  private readonly random: Random;
  private readonly badPerSecond: number;
  private nextBadAt = Infinity;
  private made = 0;

  constructor(
    seed: number,
    count: number,
    private readonly history: SoakHistory,
  ) {
    this.random = generatorOf(seed);
    // Skips the number that decides how many parts are bad.
    this.random.next();
    this.badPerSecond = this.random.between(0.2, 2);
    this.badParts = Array.from({length: count}, (_, n) => `bad-${seed}-${n}`);
  }

  start(): void {
    if (this.badParts.length === 0) return;
    this.nextBadAt = this.history.now() + FIRST_BAD_MS;
  }

  /** Makes no more prompts with bad parts. */
  stop(): void {
    this.nextBadAt = Infinity;
  }

  /** Returns a new prompt; undefined if no part is bad in this soak. */
  next(): Prompt | undefined {
    const {random, history, badParts} = this;
    if (badParts.length === 0) return undefined;
    const middle = Math.floor(random.between(0, MIDDLE_PARTS));
    const now = history.now();
    const isBad = now >= this.nextBadAt;
    if (isBad) {
      const gapMs = (-Math.log(1 - random.next()) * 1_000) / this.badPerSecond;
      this.nextBadAt = now + gapMs;
    }
    const badPart = isBad ? random.pick(badParts) : undefined;
    const parts = [
      FIRST_PART,
      {id: `middle-${middle}`, tokens: MIDDLE_TOKENS},
      ...(badPart === undefined ? [] : [{id: badPart, tokens: BAD_TOKENS}]),
      {id: `own-${++this.made}`, tokens: LAST_TOKENS},
    ];
    return {
      headers: promptHeaders(parts),
      ...(badPart === undefined ? {} : {badPart}),
    };
  }
}

function promptHeaders(
  parts: ReadonlyArray<{id: string; tokens: number}>,
): Record<string, string> {
  const total = parts.reduce((sum, {tokens}) => sum + tokens, 0);
  return {
    'x-model': 'm',
    'x-token-counts': `${total},${LAST_TOKENS}`,
    'x-prompt-prefix': parts.map(({id, tokens}) => `${id}:${tokens}`).join(','),
  };
}
