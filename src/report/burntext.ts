import {LatencyKind, type Percentiles} from '../telemetry/index.js';
import type {BurnAlert} from './alert.js';
import type {BurnReport, BurnRow, LatencyRow} from './burn.js';
import {GapReason, type Gap} from './contribution.js';
import {textTable, type Column} from './table.js';

const MINUTE_MS = 60_000;
const HOUR_MINUTES = 60;
/** Rows of workspaces that a terminal shows; `--json` has all. */
const WORKSPACE_ROWS = 20;

/** Writes a length of time as `5 min` or `6 h`. */
export function formatWindow(windowMs: number): string {
  const minutes = Math.round(windowMs / MINUTE_MS);
  if (minutes < HOUR_MINUTES) return `${minutes} min`;
  return `${minutes / HOUR_MINUTES} h`;
}

/** Writes a share as a percentage, or a dash where there is none. */
export function formatShare(share: number | undefined): string {
  return share === undefined ? '-' : `${(share * 100).toFixed(1)}%`;
}

/** Writes a burn rate, or a dash where there is none. */
export function formatRate(rate: number | undefined): string {
  return rate === undefined ? '-' : rate.toFixed(rate < 10 ? 2 : 0);
}

/** Writes a wall-clock time, UTC, to the second. */
export function formatTime(at: number): string {
  return `${new Date(at).toISOString().slice(0, 19)}Z`;
}

/** Writes an alert with the windows that raised it. */
export function formatAlert({
  severity,
  windowsMs,
  threshold,
}: BurnAlert): string {
  const [short, long] = windowsMs.map(formatWindow);
  return `${severity} (${short} and ${long} over ${threshold})`;
}

/** Writes why a stretch of time of an instance is not in a report. */
export function formatGap(gap: Gap): string {
  const from = gap.from === undefined ? 'its start' : formatTime(gap.from);
  const to = gap.to === undefined ? 'its end' : formatTime(gap.to);
  const who = `${gap.instance} (incarnation ${gap.incarnation})`;
  return `${who} from ${from} to ${to}: ${reasonPhrase(gap.reason)}`;
}

function reasonPhrase(reason: GapReason): string {
  switch (reason) {
    case GapReason.SummaryLost:
      return 'a summary is missing on the log';
    case GapReason.EndedAbruptly:
      return 'it did not answer and left no last summary';
    case GapReason.Silent:
      return 'it did not answer';
    case GapReason.NoSummary:
      return 'it left no summary';
  }
}

/** Sentences on what a report does not cover. */
export function coverageNotes(report: BurnReport): string[] {
  const notes = report.silent.map(
    ({instance, failure}) =>
      `Instance ${instance} did not answer (${failure}).`,
  );
  if (report.log.type === 'unavailable') {
    notes.push(
      `The log did not answer (${report.log.failure}), so the shares of ` +
        'instances that are gone are missing.',
    );
  }
  const gaps = report.gaps.map(gap => `Not counted: ${formatGap(gap)}.`);
  return [...notes, ...gaps];
}

/** Writes a burn report for a terminal. */
export function burnText(report: BurnReport): string {
  const worst = [...report.workspaces].sort(
    (a, b) => (a.budgetLeft ?? 1) - (b.budgetLeft ?? 1),
  );
  const sections = [
    heading(report),
    section('Classes', textTable(classColumns(report), report.classes)),
    section('Tiers', textTable(rowColumns(report, 'Tier'), report.tiers)),
    section(
      'Workspaces, those with the least budget first',
      textTable(
        rowColumns(report, 'Workspace'),
        worst.slice(0, WORKSPACE_ROWS),
      ),
    ),
    section('Latencies in ms', textTable(latencyColumns(), latencies(report))),
    section('Wasted tokens', wasteTable(report)),
    section('Bytes over paid links', linkTable(report)),
  ];
  return sections.join('\n');
}

