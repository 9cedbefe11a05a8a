import {html, type Content, type Markup} from '../markup/index.js';

const WIDTH = 860;
const HEIGHT = 300;
const LEFT = 64;
const RIGHT = 16;
const TOP = 12;
const BOTTOM = 34;
const TICKS = 5;
/** Space above the highest value, as a factor. */
const HEADROOM = 1.1;
const LEGEND_ROW = 20;
const LEGEND_COLUMNS = 4;
const BAR_ROW = 30;
const BAR_LEFT = 170;
const BAR_RIGHT = 80;

const COLOURS = [
  '#0b5cad',
  '#c2410c',
  '#1b7f4b',
  '#7c3aed',
  '#b3261e',
  '#0e7490',
  '#8a5a00',
  '#be185d',
];
const INK = '#1d2733';
const FAINT = '#d5dbe3';

/** One named line of a plot. */
export interface Series {
  name: string;
  points: ReadonlyArray<readonly [number, number]>;
}

/** Axes of a line plot. */
export interface Axes {
  xMin: number;
  xMax: number;
  xLabel: (x: number) => string;
  yLabel: (y: number) => string;
  /** Horizontal lines to compare with. */
  referenceLines: ReadonlyArray<{y: number; label: string}>;
  logarithmic: boolean;
}

/** One bar of a chart of shares from 0 to 1. */
export interface ShareBar {
  name: string;
  share?: number;
  /** Where the bar should reach. */
  mark?: number;
}

interface Scale {
  x: (value: number) => number;
  y: (value: number) => number;
  yTicks: number[];
}

/** Draws lines over common axes, with a legend. */
export function linePlot(lines: readonly Series[], axes: Axes): Markup {
  if (lines.length === 0) return html`<p>No figures.</p>`;
  const scale = scaleOf(lines, axes);
  const rows = Math.ceil(lines.length / LEGEND_COLUMNS);
  const height = HEIGHT + rows * LEGEND_ROW;
  const names = lines.map(({name}) => name).join(', ');
  return html`<svg
    viewBox="0 0 ${WIDTH} ${height}"
    role="img"
    aria-label="Plot of ${names}"
    font-family="system-ui, sans-serif"
    font-size="12"
    fill="${INK}"
  >
    ${grid(scale, axes)} ${lines.map((line, index) => path(line, index, scale))}
    ${lines.map(({name}, index) => legend(name, index))}
  </svg>`;
}

function scaleOf(lines: readonly Series[], axes: Axes): Scale {
  const values = lines.flatMap(({points}) => points.map(([, y]) => y));
  const marks = axes.referenceLines.map(({y}) => y);
  const ticks = axes.logarithmic
    ? decades(Math.min(...values), Math.max(...values))
    : evenTicks(Math.max(...values, ...marks) * HEADROOM);
  const low = transform(ticks[0] ?? 0, axes);
  const high = transform(ticks.at(-1) ?? 1, axes);
  const plotHeight = HEIGHT - TOP - BOTTOM;
  const plotWidth = WIDTH - LEFT - RIGHT;
  return {
    x: value =>
      LEFT + ((value - axes.xMin) / (axes.xMax - axes.xMin)) * plotWidth,
    y: value => {
      const share = (transform(value, axes) - low) / (high - low);
      return TOP + (1 - share) * plotHeight;
    },
    yTicks: ticks,
  };
}

function transform(value: number, {logarithmic}: Axes): number {
  return logarithmic ? Math.log10(value) : value;
}

function decades(low: number, high: number): number[] {
  const from = Math.floor(Math.log10(low));
  const to = Math.max(from + 1, Math.ceil(Math.log10(high)));
  return Array.from({length: to - from + 1}, (_, index) =>
    Number((10 ** (from + index)).toPrecision(1)),
  );
}

/** Ticks from 0 to at least `high`, at steps of 1, 2 or 5 times a decade. */
function evenTicks(high: number): number[] {
  const raw = high / TICKS;
  const decade = 10 ** Math.floor(Math.log10(raw));
  const factor = [1, 2, 5, 10].find(f => f * decade >= raw) ?? 10;
  const step = factor * decade;
  const count = Math.ceil(high / step);
  return Array.from({length: count + 1}, (_, index) =>
    Number((index * step).toPrecision(6)),
  );
}

