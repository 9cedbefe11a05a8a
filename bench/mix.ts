import {seededRandom, type Random} from '../stand-ins/index.js';
import {Deployment} from './deployment.js';
import type {EngineProfile} from './engines.js';
import {capacityOf} from './engines.js';

/** Distribution of output lengths: log-normal with a cap. */
interface OutputLengths {
  median: number;
  sigma: number;
  cap: number;
}

/** Requests of one class to the model runners. */
interface GenerationLoad {
  class: string;
  model: string;
  stream: boolean;
  /** Share of the runners' capacity that the class asks for on average. */
  share: number;
  /** Number of shared prefixes, the first ones used most. */
  prefixes: number;
  prefixTokens: number;
  uniqueTokens: number;
  output: OutputLengths;
  /** Requests of one job at most; they arrive together and share a prefix. */
  clump: number;
  /** Whether the class takes a step of [[STEP_FACTOR]]. */
  steps: boolean;
  workspaces: string[];
}

/** Calls of one class to a plain service. */
interface CallLoad {
  class: string;
  path: string;
  /** Calls per second at a load of 1. */
  perSecond: number;
  keyed: boolean;
  workspaces: string[];
}

/** Everything that callers of a deployment send. */
interface Mix {
  generations: GenerationLoad[];
  calls: CallLoad[];
  /** Region of workspaces that are not in the first region. */
  regions: Record<string, string>;
}

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

const NILECOIL: Mix = {
  generations: [
    {
      class: 'recipe-advice',
      model: 'tube-7b:glue',
      stream: true,
      share: 0.2,
      prefixes: 6,
      prefixTokens: 1_200,
      uniqueTokens: 80,
      output: {median: 32, sigma: 0.8, cap: 400},
      clump: 1,
      steps: true,
      workspaces: ['winding-line', 'winding-line', 'glue-lab', 'upper-line'],
    },
    {
      class: 'operator-chat',
      model: 'tube-7b',
      stream: true,
      share: 0.4,
      prefixes: 16,
      prefixTokens: 600,
      uniqueTokens: 100,
      output: {median: 40, sigma: 0.9, cap: 600},
      clump: 1,
      steps: false,
      workspaces: [
        'winding-line',
        'winding-line',
        'winding-line',
        'purchasing',
        'maintenance',
        'warehouse',
        'upper-line',
        'upper-line',
        'training',
        'planning',
      ],
    },
    {
      class: 'spec-review',
      model: 'spec-13b',
      stream: false,
      share: 0.4,
      prefixes: 8,
      prefixTokens: 1_600,
      uniqueTokens: 300,
      output: {median: 80, sigma: 1, cap: 1_000},
      clump: 12,
      steps: false,
      workspaces: ['spec-office', 'spec-office', 'quality', 'planning'],
    },
  ],
  calls: [
    {
      class: 'lookup',
      path: '/services/stock/items',
      perSecond: 8,
      keyed: false,
      workspaces: ['winding-line', 'warehouse', 'purchasing', 'upper-line'],
    },
    {
      class: 'reel-order',
      path: '/services/stock/orders',
      perSecond: 1,
      keyed: true,
      workspaces: ['winding-line', 'purchasing', 'upper-line'],
    },
  ],
  regions: {'upper-line': 'upper', training: 'upper', quality: 'upper'},
};

const SHOPS = [
  'shop-laugavegur',
  'shop-laugavegur',
  'shop-kringlan',
  'shop-akureyri',
  'shop-egilsstadir',
  'shop-selfoss',
];

const HRAUNVIK: Mix = {
  generations: [
    {
      class: 'counter-pricing',
      model: 'card-8b:pricing',
      stream: true,
      share: 0.2,
      prefixes: 12,
      prefixTokens: 2_000,
      uniqueTokens: 120,
      output: {median: 32, sigma: 0.8, cap: 300},
      clump: 1,
      steps: true,
      workspaces: SHOPS,
    },
    {
      class: 'offer-draft',
      model: 'card-8b:pricing',
      stream: true,
      share: 0.2,
      prefixes: 12,
      prefixTokens: 2_000,
      uniqueTokens: 200,
      output: {median: 60, sigma: 0.8, cap: 600},
      clump: 1,
      steps: false,
      workspaces: ['shop-laugavegur', 'shop-kringlan', 'online-seller'],
    },
    {
      class: 'condition-chat',
      model: 'card-8b:condition',
      stream: true,
      share: 0.2,
      prefixes: 6,
      prefixTokens: 800,
      uniqueTokens: 100,
      output: {median: 40, sigma: 0.9, cap: 600},
      clump: 1,
      steps: false,
      workspaces: ['shop-laugavegur', 'shop-akureyri', 'grading'],
    },
    {
      class: 'bulk-pricing',
      model: 'card-8b:pricing',
      stream: false,
      share: 0.4,
      prefixes: 12,
      prefixTokens: 2_000,
      uniqueTokens: 400,
      output: {median: 80, sigma: 1, cap: 1_000},
      clump: 12,
      steps: false,
      workspaces: ['catalogue', 'catalogue', 'bookkeeping'],
    },
  ],
  calls: [
    {
      class: 'lookup',
      path: '/services/ledger/items',
      perSecond: 8,
      keyed: false,
      workspaces: ['shop-laugavegur', 'shop-akureyri', 'online-seller'],
    },
    {
      class: 'purchase',
      path: '/services/ledger/purchases',
      perSecond: 1,
      keyed: true,
      workspaces: ['shop-laugavegur', 'shop-akureyri', 'bookkeeping'],
    },
  ],
  regions: {
    'shop-akureyri': 'akureyri',
    'shop-egilsstadir': 'akureyri',
    grading: 'akureyri',
  },
};

/** The mix of a deployment; see docs/MIX.md. */
export function mixOf(deployment: Deployment): Mix {
  switch (deployment) {
    case Deployment.Nilecoil:
      return NILECOIL;
    case Deployment.Hraunvik:
      return HRAUNVIK;
  }
}

/** The open-loop arrivals of a run; a function of its arguments alone. */
export function arrivalsOf(
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
  return item.share * capacityOf(engines, {uniqueTokens, outputTokens});
}

function generationArrivals(
  mix: Mix,
  item: GenerationLoad,
  rate: number,
  seconds: number,
  random: Random,
): Arrival[] {
  const stepShare = STEP.to - STEP.from;
  const base = item.steps ? rate / (1 + (STEP_FACTOR - 1) * stepShare) : rate;
  const meanClump = (1 + item.clump) / 2;
  const rateAt = (share: number) =>
    item.steps && share >= STEP.from && share < STEP.to
      ? base * STEP_FACTOR
      : base;
  const arrivals: Arrival[] = [];
  for (const atMs of times(
    share => rateAt(share) / meanClump,
    seconds,
    random,
  )) {
    const count = 1 + Math.floor(random() * item.clump);
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
  mix: Mix,
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
  mix: Mix,
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

function regionOf({regions}: Mix, workspace: string) {
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
