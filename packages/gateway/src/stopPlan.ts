/** Time that an entry needs after the deadline of a request: to send the end of its answer and to
 * store a turn. */
const FINISH_MARGIN_MS = 250;

/**
 * Decides which requests a stopping entry still accepts. Answers callers that go on sending on open
 * connections while an entry stops: a request that could still be in progress when the process ends is
 * refused before any endpoint gets it, so that the caller can send it to another entry.
 */
export class StopPlan {
  private beganAtMs = Infinity;

  private endsAtMs = Infinity;

  /** Sets the clock times at which the stop begins and the process ends, in milliseconds. */
  begin(nowMs: number, endsAtMs: number): void {
    this.beganAtMs = nowMs;
    this.endsAtMs = endsAtMs;
  }

  /** Returns the milliseconds since the stop began; undefined if the process isn't stopping. */
  elapsedMs(nowMs: number): number | undefined {
    return this.isStopping ? nowMs - this.beganAtMs : undefined;
  }

  /** Whether the process is stopping. */
  get isStopping(): boolean {
    return this.endsAtMs !== Infinity;
  }

  /** Returns whether a request with this deadline, in clock milliseconds, ends before the process. */
  hasTimeFor(deadlineMs: number): boolean {
    return !this.isStopping || deadlineMs + FINISH_MARGIN_MS <= this.endsAtMs;
  }
}
