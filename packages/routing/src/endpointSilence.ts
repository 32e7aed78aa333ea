/** Shortest time without an answer after which an endpoint counts as silent. */
const SHORTEST_SILENCE_MS = 300;
/** Multiple of a call's expected duration after which its endpoint counts as silent. */
const EXPECTED_DURATIONS = 8;
/** Time for which an endpoint is avoided after a call to it has ended without an answer. */
const AVOIDANCE_MS = 1_000;

/** A call that an endpoint has not answered yet. */
interface UnansweredCall {
  silentAtMs: number;
}

/**
 * Calls that an endpoint accepts and does not answer. Answers endpoints that hang: they report no load, so that they
 * would look idle, and each call to them is lost with its whole time.
 */
export class EndpointSilence {
  /** By the object that stands for the call, in the order of sending. */
  private readonly unanswered = new Map<object, UnansweredCall>();

  private avoidedUntilMs = -Infinity;

  /** Records a call that is sent. */
  start(call: object, nowMs: number, expectedMs: number): void {
    const silenceMs = Math.max(SHORTEST_SILENCE_MS, expectedMs * EXPECTED_DURATIONS);
    this.unanswered.set(call, { silentAtMs: nowMs + silenceMs });
  }

  /** Records that the answer to a call has begun. */
  recordAnswer(call: object): void {
    this.unanswered.delete(call);
    this.avoidedUntilMs = -Infinity;
  }

  /** Records the end of a call, with or without an answer. */
  end(call: object, nowMs: number): void {
    const open = this.unanswered.get(call);
    if (!open) return;
    this.unanswered.delete(call);
    if (nowMs >= open.silentAtMs) this.avoidedUntilMs = nowMs + AVOIDANCE_MS;
  }

  /** Returns whether other endpoints are preferred. */
  isSilent(nowMs: number): boolean {
    if (nowMs < this.avoidedUntilMs) return true;
    const [oldest] = this.unanswered.values();
    return oldest !== undefined && nowMs >= oldest.silentAtMs;
  }
}
