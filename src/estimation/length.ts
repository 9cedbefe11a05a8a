import type {ParsedRequest} from '../request/work.js';

const BUCKET_COUNT = 48;
const BUCKET_GROWTH = 1.3;
/** Weight of a distribution at which older samples are halved. */
const WEIGHT_LIMIT = 400;
/** Samples from which a distribution is trusted over a coarser one. */
const TRUSTED_WEIGHT = 12;
const DISTRIBUTIONS_LIMIT = 4_096;
/** Tokens expected of an answer before anything has been learnt. */
const PRIOR_TOKENS = 96;
/** Share of the tokens so far expected to follow beyond every sample. */
const TAIL_SHARE = 0.5;

/** A decaying histogram of output lengths with geometric buckets. */
export class LengthDistribution {
  private readonly counts = new Float32Array(BUCKET_COUNT);
  weight = 0;

  add(tokens: number): void {
    const bucket = bucketOf(tokens);
    this.counts[bucket] = (this.counts[bucket] ?? 0) + 1;
    this.weight++;
    if (this.weight < WEIGHT_LIMIT) return;
    for (let index = 0; index < BUCKET_COUNT; index++) {
      this.counts[index] = (this.counts[index] ?? 0) / 2;
    }
    this.weight /= 2;
  }

  /** Mean number of tokens still to come of an answer longer than `soFar`. */
  expectedRemaining(soFar: number): number {
    let weight = 0;
    let sum = 0;
    for (let index = 0; index < BUCKET_COUNT; index++) {
      const middle = middleOf(index);
      const count = this.counts[index] ?? 0;
      if (count === 0 || middle <= soFar) continue;
      weight += count;
      sum += count * (middle - soFar);
    }
    return weight > 0 ? sum / weight : Math.max(1, soFar * TAIL_SHARE);
  }
}

function bucketOf(tokens: number): number {
  const bucket = Math.floor(Math.log(Math.max(1, tokens)) / LOG_GROWTH);
  return Math.min(BUCKET_COUNT - 1, bucket);
}

const LOG_GROWTH = Math.log(BUCKET_GROWTH);

function middleOf(bucket: number): number {
  return BUCKET_GROWTH ** (bucket + 0.5);
}

/**
 * Learns output lengths by class, workspace and model. An estimate comes from
 * the finest distribution that has enough samples. The least recently used
 * distributions are dropped beyond a fixed number.
 */
export class LengthEstimator {
  private readonly distributions = new Map<string, LengthDistribution>();

  /** Learns the length of a whole answer. */
  observe(work: ParsedRequest, tokens: number): void {
    for (const key of keysOf(work)) this.touch(key).add(tokens);
  }

  /** Tokens still expected of an answer that has `soFar` tokens. */
  expectedRemaining(work: ParsedRequest, soFar = 0): number {
    const estimate = this.estimate(work, soFar);
    const {demand} = work;
    if (demand.type !== 'generation') return 1;
    if (demand.maxTokens === undefined) return estimate;
    return Math.max(0, Math.min(estimate, demand.maxTokens - soFar));
  }

  private estimate(work: ParsedRequest, soFar: number): number {
    for (const key of keysOf(work)) {
      const known = this.distributions.get(key);
      if (known !== undefined && known.weight >= TRUSTED_WEIGHT) {
        return known.expectedRemaining(soFar);
      }
    }
    return Math.max(PRIOR_TOKENS - soFar, soFar * TAIL_SHARE, 1);
  }

  private touch(key: string): LengthDistribution {
    const known = this.distributions.get(key) ?? new LengthDistribution();
    this.distributions.delete(key);
    this.distributions.set(key, known);
    if (this.distributions.size > DISTRIBUTIONS_LIMIT) {
      const oldest = this.distributions.keys().next();
      if (oldest.done !== true) this.distributions.delete(oldest.value);
    }
    return known;
  }
}

/** Keys of the distributions of a request, finest first. */
function keysOf({serviceClass, workspace, demand}: ParsedRequest): string[] {
  const model = demand.type === 'generation' ? demand.model : demand.service;
  return [
    `${serviceClass.name}/${model}/${workspace.name}`,
    `${serviceClass.name}/${model}`,
    serviceClass.name,
  ];
}
