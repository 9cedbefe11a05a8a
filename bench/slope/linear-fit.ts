/** A measured point. */
export type Point = [x: number, y: number];

/** A line fitted to measured points, extrapolated to the target size. */
export interface LinearFit {
  name: string;
  unit: string;
  /** Name of the quantity on the x axis. */
  against: string;
  points: Point[];
  /**
   * Points with a smaller x are not fitted. With fewer than nine instances each
   * one takes on every task that is assigned by rank, so small fleets say
   * nothing about larger ones.
   */
  fitFrom?: number;
  /** Increase of y per unit of x, by least squares. */
  slope: number;
  /** Value of the fitted line at `target`. */
  atTarget: number;
  /** Value of x at the size that the project is designed for. */
  target: number;
  /** Upper limit of y at the target; absent if there is none. */
  budget?: number;
}

/** Labels, target and budget of a line to be fitted. */
export type FitOptions = Omit<LinearFit, 'points' | 'slope' | 'atTarget'>;

/**
 * Fits a line to measured points by least squares and extrapolates it to the
 * target. Fits all points if fewer than two reach `fitFrom`.
 */
export function fitLine(options: FitOptions, points: Point[]): LinearFit {
  const {fitFrom = -Infinity} = options;
  const inRange = points.filter(([x]) => x >= fitFrom);
  const fitted = inRange.length > 1 ? inRange : points;
  const count = fitted.length;
  const meanX = fitted.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = fitted.reduce((sum, [, y]) => sum + y, 0) / count;
  const squaresOfX = fitted.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const productsOfXY = fitted.reduce(
    (sum, [x, y]) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const slope = squaresOfX === 0 ? 0 : productsOfXY / squaresOfX;
  const atTarget = meanY + slope * (options.target - meanX);
  return {
    ...options,
    points: points.map(([x, y]) => [x, roundToSignificant(y)]),
    slope: roundToSignificant(slope),
    atTarget: roundToSignificant(atTarget),
  };
}

/** Returns the median, the upper one of an even count; NaN if empty. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

const SIGNIFICANT_DIGITS = 4;

function roundToSignificant(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}
