import { CallError, type Clock, type Contract } from '@marjorampin/types';

/** Largest burst, in seconds of the contract's rate. */
const BURST_SECONDS = 2;

/** Token bucket of one customer; each call takes one token. */
interface Bucket {
  tokens: number;
  refilledAtMs: number;
}

/** Limits the rate of each customer's calls at this owner of a part of its partitions. */
export class CustomerLimits {
  private readonly clock: Clock;

  private readonly buckets = new Map<string, Bucket>();

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Counts a call; throws `rate-limited` above `rate` calls per second, this owner's part of the
   * contract's rate. */
  admit({ customer, limits }: Contract, rate: number): void {
    const now = this.clock.now();
    const capacity = Math.max(1, rate * BURST_SECONDS);
    const bucket = this.buckets.get(customer) ?? { tokens: capacity, refilledAtMs: now };
    const refilled = bucket.tokens + ((now - bucket.refilledAtMs) * rate) / 1_000;
    const tokens = Math.min(capacity, refilled);
    const isAdmitted = tokens >= 1;
    this.buckets.set(customer, { tokens: isAdmitted ? tokens - 1 : tokens, refilledAtMs: now });
    if (isAdmitted) return;
    const retryAfterMs = Math.ceil(((1 - tokens) * 1_000) / rate);
    const message = `the contract of "${customer}" allows ${limits.callsPerSecond} calls per second; retry after ${retryAfterMs} ms`;
    throw new CallError({ kind: 'rate-limited', message, retryAfterMs });
  }
}
