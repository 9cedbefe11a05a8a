import {seededRandom, type Random} from '../stand-ins/index.js';
import type {Deployment} from './deployment.js';
import {requestCapacity, type EngineProfile} from './engines.js';
import {
  mixOf,
  type CallLoad,
  type GenerationLoad,
  type WorkloadMix,
  type OutputLengths,
} from './mix.js';

/** One request and the time at which it is sent. */
export interface Arrival {
  /** Time since the start of the run, in ms. */
  atMs: number;
  class: string;
  workspace: string;
  /** Region of the caller; absent for the first region. */
  region?: string;
  path: string;
  headers: Record<string, string>;
  /** Whether the request carries an idempotency key. */
  keyed: boolean;
  body: unknown;
}

/** Factor by which the rate of a class with a load step rises during it. */
export const STEP_FACTOR = 5;
/** Start and end of the load step, as fractions of the measured time. */
export const STEP_SPAN = {from: 0.4, to: 0.6};
/** Time before the measurement in which caches fill, in seconds. */
export const WARM_UP_SECONDS = 5;

const CHARACTERS_PER_TOKEN = 4;

/**
 * Generates the open-loop arrivals of a run in order of time. The same
 * arguments always give the same arrivals. `load` is a fraction of the
 * capacity of the engines, and `seconds` the measured time.
 */
export function generateArrivals(
  deployment: Deployment,
  engines: readonly EngineProfile[],
  load: number,
  seconds: number,
  seed: number,
): Arrival[] {
  const mix = mixOf(deployment);
  const generations = mix.generations.flatMap((item, index) =>
    generationRequestArrivals(
      mix,
      item,
      meanRequestRate(item, engines) * load,
      seconds,
      seededRandom(seed * 1_000 + index),
    ),
  );
  const calls = mix.calls.flatMap((item, index) =>
    serviceCallArrivals(
      mix,
      item,
      item.perSecond * load,
      seconds,
      seededRandom(seed * 1_000 + 500 + index),
    ),
  );
  return [...generations, ...calls].sort((a, b) => a.atMs - b.atMs);
}

/**
 * Returns the mean requests per second with which a class uses its share of
 * the capacity of the engines at a load of 1.
 */
function meanRequestRate(
  item: GenerationLoad,
  engines: readonly EngineProfile[],
): number {
  const outputTokens = meanOutputLength(item.output);
  const {uniqueTokens} = item;
  return item.share * requestCapacity(engines, {uniqueTokens, outputTokens});
}

/**
 * Generates the requests of one class to the model runners, in bursts of 1 to
 * `clump` requests. A load step leaves the mean rate over the measured time
 * unchanged.
 */
function generationRequestArrivals(
  mix: WorkloadMix,
  item: GenerationLoad,
  rate: number,
  seconds: number,
  random: Random,
): Arrival[] {
  const stepShare = STEP_SPAN.to - STEP_SPAN.from;
  const baseRate = item.stepsUp
    ? rate / (1 + (STEP_FACTOR - 1) * stepShare)
    : rate;
  const meanBurstSize = (1 + item.maxJobRequests) / 2;
  const rateAt = (share: number) =>
    item.stepsUp && share >= STEP_SPAN.from && share < STEP_SPAN.to
      ? baseRate * STEP_FACTOR
      : baseRate;
  const arrivals: Arrival[] = [];
  for (const atMs of poissonTimes(
    share => rateAt(share) / meanBurstSize,
    seconds,
    random,
  )) {
    const requestCount = 1 + Math.floor(random() * item.maxJobRequests);
    const workspace = pickRandom(item.workspaces, random);
    const prefix = Math.floor(item.prefixes * random() ** 2);
    for (let index = 0; index < requestCount; index++) {
      arrivals.push(generation(mix, item, {workspace, prefix, atMs}, random));
    }
  }
  return arrivals;
}

/** Requests that arrive together, share a workspace and a prompt prefix. */
interface Burst {
  workspace: string;
  prefix: number;
  atMs: number;
}

function generation(
  mix: WorkloadMix,
  item: GenerationLoad,
  {workspace, prefix, atMs}: Burst,
  random: Random,
): Arrival {
  const system = textOfTokens(
    `${item.model}/${item.prefixTokens}/${prefix}`,
    item.prefixTokens,
  );
  const user = textOfTokens(String(random()), item.uniqueTokens);
  return {
    atMs,
    class: item.class,
    workspace,
    ...regionProperty(mix, workspace),
    path: '/v1/chat/completions',
    headers: {'gypsumcourse-class': item.class},
    keyed: false,
    body: {
      model: item.model,
      stream: item.stream,
      metadata: {
        output_tokens: String(sampleOutputLength(item.output, random)),
      },
      messages: [
        {role: 'system', content: system},
        {role: 'user', content: user},
      ],
    },
  };
}

/** Generates the calls of one class to a service, at a constant mean rate. */
function serviceCallArrivals(
  mix: WorkloadMix,
  item: CallLoad,
  rate: number,
  seconds: number,
  random: Random,
): Arrival[] {
  return poissonTimes(() => rate, seconds, random).map((atMs, index) => {
    const workspace = pickRandom(item.workspaces, random);
    return {
      atMs,
      class: item.class,
      workspace,
      ...regionProperty(mix, workspace),
      path: item.path,
      headers: {'gypsumcourse-class': item.class},
      keyed: item.keyed,
      body: {item: index},
    };
  });
}

/**
 * Draws the event times of a Poisson process, in ms. `rateAt` returns the rate
 * per second at a fraction of the measured time, below 0 during the warm-up.
 */
function poissonTimes(
  rateAt: (share: number) => number,
  seconds: number,
  random: Random,
): number[] {
  const totalSeconds = WARM_UP_SECONDS + seconds;
  const timesMs: number[] = [];
  let atSeconds = 0;
  for (;;) {
    const rate = rateAt((atSeconds - WARM_UP_SECONDS) / seconds);
    atSeconds += -Math.log(1 - random()) / rate;
    if (atSeconds >= totalSeconds) return timesMs;
    timesMs.push(atSeconds * 1_000);
  }
}

function regionProperty({regions}: WorkloadMix, workspace: string) {
  const region = regions[workspace];
  return region === undefined ? {} : {region};
}

function pickRandom<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random() * items.length)] as Item;
}

/** Draws an output length in tokens from a log-normal distribution. */
function sampleOutputLength(
  {median, sigma, cap}: OutputLengths,
  random: Random,
): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const length = median * Math.exp(sigma * normal);
  return Math.max(2, Math.min(cap, Math.round(length)));
}

const MEAN_LENGTH_SAMPLES = 20_000;

/** Estimates the mean of the capped output lengths by sampling. */
function meanOutputLength(lengths: OutputLengths): number {
  const random = seededRandom(1);
  let sum = 0;
  for (let index = 0; index < MEAN_LENGTH_SAMPLES; index++) {
    sum += sampleOutputLength(lengths, random);
  }
  return sum / MEAN_LENGTH_SAMPLES;
}

/**
 * Returns a text of `tokens` tokens that repeats `name`. Texts of different
 * names differ within the first name, so they share no longer prefix.
 */
function textOfTokens(name: string, tokens: number): string {
  const repeatedUnit = `${name} `;
  const length = tokens * CHARACTERS_PER_TOKEN;
  return repeatedUnit
    .repeat(Math.ceil(length / repeatedUnit.length))
    .slice(0, length);
}
