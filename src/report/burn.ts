import type {AcceptedConfiguration, ServiceClass} from '../config/index.js';
import {
  Accumulator,
  ClassLatency,
  describeTargets,
  HISTORY_MS,
  LatencyKind,
  sumCells,
  BURN_WINDOWS_MS,
  type Cell,
  type EncodedLatency,
  type LinkTraffic,
  type MinuteCounts,
  type Percentiles,
  type WastedTokens,
} from '../telemetry/index.js';
import {alertsOf, type BurnAlert, type WindowBurn} from './alert.js';
import type {Contribution, Gap, Source} from './contribution.js';

const GOODPUT_WINDOW_MS = 3_600_000;

/** Service-level figures of one class, tier or workspace. */
export interface BurnRow {
  /** Name of the class or workspace, or number of the tier. */
  name: string;
  tier?: number;
  /** Description of the targets; only for a class. */
  target?: string;
  /** Required share of requests that meet every target, 0 to 1; class only. */
  objective?: number;
  /** Requests that ended in the longest window. */
  total: number;
  /** Requests of `total` that met every target. */
  attained: number;
  /** Requests of `total` that were answered completely. */
  completed: number;
  /** `attained` divided by `total`; absent if there were no requests. */
  attainment?: number;
  /**
   * Share of the longest window's error budget that is left; negative once it
   * is overspent.
   */
  budgetLeft?: number;
  burns: WindowBurn[];
  alerts: BurnAlert[];
  /** Goodput over the last hour: only requests that met every target count. */
  goodRequestsPerSecond: number;
  goodTokensPerSecond: number;
}

/** Latencies of one class over the whole fleet, from merged histograms. */
export interface LatencyRow {
  class: string;
  firstToken: Percentiles;
  betweenTokens: Percentiles;
  completion: Percentiles;
  /** The merged histograms in encoded form. */
  encoded: EncodedLatency;
}

/** Incarnation of an instance whose figures a report includes. */
export interface ReportSource {
  instance: string;
  incarnation: number;
  source: Source;
  /** Start and end of the covered time, wall-clock ms. */
  from: number;
  to: number;
}

/** Live instance that did not answer, or answered with malformed data. */
export interface SilentInstance {
  instance: string;
  /** Type of the call's failure. */
  failure: string;
}

/** Result of reading the summaries from the log. */
export type LogState =
  {type: 'read'; summaries: number} | {type: 'unavailable'; failure: string};

/** Service-level report of the whole fleet. */
export interface BurnReport {
  /** Instance that computed the report. */
  askedInstance: string;
  /** Time at which the report was computed, wall-clock ms. */
  at: number;
  /** Version of the configuration in force; 0 if there is none. */
  configurationVersion: number;
  /** Window lengths, in the order of each row's `burns`. */
  windowsMs: number[];
  classes: BurnRow[];
  tiers: BurnRow[];
  workspaces: BurnRow[];
  latencies: LatencyRow[];
  waste: WastedTokens[];
  links: LinkTraffic[];
  /** Counts by class and minute, used for plots. */
  minutes: MinuteCounts[];
  sources: ReportSource[];
  silent: SilentInstance[];
  gaps: Gap[];
  log: LogState;
}

/** Inputs of [[burnReport]]. */
export interface BurnInput {
  askedInstance: string;
  at: number;
  configuration: AcceptedConfiguration | undefined;
  contributions: Contribution[];
  silent: SilentInstance[];
  gaps: Gap[];
  log: LogState;
}

/** Counts of each window, in the order of [[BURN_WINDOWS_MS]]. */
type WindowCells = Cell[][];

/** Computes the error-budget burn report from the data of all instances. */
export function burnReport(input: BurnInput): BurnReport {
  const {contributions, configuration, at} = input;
  const classes = configuration?.document.classes ?? [];
  const rows = new RowBuilder(classes, goodputWindowSeconds(contributions, at));
  const windows = BURN_WINDOWS_MS.map(windowMs =>
    contributions.flatMap(({account}) =>
      account.windows
        .filter(window => window.windowMs === windowMs)
        .flatMap(window => window.cells),
    ),
  );
  const merged = mergeFigures(contributions);
  const {waste, links, latencies} = merged.snapshot();
  return {
    askedInstance: input.askedInstance,
    at,
    configurationVersion: configuration?.version ?? 0,
    windowsMs: [...BURN_WINDOWS_MS],
    classes: rows.byClass(windows),
    tiers: rows.by(windows, cell => String(cell.tier)),
    workspaces: rows.by(windows, cell => cell.workspace),
    latencies: latencies.map(encoded => latencyRow(encoded)),
    waste,
    links,
    minutes: mergeMinutes(contributions),
    sources: contributions.map(sourceOf),
    silent: input.silent,
    gaps: input.gaps,
    log: input.log,
  };
}

/** Groups counts into rows, using the objective of each count's class. */
class RowBuilder {
  private readonly classes: Map<string, ServiceClass>;

