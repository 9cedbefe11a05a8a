import {Deployment} from './deployment.js';

/** Log-normal distribution of output lengths in tokens, with a maximum. */
export interface OutputLengths {
  median: number;
  sigma: number;
  cap: number;
}

/** Requests of one class to the model runners. */
export interface GenerationLoad {
  class: string;
  model: string;
  stream: boolean;
  /** Mean load of the class, as a share of the runners' capacity. */
  share: number;
  /** Number of shared prompt prefixes; earlier ones are used more often. */
  prefixes: number;
  prefixTokens: number;
  uniqueTokens: number;
  output: OutputLengths;
  /**
   * Largest number of requests in one job. They arrive together and share a
   * prefix.
   */
  maxJobRequests: number;
  /** Whether its load rises by `STEP_FACTOR` for a part of the run. */
  stepsUp: boolean;
  workspaces: string[];
}

/** Calls of one class to a service that is no model runner. */
export interface CallLoad {
  class: string;
  path: string;
  /** Calls per second at a load of 1. */
  perSecond: number;
  /** Whether calls have an idempotency key. */
  keyed: boolean;
  workspaces: string[];
}

/** All requests that the callers of a deployment send. */
export interface WorkloadMix {
  generations: GenerationLoad[];
  calls: CallLoad[];
  /** Regions of the workspaces outside the first region, by workspace. */
  regions: Record<string, string>;
}

const NILECOIL: WorkloadMix = {
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
      maxJobRequests: 1,
      stepsUp: true,
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
      maxJobRequests: 1,
      stepsUp: false,
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
      maxJobRequests: 12,
      stepsUp: false,
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

const HRAUNVIK: WorkloadMix = {
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
      maxJobRequests: 1,
      stepsUp: true,
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
      maxJobRequests: 1,
      stepsUp: false,
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
      maxJobRequests: 1,
      stepsUp: false,
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
      maxJobRequests: 12,
      stepsUp: false,
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

/** The workload mix of a deployment; see docs/MIX.md. */
export function mixOf(deployment: Deployment): WorkloadMix {
  switch (deployment) {
    case Deployment.Nilecoil:
      return NILECOIL;
    case Deployment.Hraunvik:
      return HRAUNVIK;
  }
}
