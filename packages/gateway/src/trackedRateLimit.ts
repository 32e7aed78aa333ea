import { ObservedRateLimit } from '@marjorampin/routing';

/** Requests that this process sent to an endpoint under one limit. */
export interface LimitUsage {
  sent: number;
  /** Requests among `sent` that repeat a call that was sent before. */
  repeats: number;
  /** Milliseconds for which the limit was in effect. */
  forMs: number;
}

/** Rate limit of one incarnation of an endpoint, and its use by this process. */
export class TrackedRateLimit {
  readonly incarnation: string;

  readonly observed = new ObservedRateLimit();

  private sent = 0;

  private repeats = 0;

  private sinceMs: number;

  private hasStatedInvalid = false;

  constructor({ incarnation, nowMs }: { incarnation: string; nowMs: number }) {
    this.incarnation = incarnation;
    this.sinceMs = nowMs;
  }

  /** Requests per second from all hosts together; undefined without a limit. */
  get perSecond(): number | undefined {
    return this.observed.current.perSecond;
  }

  /** Counts a request to the endpoint. */
  recordSend(isRepeat: boolean): void {
    this.sent += 1;
    if (isRepeat) this.repeats += 1;
  }

  /** Records a statement that can't be read; returns whether it is the first one. */
  recordInvalid(): boolean {
    const isFirst = !this.hasStatedInvalid;
    this.hasStatedInvalid = true;
    return isFirst;
  }

  /** Returns the requests since the last call, and starts to count anew. */
  takeUsage(nowMs: number): LimitUsage {
    const { sent, repeats, sinceMs } = this;
    this.sent = 0;
    this.repeats = 0;
    this.sinceMs = nowMs;
    return { sent, repeats, forMs: Math.round(nowMs - sinceMs) };
  }
}