  constructor(
    classes: readonly ServiceClass[],
    private readonly goodputSeconds: number,
  ) {
    this.classes = new Map(classes.map(item => [item.name, item]));
  }

  byClass(windows: WindowCells): BurnRow[] {
    const rows = this.by(windows, cell => cell.class);
    const namesWithRequests = new Set(rows.map(({name}) => name));
    const namesWithoutRequests = [...this.classes.keys()].filter(
      name => !namesWithRequests.has(name),
    );
    return [...rows, ...namesWithoutRequests.map(name => this.row(name, []))]
      .map(row => this.withServiceLevel(row))
      .sort((a, b) => (a.tier ?? 0) - (b.tier ?? 0));
  }

  by(windows: WindowCells, groupNameOf: (cell: Cell) => string): BurnRow[] {
    const groups = new Map<string, WindowCells>();
    windows.forEach((cells, index) => {
      for (const cell of cells) {
        const name = groupNameOf(cell);
        const group = groups.get(name) ?? BURN_WINDOWS_MS.map(() => []);
        groups.set(name, group);
        group[index]?.push(cell);
      }
    });
    return [...groups]
      .sort(([a], [b]) => a.localeCompare(b))
      .map(([name, group]) => this.row(name, group));
  }

  private row(name: string, windows: WindowCells): BurnRow {
    const longest = windows.at(-1) ?? [];
    const lastHour = sumAll(
      windows[BURN_WINDOWS_MS.indexOf(GOODPUT_WINDOW_MS)] ?? [],
    );
    const {total, attained, completed} = sumAll(longest);
    const burns = BURN_WINDOWS_MS.map((windowMs, index) =>
      this.windowBurn(windowMs, windows[index] ?? []),
    );
    const spentBudget = burns.at(-1)?.rate;
    return {
      name,
      total,
      attained,
      completed,
      ...(total === 0 ? {} : {attainment: attained / total}),
      ...(spentBudget === undefined ? {} : {budgetLeft: 1 - spentBudget}),
      burns,
      alerts: alertsOf(burns),
      goodRequestsPerSecond: lastHour.attained / this.goodputSeconds,
      goodTokensPerSecond: lastHour.attainedTokens / this.goodputSeconds,
    };
  }

  private withServiceLevel(row: BurnRow): BurnRow {
    const settings = this.classes.get(row.name);
    if (settings === undefined) return {...row, target: 'no longer configured'};
    return {
      ...row,
      tier: settings.tier,
      target: describeTargets(settings.targets),
      objective: settings.objective,
    };
  }

  private windowBurn(windowMs: number, cells: readonly Cell[]): WindowBurn {
    let allowed = 0;
    let missed = 0;
    for (const cell of cells) {
      const objective = this.classes.get(cell.class)?.objective;
      if (objective === undefined) continue;
      allowed += cell.total * (1 - objective);
      missed += cell.total - cell.attained;
    }
    const {total} = sumAll(cells);
    if (allowed === 0) return {windowMs, total};
    return {windowMs, total, rate: missed / allowed};
  }
}

function sumAll(cells: readonly Cell[]): Cell {
  const unusedLabels = {class: '', tier: 0, workspace: ''};
  const [cell] = sumCells(cells, () => unusedLabels);
  return (
    cell ?? {
      ...unusedLabels,
      total: 0,
      attained: 0,
      completed: 0,
      tokens: 0,
      attainedTokens: 0,
    }
  );
}

/** Seconds counted within the last hour, at least 1; divides goodput. */
function goodputWindowSeconds(
  contributions: Contribution[],
  at: number,
): number {
  const from = Math.min(at, ...contributions.map(item => item.account.from));
  const spanMs = Math.min(GOODPUT_WINDOW_MS, at - from);
  return Math.max(1, spanMs / 1_000);
}

function mergeFigures(contributions: readonly Contribution[]): Accumulator {
  const merged = new Accumulator();
  for (const {account} of contributions) merged.mergeSnapshot(account.figures);
  return merged;
}

function mergeMinutes(contributions: readonly Contribution[]): MinuteCounts[] {
  const minutes = new Map<number, Cell[]>();
  for (const {account} of contributions) {
    for (const {at, cells} of account.minutes) {
      minutes.set(at, [...(minutes.get(at) ?? []), ...cells]);
    }
  }
  return [...minutes]
    .map(([at, cells]) => ({at, cells: sumCells(cells, cell => cell)}))
    .sort((a, b) => a.at - b.at);
}

function latencyRow(encoded: EncodedLatency): LatencyRow {
  const latency = new ClassLatency();
  latency.mergeEncoded(encoded);
  return {
    class: encoded.class,
    firstToken: latency.percentiles(LatencyKind.FirstToken),
    betweenTokens: latency.percentiles(LatencyKind.BetweenTokens),
    completion: latency.percentiles(LatencyKind.Completion),
    encoded,
  };
}

function sourceOf(contribution: Contribution): ReportSource {
  const {instance, incarnation, source, account} = contribution;
  const from = Math.max(account.from, account.to - HISTORY_MS);
  return {instance, incarnation, source, from, to: account.to};
}
