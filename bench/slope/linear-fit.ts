/** What a slope is measured against. */
export type Point = [x: number, y: number];

/** One quantity measured against another, and what that means at target. */
export interface Slope {
  name: string;
  unit: string;
  /** What x counts. */
  against: string;
  points: Point[];
  /**
   * Smallest x on the line. Below nine instances each has every duty that goes
   * by rank, so smaller fleets are no guide to larger ones.
   */
  fitFrom?: number;
  /** Growth of y for each x, by least squares. */
  slope: number;
  /** y at the target size, on the fitted line. */
  atTarget: number;
  /** x at the target size. */
  target: number;
  /** Most that y may be at the target; absent where there is no budget. */
  budget?: number;
}

/** What is known of a quantity before it is measured. */
export type SlopeSpec = Omit<Slope, 'points' | 'slope' | 'atTarget'>;

/** Fits a line through measured points and follows it to the target. */
export function fit(spec: SlopeSpec, points: Point[]): Slope {
  const {fitFrom = -Infinity} = spec;
  const above = points.filter(([x]) => x >= fitFrom);
  const line = above.length > 1 ? above : points;
  const count = line.length;
  const meanX = line.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = line.reduce((sum, [, y]) => sum + y, 0) / count;
  const spread = line.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const common = line.reduce(
    (sum, [x, y]) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const slope = spread === 0 ? 0 : common / spread;
  const atTarget = meanY + slope * (spec.target - meanX);
  return {
    ...spec,
    points: points.map(([x, y]) => [x, round(y)]),
    slope: round(slope),
    atTarget: round(atTarget),
  };
}

/** The middle value of a list. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

const DIGITS = 4;

function round(value: number): number {
  return Number(value.toPrecision(DIGITS));
}
