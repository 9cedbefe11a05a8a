import type {ParsedRequest} from '../request/work.js';

const BUCKET_COUNT = 48;
const BUCKET_GROWTH = 1.3;
/** Sample count at which a distribution halves all its bucket counts. */
const HALVING_SAMPLE_COUNT = 400;
/** Samples a distribution needs to be preferred over a coarser one. */
const MIN_SAMPLE_COUNT = 12;
/** Distributions kept before the least recently used one is dropped. */
const MAX_DISTRIBUTIONS = 4_096;
/** Expected output tokens while no distribution has enough samples. */
const DEFAULT_OUTPUT_TOKENS = 96;
/**
 * Remaining tokens expected of an answer longer than every sample, as a factor
 * of the tokens it has so far.
 */
const TAIL_FACTOR = 0.5;

/**
 * A histogram of output lengths in tokens. Bucket bounds grow geometrically,
 * and all counts are halved from time to time so that recent answers weigh
 * more.
 */
export class LengthDistribution {
  private readonly bucketCounts = new Float32Array(BUCKET_COUNT);
  /** Samples added, halved together with the bucket counts. */
  sampleCount = 0;

  add(tokens: number): void {
    const bucket = bucketIndex(tokens);
    this.bucketCounts[bucket] = (this.bucketCounts[bucket] ?? 0) + 1;
    this.sampleCount++;
    if (this.sampleCount < HALVING_SAMPLE_COUNT) return;
    for (let index = 0; index < BUCKET_COUNT; index++) {
      this.bucketCounts[index] = (this.bucketCounts[index] ?? 0) / 2;
    }
    this.sampleCount /= 2;
  }

  /**
   * Returns the mean number of tokens that an answer still generates after its
   * first `generatedTokens`.
   */
  expectedRemaining(generatedTokens: number): number {
    let samples = 0;
    let totalRemaining = 0;
    for (let index = 0; index < BUCKET_COUNT; index++) {
      const midpoint = bucketMidpoint(index);
      const count = this.bucketCounts[index] ?? 0;
      if (count === 0 || midpoint <= generatedTokens) continue;
      samples += count;
      totalRemaining += count * (midpoint - generatedTokens);
    }
    return samples > 0
      ? totalRemaining / samples
      : Math.max(1, generatedTokens * TAIL_FACTOR);
  }
}

function bucketIndex(tokens: number): number {
  const bucket = Math.floor(Math.log(Math.max(1, tokens)) / LOG_BUCKET_GROWTH);
  return Math.min(BUCKET_COUNT - 1, bucket);
}

const LOG_BUCKET_GROWTH = Math.log(BUCKET_GROWTH);

function bucketMidpoint(bucket: number): number {
  return BUCKET_GROWTH ** (bucket + 0.5);
}

/**
 * Estimates output lengths from the answers seen so far, by service class,
 * model and workspace. An estimate comes from the most specific distribution
 * that has enough samples.
 */
export class LengthEstimator {
  private readonly distributions = new Map<string, LengthDistribution>();

  /** Records the output length of a complete answer, in tokens. */
  observe(work: ParsedRequest, tokens: number): void {
    for (const key of lookupKeys(work)) this.findOrCreate(key).add(tokens);
  }

  /**
   * Returns the tokens still expected of an answer that has `generatedTokens`,
   * capped by the request's token limit; 1 for a plain service call.
   */
  expectedRemaining(work: ParsedRequest, generatedTokens = 0): number {
    const estimate = this.estimateUncapped(work, generatedTokens);
    const {demand} = work;
    if (demand.type !== 'generation') return 1;
    if (demand.maxTokens === undefined) return estimate;
    return Math.max(0, Math.min(estimate, demand.maxTokens - generatedTokens));
  }

  /** Estimates the remaining tokens without the request's token limit. */
  private estimateUncapped(
    work: ParsedRequest,
    generatedTokens: number,
  ): number {
    for (const key of lookupKeys(work)) {
      const distribution = this.distributions.get(key);
      if (
        distribution !== undefined &&
        distribution.sampleCount >= MIN_SAMPLE_COUNT
      ) {
        return distribution.expectedRemaining(generatedTokens);
      }
    }
    return Math.max(
      DEFAULT_OUTPUT_TOKENS - generatedTokens,
      generatedTokens * TAIL_FACTOR,
      1,
    );
  }

  /** Returns the distribution of a key and marks it most recently used. */
  private findOrCreate(key: string): LengthDistribution {
    const distribution =
      this.distributions.get(key) ?? new LengthDistribution();
    this.distributions.delete(key);
    this.distributions.set(key, distribution);
    if (this.distributions.size > MAX_DISTRIBUTIONS) {
      const oldest = this.distributions.keys().next();
      if (oldest.done !== true) this.distributions.delete(oldest.value);
    }
    return distribution;
  }
}

/** Returns the distribution keys of a request, most specific first. */
function lookupKeys({
  serviceClass,
  workspace,
  demand,
}: ParsedRequest): string[] {
  const model = demand.type === 'generation' ? demand.model : demand.service;
  return [
    `${serviceClass.name}/${model}/${workspace.name}`,
    `${serviceClass.name}/${model}`,
    serviceClass.name,
  ];
}
