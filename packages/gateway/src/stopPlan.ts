/** Time that an entry needs after the deadline of a request: to send the end of its answer and to
 * store a turn. */
const FINISH_MARGIN_MS = 250;

/**
 * Decides which requests a stopping entry still accepts. Answers callers that go on sending on open
 * connections while an entry stops: a request that could still be in progress when the process ends is
 * refused before any endpoint gets it, so that the caller can send it to another entry.
 */
export class StopPlan {
  private endsAtMs = Infinity;

  /** Sets the clock time at which the process ends, in milliseconds. */
  begin(endsAtMs: number): void {
    this.endsAtMs = endsAtMs;
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
