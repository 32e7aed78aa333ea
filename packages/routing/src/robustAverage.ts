/** Values after which outliers are limited; earlier ones show too little of the usual spread. */
const MINIMUM_VALUES = 5;
/** Values with which an average is half as certain as with many. */
const HALF_CERTAIN_VALUES = 2;
/** Outliers count as at most this multiple of the expected value, and at least its inverse. */
const MAXIMUM_DEVIATION = 4;
/** Weight of a new value once there are many. */
const SMOOTHING = 0.1;
/** Weight of a new point of a line, which needs more points than an average. */
const LINE_SMOOTHING = 0.05;
/** Variance of `x` relative to its mean square below which a line has no slope. */
const MINIMUM_RELATIVE_VARIANCE = 0.01;

/** Exponentially smoothed average in which a single outlier has a limited effect. */
export class RobustAverage {
  private mean = 0;

  private count = 0;

  private readonly smoothing: number;

  constructor({ smoothing = SMOOTHING }: { smoothing?: number } = {}) {
    this.smoothing = smoothing;
  }

  /** Adds a value, which must not be negative. */
  add(value: number): void {
    const limited = this.count < MINIMUM_VALUES ? value : withoutOutlier(value, this.mean);
    this.count += 1;
    this.mean += (limited - this.mean) * Math.max(this.smoothing, 1 / this.count);
  }

  /** Whether enough values were added to rely on the average. */
  get isKnown(): boolean {
    return this.count >= MINIMUM_VALUES;
  }

  /** How far the average can be relied on, from 0 without values to nearly 1 with many. */
  get certainty(): number {
    return this.count / (this.count + HALF_CERTAIN_VALUES);
  }

  /** Returns the average, or `fallback` without any value. */
  valueOr(fallback: number): number {
    return this.count === 0 ? fallback : this.mean;
  }
}

/** Smoothed line through points whose `x` and `y` are not negative; neither is its slope. */
export class RobustLine {
  private count = 0;

  private meanX = 0;

  private meanY = 0;

  private meanXX = 0;

  private meanXY = 0;

  /** Adds a point. */
  add(x: number, y: number): void {
    const limited = this.isKnown ? withoutOutlier(y, this.at(x)) : y;
    this.count += 1;
    const weight = Math.max(LINE_SMOOTHING, 1 / this.count);
    this.meanX += (x - this.meanX) * weight;
    this.meanY += (limited - this.meanY) * weight;
    this.meanXX += (x * x - this.meanXX) * weight;
    this.meanXY += (x * limited - this.meanXY) * weight;
  }

  /** Whether enough points were added to rely on the line. */
  get isKnown(): boolean {
    return this.count >= MINIMUM_VALUES;
  }

  /** Increase of `y` for each unit of `x`; undefined if all points have about the same `x`. */
  get slope(): number | undefined {
    const variance = this.meanXX - this.meanX ** 2;
    // With hardly any spread, the slope would only reflect noise.
    if (variance <= this.meanXX * MINIMUM_RELATIVE_VARIANCE) return undefined;
    const slope = (this.meanXY - this.meanX * this.meanY) / variance;
    // A line through the origin is the steepest one without a negative offset.
    return Math.min(Math.max(0, slope), this.meanX > 0 ? this.meanY / this.meanX : Infinity);
  }

  /** Returns the expected `y` at `x`. */
  at(x: number): number {
    return Math.max(0, this.meanY + (this.slope ?? 0) * (x - this.meanX));
  }
}

function withoutOutlier(value: number, expected: number): number {
  const highest = expected * MAXIMUM_DEVIATION;
  const lowest = expected / MAXIMUM_DEVIATION;
  return expected > 0 ? Math.min(highest, Math.max(lowest, value)) : value;
}