function heading(report: BurnReport): string {
  const instances = new Set(report.sources.map(({instance}) => instance));
  const lines = [
    `Service levels at ${formatTime(report.at)}, configuration version ` +
      `${report.configurationVersion}, asked at ${report.askedInstance}.`,
    `${report.sources.length} shares of ${instances.size} instances. Budget, ` +
      'attainment and totals are of the last ' +
      `${formatWindow(report.windowsMs.at(-1) ?? 0)}.`,
    ...coverageNotes(report),
  ];
  return `${lines.join('\n')}\n`;
}

function section(title: string, body: string): string {
  return `${title}\n${body === '' ? 'none\n' : body}`;
}

function rowColumns(report: BurnReport, name: string): Array<Column<BurnRow>> {
  const burns = report.windowsMs.map((windowMs, index): Column<BurnRow> => ({
    title: `burn ${formatWindow(windowMs)}`,
    numeric: true,
    value: row => formatRate(row.burns[index]?.rate),
  }));
  return [
    {title: name, value: row => row.name},
    {title: 'requests', numeric: true, value: row => String(row.total)},
    {
      title: 'attained',
      numeric: true,
      value: row => formatShare(row.attainment),
    },
    {
      title: 'budget left',
      numeric: true,
      value: row => formatShare(row.budgetLeft),
    },
    ...burns,
    {
      title: 'good req/s',
      numeric: true,
      value: row => row.goodRequestsPerSecond.toFixed(2),
    },
    {
      title: 'good tok/s',
      numeric: true,
      value: row => row.goodTokensPerSecond.toFixed(1),
    },
    {
      title: 'alerts',
      value: row => row.alerts.map(formatAlert).join(', ') || 'none',
    },
  ];
}

function classColumns(report: BurnReport): Array<Column<BurnRow>> {
  const [name, ...rest] = rowColumns(report, 'Class');
  return [
    ...(name === undefined ? [] : [name]),
    {title: 'tier', numeric: true, value: row => String(row.tier ?? '-')},
    {
      title: 'objective',
      numeric: true,
      value: row => formatShare(row.objective),
    },
    ...rest,
    {title: 'target', value: row => row.target ?? ''},
  ];
}

interface LatencyLine {
  name: string;
  percentiles: Percentiles;
}

function latencies(report: BurnReport): LatencyLine[] {
  return report.latencies.flatMap(latencyLines);
}

function latencyLines(row: LatencyRow): LatencyLine[] {
  return [
    {moment: LatencyKind.FirstToken, words: 'first token'},
    {moment: LatencyKind.BetweenTokens, words: 'between tokens'},
    {moment: LatencyKind.Completion, words: 'completion'},
  ]
    .map(({moment, words}) => ({
      name: `${row.class}, ${words}`,
      percentiles: row[moment],
    }))
    .filter(({percentiles}) => percentiles.count > 0);
}

function latencyColumns(): Array<Column<LatencyLine>> {
  const figures = (['count', 'p50', 'p90', 'p95', 'p99', 'max'] as const).map(
    (title): Column<LatencyLine> => ({
      title,
      numeric: true,
      value: ({percentiles}) => String(percentiles[title]),
    }),
  );
  return [{title: 'Class, latency', value: ({name}) => name}, ...figures];
}

function wasteTable(report: BurnReport): string {
  if (report.waste.length === 0) return '';
  return textTable(
    [
      {title: 'Cause', value: item => item.cause},
      {title: 'class', value: item => item.class},
      {title: 'tokens', numeric: true, value: item => String(item.tokens)},
    ],
    report.waste,
  );
}

function linkTable(report: BurnReport): string {
  if (report.links.length === 0) return '';
  return textTable(
    [
      {title: 'Link', value: item => item.link},
      {title: 'cause', value: item => item.cause},
      {title: 'workspace', value: item => item.workspace},
      {title: 'bytes', numeric: true, value: item => String(item.bytes)},
    ],
    report.links,
  );
}
