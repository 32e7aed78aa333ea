import { CallError, type Clock, type Contract } from '@marjorampin/types';

/** Largest burst, in seconds of the contract's rate. */
const BURST_SECONDS = 2;

/** Token bucket of one customer; each call takes one token. */
interface Bucket {
  tokens: number;
  refilledAtMs: number;
}

/** Limits each customer's call rate in proportion to the share of its partitions owned here. */
export class CustomerLimits {
  private readonly clock: Clock;

  private readonly buckets = new Map<string, Bucket>();

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /**
   * Counts a call; throws `rate-limited` above the contract's rate times the share of the
   * customer's partitions owned here, or above one call per second if that is more.
   */
  admit({ customer, limits }: Contract, share: number): void {
    const rate = Math.max(limits.callsPerSecond * share, 1);
    const now = this.clock.now();
    const capacity = rate * BURST_SECONDS;
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
