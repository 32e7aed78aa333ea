/** Utilization of the event loop above which an entry can't serve more calls. */
const SATURATED_ABOVE = 0.95;
/** Time for which the utilization is above this limit, or not, before an entry counts as saturated, or
 * not any more. */
const CONFIRMATION_MS = 1_000;

/** A time during which an entry was saturated. */
export interface SaturatedPeriod {
  /** From the first to the last measurement above the limit. */
  durationMs: number;
  /** Number of calls that were read meanwhile. */
  calls: number;
  /** Number of calls whose caller left meanwhile, before an answer. */
  abandoned: number;
}

/** Options of `Saturation`. */
export interface SaturationOptions {
  onStart(): void;
  onEnd(period: SaturatedPeriod): void;
}

/** Decides from its utilization whether an entry is saturated, and counts the calls meanwhile. */
export class Saturation {
  private readonly options: SaturationOptions;

  private firstAboveMs: number | undefined;

  private lastAboveMs = 0;

  private isConfirmed = false;

  private calls = 0;

  private abandoned = 0;

  constructor(options: SaturationOptions) {
    this.options = options;
  }

  /** Whether the entry is saturated. */
  get isSaturated(): boolean {
    return this.isConfirmed;
  }

  /** Adds a measurement of the utilization, from 0 to 1. */
  update(utilization: number, nowMs: number): void {
    if (utilization > SATURATED_ABOVE) {
      if (this.firstAboveMs === undefined) this.beginPeriod(nowMs);
      this.lastAboveMs = nowMs;
    } else if (!this.isConfirmed) this.firstAboveMs = undefined;
    const { firstAboveMs, lastAboveMs } = this;
    if (firstAboveMs === undefined) return;
    if (!this.isConfirmed && nowMs - firstAboveMs >= CONFIRMATION_MS) {
      this.isConfirmed = true;
      this.options.onStart();
    } else if (this.isConfirmed && nowMs - lastAboveMs >= CONFIRMATION_MS) {
      this.isConfirmed = false;
      this.firstAboveMs = undefined;
      const { calls, abandoned } = this;
      this.options.onEnd({ durationMs: lastAboveMs - firstAboveMs, calls, abandoned });
    }
  }

  /** Counts a call that was read. */
  countCall(): void {
    this.calls += 1;
  }

  /** Counts a call whose caller left before an answer. */
  countAbandoned(): void {
    this.abandoned += 1;
  }

  private beginPeriod(nowMs: number): void {
    this.firstAboveMs = nowMs;
    this.calls = 0;
    this.abandoned = 0;
  }
}
