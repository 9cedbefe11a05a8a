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

/** Service levels of one class, tier or workspace. */
export interface BurnRow {
  /** Name of the class or workspace, or number of the tier. */
  name: string;
  tier?: number;
  /** The targets in words; only for a class. */
  target?: string;
  /** Share of requests that must attain; only for a class. */
  objective?: number;
  /** Requests in the longest window, and how many attained. */
  total: number;
  attained: number;
  completed: number;
  /** Share that attained; absent without requests. */
  attainment?: number;
  /** Share of the error budget of the longest window that is left. */
  budgetLeft?: number;
  burns: WindowBurn[];
  alerts: BurnAlert[];
  /** Requests and tokens a second that met every target, in the last hour. */
  goodRequestsPerSecond: number;
  goodTokensPerSecond: number;
}

/** Latencies of one class over the fleet, from merged histograms. */
export interface LatencyRow {
  class: string;
  firstToken: Percentiles;
  betweenTokens: Percentiles;
  completion: Percentiles;
  /** The merged histograms themselves. */
  encoded: EncodedLatency;
}

/** An instance whose figures are in a report. */
export interface ReportSource {
  instance: string;
  incarnation: number;
  source: Source;
  from: number;
  to: number;
}

/** A live instance that did not answer. */
export interface SilentInstance {
  instance: string;
  /** Type of the failure of the call. */
  failure: string;
}

/** Whether the summaries on the log could be read. */
export type LogState =
  {type: 'read'; summaries: number} | {type: 'unavailable'; failure: string};

/** The service levels of the whole fleet. */
export interface BurnReport {
  /** Instance that was asked, and when it answered, wall-clock ms. */
  askedInstance: string;
  at: number;
  configurationVersion: number;
  windowsMs: number[];
  classes: BurnRow[];
  tiers: BurnRow[];
  workspaces: BurnRow[];
  latencies: LatencyRow[];
  waste: WastedTokens[];
  links: LinkTraffic[];
  /** Counts by class and minute, for plots. */
  minutes: MinuteCounts[];
  sources: ReportSource[];
  silent: SilentInstance[];
  gaps: Gap[];
  log: LogState;
}

/** What a report is computed from. */
export interface BurnInput {
  askedInstance: string;
  at: number;
  configuration: AcceptedConfiguration | undefined;
  contributions: Contribution[];
  silent: SilentInstance[];
  gaps: Gap[];
  log: LogState;
}

/** Cells of each window, in the order of [[WINDOWS_MS]]. */
type WindowCells = Cell[][];

/** Computes the report on service-level burn. */
export function burnReport(input: BurnInput): BurnReport {
  const {contributions, configuration, at} = input;
  const classes = configuration?.document.classes ?? [];
  const rows = new RowBuilder(classes, spanSeconds(contributions, at));
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

/** Builds rows from cells, judging each cell by the objective of its class. */
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
    const known = new Set(rows.map(({name}) => name));
    const idle = [...this.classes.keys()].filter(name => !known.has(name));
    return [...rows, ...idle.map(name => this.row(name, []))]
      .map(row => this.withContract(row))
      .sort((a, b) => (a.tier ?? 0) - (b.tier ?? 0));
  }

  by(windows: WindowCells, nameOf: (cell: Cell) => string): BurnRow[] {
    const groups = new Map<string, WindowCells>();
    windows.forEach((cells, index) => {
      for (const cell of cells) {
        const name = nameOf(cell);
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
    const hour = sum(windows[BURN_WINDOWS_MS.indexOf(GOODPUT_WINDOW_MS)] ?? []);
    const {total, attained, completed} = sum(longest);
    const burns = BURN_WINDOWS_MS.map((windowMs, index) =>
      this.burn(windowMs, windows[index] ?? []),
    );
    const spent = burns.at(-1)?.rate;
    return {
      name,
      total,
      attained,
      completed,
      ...(total === 0 ? {} : {attainment: attained / total}),
      ...(spent === undefined ? {} : {budgetLeft: 1 - spent}),
      burns,
      alerts: alertsOf(burns),
      goodRequestsPerSecond: hour.attained / this.goodputSeconds,
      goodTokensPerSecond: hour.attainedTokens / this.goodputSeconds,
    };
  }

  private withContract(row: BurnRow): BurnRow {
    const found = this.classes.get(row.name);
    if (found === undefined) return {...row, target: 'no longer configured'};
    return {
      ...row,
      tier: found.tier,
      target: describeTargets(found.targets),
      objective: found.objective,
    };
  }

  private burn(windowMs: number, cells: readonly Cell[]): WindowBurn {
    let allowed = 0;
    let missed = 0;
    for (const cell of cells) {
      const objective = this.classes.get(cell.class)?.objective;
      if (objective === undefined) continue;
      allowed += cell.total * (1 - objective);
      missed += cell.total - cell.attained;
    }
    const {total} = sum(cells);
    if (allowed === 0) return {windowMs, total};
    return {windowMs, total, rate: missed / allowed};
  }
}

function sum(cells: readonly Cell[]): Cell {
  const names = {class: '', tier: 0, workspace: ''};
  const [cell] = sumCells(cells, () => names);
  return (
    cell ?? {
      ...names,
      total: 0,
      attained: 0,
      completed: 0,
      tokens: 0,
      attainedTokens: 0,
    }
  );
}

/** Seconds that the goodput of the last hour is spread over. */
function spanSeconds(contributions: Contribution[], at: number): number {
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
