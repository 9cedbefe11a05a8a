import {html, Markup, type Content} from '../markup/index.js';
import {LatencyKind} from '../telemetry/index.js';
import type {BurnReport, BurnRow} from './burn.js';
import {burnPlots} from './burnplots.js';
import {
  coverageNotes,
  formatAlert,
  formatRate,
  formatShare,
  formatTime,
  formatWindow,
} from './burntext.js';

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; color: #1d2733; margin: 0 auto;
  max-width: 1100px; padding: 16px 24px 64px; }
h2 { margin: 32px 0 8px; font-size: 1.15rem; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; font-size: .88rem; width: 100%; }
th, td { border: 1px solid #d5dbe3; padding: 5px 9px; text-align: left; }
th { background: #e9edf2; }
td:first-child { white-space: nowrap; }
td.number { text-align: right; font-variant-numeric: tabular-nums;
  white-space: nowrap; }
.note { border-left: 4px solid #b3261e; padding: 6px 12px; background: #fbeeed; }
.alert { color: #b3261e; font-weight: 600; }
figure { margin: 16px 0 28px; } figcaption { font-weight: 600; }
svg { width: 100%; height: auto; }
`;

/** A figure or a text in a table; figures are aligned to the right. */
type Cell = Content;

/** Writes a burn report as one page that needs no network. */
export function burnPage(report: BurnReport): string {
  const title = `Service-level burn, ${formatTime(report.at)}`;
  const page = html`<!doctype html>
    <html lang="en">
      <head>
        <meta charset="utf-8" />
        <meta name="viewport" content="width=device-width, initial-scale=1" />
        <title>${title}</title>
        <style>
          ${new Markup(STYLE)}
        </style>
      </head>
      <body>
        <h1>${title}</h1>
        <p>
          Configuration version ${report.configurationVersion}, asked at
          ${report.askedInstance}, ${report.sources.length} shares of instances.
          Totals are of the last ${formatWindow(report.windowsMs.at(-1) ?? 0)}.
        </p>
        ${coverageNotes(report).map(note => html`<p class="note">${note}</p>`)}
        ${burnPlots(report)} ${burnTables(report)}
      </body>
    </html>`;
  return `${page.text}\n`;
}

/** Tables of a burn report, for this page and the console. */
export function burnTables(report: BurnReport): Markup {
  return html`<h2>Classes</h2>
    ${burnTable(report, report.classes)}
    <h2>Tiers</h2>
    ${burnTable(report, report.tiers)}
    <h2>Workspaces</h2>
    ${burnTable(report, report.workspaces)}
    <h2>Latencies in ms</h2>
    ${latencyTable(report)}
    <h2>Wasted tokens</h2>
    ${htmlTable(
      ['Cause', 'Class', 'Tokens'],
      report.waste.map(item => [item.cause, item.class, item.tokens]),
    )}
    <h2>Bytes over paid links</h2>
    ${htmlTable(
      ['Link', 'Cause', 'Workspace', 'Bytes'],
      report.links.map(use => [use.link, use.cause, use.workspace, use.bytes]),
    )}
    <h2>Whose figures these are</h2>
    ${htmlTable(
      ['Instance', 'Incarnation', 'Source', 'From', 'To'],
      report.sources.map(source => [
        source.instance,
        String(source.incarnation),
        source.source,
        formatTime(source.from),
        formatTime(source.to),
      ]),
    )}`;
}

function burnTable(report: BurnReport, rows: readonly BurnRow[]): Markup {
  const windows = report.windowsMs.map(
    windowMs => `Burn ${formatWindow(windowMs)}`,
  );
  const heads = ['Name', 'Target', 'Objective', 'Requests', 'Attained'];
  return htmlTable(
    [...heads, 'Budget left', ...windows, 'Good req/s', 'Good tok/s', 'Alerts'],
    rows.map(row => [
      row.name,
      row.target ?? '',
      figure(formatShare(row.objective)),
      row.total,
      figure(formatShare(row.attainment)),
      figure(formatShare(row.budgetLeft)),
      ...row.burns.map(({rate}) => figure(formatRate(rate))),
      figure(row.goodRequestsPerSecond.toFixed(2)),
      figure(row.goodTokensPerSecond.toFixed(1)),
      alertCell(row),
    ]),
  );
}

function alertCell({alerts}: BurnRow): Cell {
  if (alerts.length === 0) return 'none';
  return html`<span class="alert">${alerts.map(formatAlert).join(', ')}</span>`;
}

function latencyTable(report: BurnReport): Markup {
  const moments = [
    {moment: LatencyKind.FirstToken, words: 'first token'},
    {moment: LatencyKind.BetweenTokens, words: 'between tokens'},
    {moment: LatencyKind.Completion, words: 'completion'},
  ];
  const rows = report.latencies.flatMap(row =>
    moments
      .filter(({moment}) => row[moment].count > 0)
      .map(({moment, words}): Cell[] => {
        const {count, p50, p90, p95, p99, max} = row[moment];
        return [row.class, words, count, p50, p90, p95, p99, max];
      }),
  );
  const heads = ['Class', 'Time', 'Requests'];
  return htmlTable([...heads, 'p50', 'p90', 'p95', 'p99', 'max'], rows);
}

/** Marks text as a figure, for a table to align it to the right. */
function figure(text: string): Cell {
  return [text];
}

/** Renders a table; numbers and lists are aligned to the right. */
export function htmlTable(heads: string[], rows: Cell[][]): Markup {
  if (rows.length === 0) return html`<p class="muted">None.</p>`;
  const cells = (row: Cell[]) =>
    row.map(cell =>
      typeof cell === 'number' || Array.isArray(cell)
        ? html`<td class="number">${cell}</td>`
        : html`<td>${cell}</td>`,
    );
  return html`<div class="scroll">
    <table>
      <thead>
        <tr>
          ${heads.map(head => html`<th scope="col">${head}</th>`)}
        </tr>
      </thead>
      <tbody>
        ${rows.map(
          row =>
            html`<tr>
              ${cells(row)}
            </tr>`,
        )}
      </tbody>
    </table>
  </div>`;
}
