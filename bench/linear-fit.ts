/** Least-squares lines through measured points. */

/** A line through points, and how well it fits. */
export interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
  /** Largest distance of a point from the line, as a share of the largest value. */
  readonly worstResidual: number;
}

/** Fits a line to points (x, y). At least two different x are needed. */
export function fitLine(points: readonly (readonly [number, number])[]): LinearFit {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE);
  const worstResidual = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x))) / largest;
  return { intercept, slope, worstResidual };
}

/** Writes a fit as text. */
export function formatFit(fit: LinearFit, unit: string, per: string): string {
  const { intercept, slope, worstResidual } = fit;
  return `${intercept.toFixed(2)} + ${slope.toPrecision(3)}·${per} ${unit} (worst residual ${(worstResidual * 100).toFixed(0)}%)`;
}
