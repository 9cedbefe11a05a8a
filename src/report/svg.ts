import {html, type Content, type Markup} from '../markup/index.js';

const WIDTH = 860;
const HEIGHT = 300;
const MARGIN_LEFT = 64;
const MARGIN_RIGHT = 16;
const MARGIN_TOP = 12;
const MARGIN_BOTTOM = 34;
const TICK_INTERVALS = 5;
/** Factor that leaves space above the highest value. */
const HEADROOM = 1.1;
const LEGEND_ROW_HEIGHT = 20;
const LEGEND_COLUMNS = 4;
const BAR_ROW_HEIGHT = 30;
const BAR_MARGIN_LEFT = 170;
const BAR_MARGIN_RIGHT = 80;

const SERIES_COLOURS = [
  '#0b5cad',
  '#c2410c',
  '#1b7f4b',
  '#7c3aed',
  '#b3261e',
  '#0e7490',
  '#8a5a00',
  '#be185d',
];
const TEXT_COLOUR = '#1d2733';
const GRID_COLOUR = '#d5dbe3';

/** Named series of `[x, y]` points, drawn as one line. */
export interface Series {
  name: string;
  points: ReadonlyArray<readonly [number, number]>;
}

/** Axes of a line plot; only the y axis can be logarithmic. */
export interface Axes {
  xMin: number;
  xMax: number;
  xLabel: (x: number) => string;
  yLabel: (y: number) => string;
  /** Labelled horizontal lines. */
  referenceLines: ReadonlyArray<{y: number; label: string}>;
  logarithmic: boolean;
}

/** One bar of a chart of shares from 0 to 1. */
export interface ShareBar {
  name: string;
  share?: number;
  /** Target share, drawn as a vertical line. */
  mark?: number;
}

interface Scale {
  x: (value: number) => number;
  y: (value: number) => number;
  yTicks: number[];
}

/** Renders series as lines over shared axes, with a legend. */
export function linePlot(lines: readonly Series[], axes: Axes): Markup {
  if (lines.length === 0) return html`<p>No data.</p>`;
  const scale = scaleOf(lines, axes);
  const legendRows = Math.ceil(lines.length / LEGEND_COLUMNS);
  const height = HEIGHT + legendRows * LEGEND_ROW_HEIGHT;
  const names = lines.map(({name}) => name).join(', ');
  return html`<svg
    viewBox="0 0 ${WIDTH} ${height}"
    role="img"
    aria-label="Plot of ${names}"
    font-family="system-ui, sans-serif"
    font-size="12"
    fill="${TEXT_COLOUR}"
  >
    ${axisGrid(scale, axes)}
    ${lines.map((line, index) => seriesPath(line, index, scale))}
    ${lines.map(({name}, index) => legendEntry(name, index))}
  </svg>`;
}

function scaleOf(lines: readonly Series[], axes: Axes): Scale {
  const values = lines.flatMap(({points}) => points.map(([, y]) => y));
  const referenceValues = axes.referenceLines.map(({y}) => y);
  const ticks = axes.logarithmic
    ? decades(Math.min(...values), Math.max(...values))
    : evenTicks(Math.max(...values, ...referenceValues) * HEADROOM);
  const low = axisValue(ticks[0] ?? 0, axes);
  const high = axisValue(ticks.at(-1) ?? 1, axes);
  const plotHeight = HEIGHT - MARGIN_TOP - MARGIN_BOTTOM;
  const plotWidth = WIDTH - MARGIN_LEFT - MARGIN_RIGHT;
  return {
    x: value =>
      MARGIN_LEFT + ((value - axes.xMin) / (axes.xMax - axes.xMin)) * plotWidth,
    y: value => {
      const share = (axisValue(value, axes) - low) / (high - low);
      return MARGIN_TOP + (1 - share) * plotHeight;
    },
    yTicks: ticks,
  };
}

function axisValue(value: number, {logarithmic}: Axes): number {
  return logarithmic ? Math.log10(value) : value;
}

function decades(low: number, high: number): number[] {
  const from = Math.floor(Math.log10(low));
  const to = Math.max(from + 1, Math.ceil(Math.log10(high)));
  return Array.from({length: to - from + 1}, (_, index) =>
    Number((10 ** (from + index)).toPrecision(1)),
  );
}

/** Ticks from 0 to at least `high`, in steps of 1, 2 or 5 times 10^n. */
function evenTicks(high: number): number[] {
  const minStep = high / TICK_INTERVALS;
  const decade = 10 ** Math.floor(Math.log10(minStep));
  const factor = [1, 2, 5, 10].find(f => f * decade >= minStep) ?? 10;
  const step = factor * decade;
  const count = Math.ceil(high / step);
  return Array.from({length: count + 1}, (_, index) =>
    Number((index * step).toPrecision(6)),
  );
}

