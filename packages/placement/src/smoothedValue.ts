/** Weight of a new measurement. */
const SAMPLE_WEIGHT = 0.5;

/** Exponentially smoothed measurement. */
export class SmoothedValue {
  private smoothed: number | undefined;

  /** Adds a measurement; they have to come at equal intervals. */
  add(measured: number): void {
    const previous = this.smoothed ?? measured;
    this.smoothed = previous + (measured - previous) * SAMPLE_WEIGHT;
  }

  /** The smoothed value; 0 before the first measurement. */
  get value(): number {
    return this.smoothed ?? 0;
  }
}
