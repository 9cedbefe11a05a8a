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

/** One request at its time. */
export interface Arrival {
  /** Time since the start, in ms. */
  atMs: number;
  class: string;
  workspace: string;
  region?: string;
  path: string;
  headers: Record<string, string>;
  /** Whether it is sent with an idempotency key. */
  keyed: boolean;
  body: unknown;
}

/** Factor by which the load of one class steps up. */
export const STEP_FACTOR = 5;
/** Start and end of the step, as shares of the measured time. */
export const STEP = {from: 0.4, to: 0.6};
/** Time before the measured time, in which caches fill, in seconds. */
export const WARM_UP_SECONDS = 5;

const CHARACTERS_PER_TOKEN = 4;

/** The open-loop arrivals of a run; a function of its arguments alone. */
export function generateArrivals(
  deployment: Deployment,
  engines: readonly EngineProfile[],
  load: number,
  seconds: number,
  seed: number,
): Arrival[] {
  const mix = mixOf(deployment);
  const generations = mix.generations.flatMap((item, index) =>
    generationArrivals(
      mix,
      item,
      rateOf(item, engines) * load,
      seconds,
      seededRandom(seed * 1_000 + index),
    ),
  );
  const calls = mix.calls.flatMap((item, index) =>
    callArrivals(
      mix,
      item,
      item.perSecond * load,
      seconds,
      seededRandom(seed * 1_000 + 500 + index),
    ),
  );
  return [...generations, ...calls].sort((a, b) => a.atMs - b.atMs);
}

/** Mean requests per second by which a class uses its share at load 1. */
function rateOf(
  item: GenerationLoad,
  engines: readonly EngineProfile[],
): number {
  const outputTokens = meanLength(item.output);
  const {uniqueTokens} = item;
  return (
    item.capacityShare * requestCapacity(engines, {uniqueTokens, outputTokens})
  );
}

function generationArrivals(
  mix: WorkloadMix,
  item: GenerationLoad,
  rate: number,
  seconds: number,
  random: Random,
): Arrival[] {
  const stepShare = STEP.to - STEP.from;
  const base = item.stepsUp ? rate / (1 + (STEP_FACTOR - 1) * stepShare) : rate;
  const meanClump = (1 + item.maxJobRequests) / 2;
  const rateAt = (share: number) =>
    item.stepsUp && share >= STEP.from && share < STEP.to
      ? base * STEP_FACTOR
      : base;
  const arrivals: Arrival[] = [];
  for (const atMs of times(
    share => rateAt(share) / meanClump,
    seconds,
    random,
  )) {
    const count = 1 + Math.floor(random() * item.maxJobRequests);
    const workspace = pick(item.workspaces, random);
    const prefix = Math.floor(item.prefixes * random() ** 2);
    for (let index = 0; index < count; index++) {
      arrivals.push(generation(mix, item, {workspace, prefix, atMs}, random));
    }
  }
  return arrivals;
}

/** Requests that arrive together, for one workspace and with one prefix. */
interface Job {
  workspace: string;
  prefix: number;
  atMs: number;
}

function generation(
  mix: WorkloadMix,
  item: GenerationLoad,
  {workspace, prefix, atMs}: Job,
  random: Random,
): Arrival {
  const system = textOf(
    `${item.model}/${item.prefixTokens}/${prefix}`,
    item.prefixTokens,
  );
  const user = textOf(String(random()), item.uniqueTokens);
  return {
    atMs,
    class: item.class,
    workspace,
    ...regionOf(mix, workspace),
    path: '/v1/chat/completions',
    headers: {'gypsumcourse-class': item.class},
    keyed: false,
    body: {
      model: item.model,
      stream: item.stream,
      metadata: {output_tokens: String(lengthOf(item.output, random))},
      messages: [
        {role: 'system', content: system},
        {role: 'user', content: user},
      ],
    },
  };
}

function callArrivals(
  mix: WorkloadMix,
  item: CallLoad,
  rate: number,
  seconds: number,
  random: Random,
): Arrival[] {
  return times(() => rate, seconds, random).map((atMs, index) => {
    const workspace = pick(item.workspaces, random);
    return {
      atMs,
      class: item.class,
      workspace,
      ...regionOf(mix, workspace),
      path: item.path,
      headers: {'gypsumcourse-class': item.class},
      keyed: item.keyed,
      body: {item: index},
    };
  });
}

/** Times of a Poisson process whose rate depends on the measured time. */
function times(
  rateAt: (share: number) => number,
  seconds: number,
  random: Random,
): number[] {
  const total = WARM_UP_SECONDS + seconds;
  const found: number[] = [];
  let at = 0;
  for (;;) {
    const rate = rateAt((at - WARM_UP_SECONDS) / seconds);
    at += -Math.log(1 - random()) / rate;
    if (at >= total) return found;
    found.push(at * 1_000);
  }
}

function regionOf({regions}: WorkloadMix, workspace: string) {
  const region = regions[workspace];
  return region === undefined ? {} : {region};
}

function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random() * items.length)] as Item;
}

function lengthOf({median, sigma, cap}: OutputLengths, random: Random): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const length = median * Math.exp(sigma * normal);
  return Math.max(2, Math.min(cap, Math.round(length)));
}

const MEAN_SAMPLES = 20_000;

function meanLength(lengths: OutputLengths): number {
  const random = seededRandom(1);
  let sum = 0;
  for (let index = 0; index < MEAN_SAMPLES; index++) {
    sum += lengthOf(lengths, random);
  }
  return sum / MEAN_SAMPLES;
}

/** A text of `tokens` tokens that differs between names from its start on. */
function textOf(name: string, tokens: number): string {
  const unit = `${name} `;
  const length = tokens * CHARACTERS_PER_TOKEN;
  return unit.repeat(Math.ceil(length / unit.length)).slice(0, length);
}
