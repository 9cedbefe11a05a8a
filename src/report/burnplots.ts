import {html, type Markup} from '../markup/index.js';
import {ClassLatency, LatencyKind, type Cell} from '../telemetry/index.js';
import type {BurnReport, BurnRow} from './burn.js';
import {linePlot, shareBars, type Series} from './svg.js';
import {formatTime} from './burntext.js';

const MINUTE_MS = 60_000;
/** Length of the sliding window of the plot of burn over time. */
const BURN_WINDOW_MINUTES = 5;
const SHORTEST_PLOT_MS = 10 * MINUTE_MS;
const CURVE_POINTS = 101;
const PERCENT = 100;

/** Plots of a burn report: burn over time, attainment, and latencies. */
export function burnPlots(report: BurnReport): Markup {
  return html`<figure>
      <figcaption>
        Burn rate by class, over ${BURN_WINDOW_MINUTES} min, UTC
      </figcaption>
      ${burnPlot(report)}
    </figure>
    <figure>
      <figcaption>Attainment by class; the mark is the objective</figcaption>
      ${shareBars(report.classes.map(attainmentBar))}
    </figure>
    <figure>
      <figcaption>Time to the first token in ms, by percentile</figcaption>
      ${latencyPlot(report, LatencyKind.FirstToken)}
    </figure>
    <figure>
      <figcaption>Time to completion in ms, by percentile</figcaption>
      ${latencyPlot(report, LatencyKind.Completion)}
    </figure>`;
}

function attainmentBar(row: BurnRow) {
  const {name, attainment, objective} = row;
  return {
    name,
    ...(attainment === undefined ? {} : {share: attainment}),
    ...(objective === undefined ? {} : {mark: objective}),
  };
}

function burnPlot(report: BurnReport): Markup {
  const newest = Math.ceil(report.at / MINUTE_MS) * MINUTE_MS;
  const oldest = report.minutes[0]?.at ?? newest;
  const first = Math.min(oldest, newest - SHORTEST_PLOT_MS);
  const lines = report.classes.flatMap(row => burnLine(report, row, first));
  return linePlot(lines, {
    xMin: first,
    xMax: newest,
    xLabel: at => formatTime(at).slice(11, 16),
    yLabel: rate => String(rate),
    referenceLines: [{y: 1, label: '1 uses the budget up'}],
    logarithmic: false,
  });
}

/** Burn rate over a sliding window, one point a minute. */
function burnLine(report: BurnReport, row: BurnRow, first: number): Series[] {
  const {objective} = row;
  if (objective === undefined || objective === 1) return [];
  const cells = new Map(
    report.minutes.map(({at, cells: all}) => [
      at,
      all.filter(cell => cell.class === row.name),
    ]),
  );
  const points: Array<[number, number]> = [];
  for (let at = first; at <= report.at; at += MINUTE_MS) {
    const rate = burnRate(windowCells(cells, at), objective);
    if (rate !== undefined) points.push([at + MINUTE_MS, rate]);
  }
  return points.length === 0 ? [] : [{name: row.name, points}];
}

function windowCells(
  cells: ReadonlyMap<number, Cell[]>,
  at: number,
): readonly Cell[] {
  return Array.from(
    {length: BURN_WINDOW_MINUTES},
    (_, back) => cells.get(at - back * MINUTE_MS) ?? [],
  ).flat();
}

function burnRate(
  cells: readonly Cell[],
  objective: number,
): number | undefined {
  const total = cells.reduce((sum, cell) => sum + cell.total, 0);
  const attained = cells.reduce((sum, cell) => sum + cell.attained, 0);
  if (total === 0) return undefined;
  return (total - attained) / (total * (1 - objective));
}

function latencyPlot(report: BurnReport, moment: LatencyKind): Markup {
  const lines = report.latencies.flatMap(({encoded, [moment]: figures}) => {
    if (figures.count === 0) return [];
    const latency = new ClassLatency();
    latency.mergeEncoded(encoded);
    const points = latency
      .percentileCurve(moment, CURVE_POINTS)
      .map((ms, index): [number, number] => [
        (index * PERCENT) / (CURVE_POINTS - 1),
        Math.max(ms, 0.1),
      ]);
    return [{name: encoded.class, points}];
  });
  return linePlot(lines, {
    xMin: 0,
    xMax: PERCENT,
    xLabel: percentile => `p${Math.round(percentile)}`,
    yLabel: ms => String(ms),
    referenceLines: [],
    logarithmic: true,
  });
}