function grid(scale: Scale, axes: Axes): Content {
  const right = WIDTH - RIGHT;
  const horizontal = scale.yTicks.map(
    tick =>
      html`<line
          x1="${LEFT}"
          x2="${right}"
          y1="${fixed(scale.y(tick))}"
          y2="${fixed(scale.y(tick))}"
          stroke="${FAINT}"
        />
        <text x="${LEFT - 8}" y="${fixed(scale.y(tick) + 4)}" text-anchor="end">
          ${axes.yLabel(tick)}
        </text>`,
  );
  const xTicks = Array.from(
    {length: TICKS + 1},
    (_, index) => axes.xMin + ((axes.xMax - axes.xMin) * index) / TICKS,
  );
  const vertical = xTicks.map((x, index) => {
    return html`<text
      x="${fixed(scale.x(x))}"
      y="${HEIGHT - BOTTOM + 20}"
      text-anchor="${index === TICKS ? 'end' : 'middle'}"
    >
      ${axes.xLabel(x)}
    </text>`;
  });
  const marks = axes.referenceLines.map(
    ({y, label}) =>
      html`<line
          x1="${LEFT}"
          x2="${right}"
          y1="${fixed(scale.y(y))}"
          y2="${fixed(scale.y(y))}"
          stroke="${INK}"
          stroke-dasharray="5 4"
        />
        <text x="${right}" y="${fixed(scale.y(y) - 5)}" text-anchor="end">
          ${label}
        </text>`,
  );
  return [horizontal, vertical, marks];
}

function path({points}: Series, index: number, scale: Scale): Markup {
  const colour = colourOf(index);
  const coordinates = points.map(
    ([x, y]) => `${fixed(scale.x(x))},${fixed(scale.y(y))}`,
  );
  const [only] = points;
  if (points.length === 1 && only !== undefined) {
    const [x, y] = only;
    return html`<circle
      cx="${fixed(scale.x(x))}"
      cy="${fixed(scale.y(y))}"
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

function legend(name: string, index: number): Markup {
  const width = (WIDTH - LEFT) / LEGEND_COLUMNS;
  const x = LEFT + (index % LEGEND_COLUMNS) * width;
  const row = Math.floor(index / LEGEND_COLUMNS);
  const y = HEIGHT + row * LEGEND_ROW + 8;
  return html`<rect
      x="${fixed(x)}"
      y="${y - 8}"
      width="10"
      height="10"
      fill="${colourOf(index)}"
    />
    <text x="${fixed(x + 16)}" y="${y + 1}">${name}</text>`;
}

/** Draws shares from 0 to 1 as bars, each with a mark to reach. */
export function shareBars(bars: readonly ShareBar[]): Markup {
  if (bars.length === 0) return html`<p>No figures.</p>`;
  const height = bars.length * BAR_ROW + 8;
  return html`<svg
    viewBox="0 0 ${WIDTH} ${height}"
    role="img"
    aria-label="Bars of ${bars.map(({name}) => name).join(', ')}"
    font-family="system-ui, sans-serif"
    font-size="12"
    fill="${INK}"
  >
    ${bars.map(shareBar)}
  </svg>`;
}

function shareBar({name, share, mark}: ShareBar, index: number): Markup {
  const width = WIDTH - BAR_LEFT - BAR_RIGHT;
  const y = index * BAR_ROW + 6;
  const missed = share !== undefined && mark !== undefined && share < mark;
  const colour = missed ? '#b3261e' : '#1b7f4b';
  const label =
    share === undefined ? 'no requests' : `${(share * 100).toFixed(1)}%`;
  const markX = BAR_LEFT + (mark ?? 0) * width;
  return html`<text x="${BAR_LEFT - 10}" y="${y + 14}" text-anchor="end">
      ${name}
    </text>
    <rect
      x="${BAR_LEFT}"
      y="${y}"
      width="${width}"
      height="20"
      fill="#e9edf2"
    />
    <rect
      x="${BAR_LEFT}"
      y="${y}"
      width="${fixed((share ?? 0) * width)}"
      height="20"
      fill="${colour}"
    />
    ${
      mark !== undefined &&
      html`<line
        x1="${fixed(markX)}"
        x2="${fixed(markX)}"
        y1="${y - 3}"
        y2="${y + 23}"
        stroke="${INK}"
        stroke-width="2"
      />`
    }
    <text x="${WIDTH - BAR_RIGHT + 8}" y="${y + 14}">${label}</text>`;
}

function colourOf(index: number): string {
  return COLOURS[index % COLOURS.length] ?? INK;
}

function fixed(value: number): string {
  return value.toFixed(1);
}
