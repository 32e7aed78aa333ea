import { RobustAverage } from './robustAverage';

/** Time after which a stated slowdown has lost most of its meaning: it changes many times a second. */
const SLOWDOWN_MEMORY_MS = 300;
/** Time after which an endpoint's speed has lost most of its meaning without new calls, so that an
 * endpoint that was slow is tried again. */
const SPEED_MEMORY_MS = 5_000;
/** Share of its expected duration that a call at least has left: a call that is overdue still runs. */
const MINIMUM_REMAINING_SHARE = 0.2;
const SPEED_SMOOTHING = 0.1;
/** Speeds nearer to 1 count as the usual one. */
const USUAL_TOLERANCE = 0.1;
/** Measured speeds nearer to that of other endpoints may be chance: calls differ in what they cost. */
const SPEED_TOLERANCE = 1.4;

/** A call of this process that an endpoint runs. */
export interface RunningCall {
  sentAtMs: number;
  expectedMs: number;
  /** Tokens that the call takes up in the endpoint's memory. */
  tokens: number;
}

/** Load that an endpoint reported with an answer. */
export interface WorkReport {
  /** Calls running or queued, those of this process included. */
  calls: number;
  slots: number;
  /** Duration of work as a multiple of the usual one; undefined if it is not stated. */
  slowdown: number | undefined;
}

/** Work of one incarnation of an endpoint as this process knows it. */
export class EndpointWork {
  /** Calls of this process in progress there. */
  ownCalls = 0;

  /** Tokens of those calls. */
  ownTokens = 0;

  private ownExpectedMs = 0;

  private ownSentAtMs = 0;

  private othersReported = 0;

  private reportedAtMs = -Infinity;

  private statedSlots: number | undefined;

  private slowdown = 1;

  private slowdownAtMs = -Infinity;

  private readonly usualSlowdown = new RobustAverage();

  private readonly ownSpeed = new RobustAverage({ smoothing: SPEED_SMOOTHING });

  private speedAtMs = -Infinity;

  /** Counts a call that is sent. */
  start({ sentAtMs, expectedMs, tokens }: RunningCall): void {
    this.ownCalls += 1;
    this.ownTokens += tokens;
    this.ownExpectedMs += expectedMs;
    this.ownSentAtMs += sentAtMs;
  }

  /** Counts the end of a call that was passed to `start`. */
  end({ sentAtMs, expectedMs, tokens }: RunningCall): void {
    this.ownCalls -= 1;
    this.ownTokens -= tokens;
    this.ownExpectedMs -= expectedMs;
    this.ownSentAtMs -= sentAtMs;
  }

  /** Records a report; returns the calls of other processes that it includes. */
  report({ calls, slots, slowdown }: WorkReport, nowMs: number): number {
    this.othersReported = Math.max(0, calls - this.ownCalls);
    this.reportedAtMs = nowMs;
    if (slots > 0) this.statedSlots = slots;
    if (slowdown !== undefined && slowdown > 0) {
      this.slowdown = slowdown;
      this.slowdownAtMs = nowMs;
      this.usualSlowdown.add(slowdown);
    }
    return this.othersReported;
  }

  /** Records how long a call took as a multiple of the usual duration. */
  recordDuration(ratio: number, nowMs: number): void {
    // A stated slowdown explains the duration, but may have changed while the call ran.
    if (Math.abs(this.slowdown - 1) > USUAL_TOLERANCE) return;
    this.ownSpeed.add(ratio);
    this.speedAtMs = nowMs;
  }

  /** Number of calls that the endpoint states to run at once; undefined before its first report. */
  get slots(): number | undefined {
    return this.statedSlots;
  }

  /** Returns the expected duration of work as a multiple of that at an average endpoint. */
  speedAt(nowMs: number): number {
    const known = Math.exp((this.speedAtMs - nowMs) / SPEED_MEMORY_MS);
    const speed = (1 + (clearDifference(this.ownSpeed) - 1) * known) * this.slowdownAt(nowMs);
    // The rest of an old difference would decide between endpoints that are otherwise equal.
    return Math.abs(speed - 1) < USUAL_TOLERANCE ? 1 : speed;
  }

  /** Calls in progress: those of this process, and those of others in the latest report. */
  get knownCalls(): number {
    return this.ownCalls + this.othersReported;
  }

  /** Returns how much of the latest report still holds, from 1 to 0, if calls last `callMs`. */
  reportValidity(nowMs: number, callMs: number): number {
    return Math.exp((this.reportedAtMs - nowMs) / Math.max(1, callMs));
  }

  /** Returns the expected number of calls of other processes: those of the latest report that have not
   * ended, and `usualOthers` in place of the others. */
  otherCalls(validity: number, usualOthers: number): number {
    return usualOthers + (this.othersReported - usualOthers) * validity;
  }

  /** Returns the expected time until this process's calls have ended, one after the other. */
  ownRemainingMs(nowMs: number): number {
    const elapsedMs = this.ownCalls * nowMs - this.ownSentAtMs;
    const leastMs = this.ownExpectedMs * MINIMUM_REMAINING_SHARE;
    return Math.max(leastMs, this.ownExpectedMs - elapsedMs);
  }

  private slowdownAt(nowMs: number): number {
    const known = Math.exp((this.slowdownAtMs - nowMs) / SLOWDOWN_MEMORY_MS);
    const usual = this.usualSlowdown.isKnown ? clearDifference(this.usualSlowdown) : 1;
    return usual + (this.slowdown - usual) * known;
  }
}

/** Returns a measured speed if it clearly differs from the usual one, otherwise 1. */
function clearDifference(measured: RobustAverage): number {
  const speed = 1 + (measured.valueOr(1) - 1) * measured.certainty;
  const isUsual = speed < SPEED_TOLERANCE && speed > 1 / SPEED_TOLERANCE;
  return isUsual ? 1 : speed;
}