function axisGrid(scale: Scale, axes: Axes): Content {
  const right = WIDTH - MARGIN_RIGHT;
  const horizontal = scale.yTicks.map(
    tick =>
      html`<line
          x1="${MARGIN_LEFT}"
          x2="${right}"
          y1="${formatCoordinate(scale.y(tick))}"
          y2="${formatCoordinate(scale.y(tick))}"
          stroke="${GRID_COLOUR}"
        />
        <text
          x="${MARGIN_LEFT - 8}"
          y="${formatCoordinate(scale.y(tick) + 4)}"
          text-anchor="end"
        >
          ${axes.yLabel(tick)}
        </text>`,
  );
  const xTicks = Array.from(
    {length: TICK_INTERVALS + 1},
    (_, index) =>
      axes.xMin + ((axes.xMax - axes.xMin) * index) / TICK_INTERVALS,
  );
  const vertical = xTicks.map((x, index) => {
    return html`<text
      x="${formatCoordinate(scale.x(x))}"
      y="${HEIGHT - MARGIN_BOTTOM + 20}"
      text-anchor="${index === TICK_INTERVALS ? 'end' : 'middle'}"
    >
      ${axes.xLabel(x)}
    </text>`;
  });
  const marks = axes.referenceLines.map(
    ({y, label}) =>
      html`<line
          x1="${MARGIN_LEFT}"
          x2="${right}"
          y1="${formatCoordinate(scale.y(y))}"
          y2="${formatCoordinate(scale.y(y))}"
          stroke="${TEXT_COLOUR}"
          stroke-dasharray="5 4"
        />
        <text
          x="${right}"
          y="${formatCoordinate(scale.y(y) - 5)}"
          text-anchor="end"
        >
          ${label}
        </text>`,
  );
  return [horizontal, vertical, marks];
}

function seriesPath({points}: Series, index: number, scale: Scale): Markup {
  const colour = colourOf(index);
  const coordinates = points.map(
    ([x, y]) =>
      `${formatCoordinate(scale.x(x))},${formatCoordinate(scale.y(y))}`,
  );
  const [firstPoint] = points;
  if (points.length === 1 && firstPoint !== undefined) {
    const [x, y] = firstPoint;
    return html`<circle
      cx="${formatCoordinate(scale.x(x))}"
      cy="${formatCoordinate(scale.y(y))}"
      r="4"
      fill="${colour}"
    />`;
  }
  return html`<polyline
    points="${coordinates.join(' ')}"
    fill="none"
    stroke="${colour}"
    stroke-width="2"
  />`;
}

function legendEntry(name: string, index: number): Markup {
  const width = (WIDTH - MARGIN_LEFT) / LEGEND_COLUMNS;
  const x = MARGIN_LEFT + (index % LEGEND_COLUMNS) * width;
  const row = Math.floor(index / LEGEND_COLUMNS);
  const y = HEIGHT + row * LEGEND_ROW_HEIGHT + 8;
  return html`<rect
      x="${formatCoordinate(x)}"
      y="${y - 8}"
      width="10"
      height="10"
      fill="${colourOf(index)}"
    />
    <text x="${formatCoordinate(x + 16)}" y="${y + 1}">${name}</text>`;
}

/** Renders shares from 0 to 1 as bars; red if below the target `mark`. */
export function shareBars(bars: readonly ShareBar[]): Markup {
  if (bars.length === 0) return html`<p>No data.</p>`;
  const height = bars.length * BAR_ROW_HEIGHT + 8;
  return html`<svg
    viewBox="0 0 ${WIDTH} ${height}"
    role="img"
    aria-label="Bars of ${bars.map(({name}) => name).join(', ')}"
    font-family="system-ui, sans-serif"
    font-size="12"
    fill="${TEXT_COLOUR}"
  >
    ${bars.map(shareBar)}
  </svg>`;
}

function shareBar({name, share, mark}: ShareBar, index: number): Markup {
  const width = WIDTH - BAR_MARGIN_LEFT - BAR_MARGIN_RIGHT;
  const y = index * BAR_ROW_HEIGHT + 6;
  const isMissed = share !== undefined && mark !== undefined && share < mark;
  const colour = isMissed ? '#b3261e' : '#1b7f4b';
  const label =
    share === undefined ? 'no requests' : `${(share * 100).toFixed(1)}%`;
  const objectiveX = BAR_MARGIN_LEFT + (mark ?? 0) * width;
  return html`<text x="${BAR_MARGIN_LEFT - 10}" y="${y + 14}" text-anchor="end">
      ${name}
    </text>
    <rect
      x="${BAR_MARGIN_LEFT}"
      y="${y}"
      width="${width}"
      height="20"
      fill="#e9edf2"
    />
    <rect
      x="${BAR_MARGIN_LEFT}"
      y="${y}"
      width="${formatCoordinate((share ?? 0) * width)}"
      height="20"
      fill="${colour}"
    />
    ${
      mark !== undefined &&
      html`<line
        x1="${formatCoordinate(objectiveX)}"
        x2="${formatCoordinate(objectiveX)}"
        y1="${y - 3}"
        y2="${y + 23}"
        stroke="${TEXT_COLOUR}"
        stroke-width="2"
      />`
    }
    <text x="${WIDTH - BAR_MARGIN_RIGHT + 8}" y="${y + 14}">${label}</text>`;
}

function colourOf(index: number): string {
  return SERIES_COLOURS[index % SERIES_COLOURS.length] ?? TEXT_COLOUR;
}

function formatCoordinate(value: number): string {
  return value.toFixed(1);
}
