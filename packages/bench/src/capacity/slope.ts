/** A straight line fitted to measured points. */
export interface Slope {
  /** Growth of the value for each unit of size. */
  perUnit: number;
  intercept: number;
  /** Largest deviation of a value from the line, as a share of the largest value. */
  residual: number;
}

/** One measured point. */
export interface Point {
  size: number;
  value: number;
}

/** Fits a line to at least two points of different size by least squares. */
export function fitSlope(points: Point[]): Slope {
  const meanOf = (read: (point: Point) => number) =>
    points.reduce((sum, point) => sum + read(point), 0) / points.length;
  const meanSize = meanOf(({ size }) => size);
  const meanValue = meanOf(({ value }) => value);
  const covariance = meanOf(({ size, value }) => (size - meanSize) * (value - meanValue));
  const variance = meanOf(({ size }) => (size - meanSize) ** 2);
  const perUnit = covariance / variance;
  const intercept = meanValue - perUnit * meanSize;
  const distances = points.map(({ size, value }) => Math.abs(value - intercept - perUnit * size));
  const largest = Math.max(...points.map(({ value }) => Math.abs(value)));
  return { perUnit, intercept, residual: Math.max(...distances) / largest };
}
