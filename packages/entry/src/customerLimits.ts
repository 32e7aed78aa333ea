import { CallError, type Clock, type Contract } from '@marjorampin/types';

/** Longest burst, as seconds of the contract's rate. */
const BURST_SECONDS = 2;

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

/** Rate limits of customers, at one owner for its share of their partitions. */
export class CustomerLimits {
  private readonly clock: Clock;

  private readonly buckets = new Map<string, Bucket>();

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Counts a call; throws `rate-limited` above the contract's rate times the share held here. */
  admit({ customer, limits }: Contract, share: number): void {
    const rate = Math.max(limits.callsPerSecond * share, 1);
    const now = this.clock.now();
    const full = rate * BURST_SECONDS;
    const bucket = this.buckets.get(customer) ?? { tokens: full, filledAtMs: now };
    const filled = bucket.tokens + ((now - bucket.filledAtMs) * rate) / 1_000;
    const tokens = Math.min(full, filled);
    this.buckets.set(customer, { tokens: Math.max(0, tokens - 1), filledAtMs: now });
    if (tokens >= 1) return;
    const retryAfterMs = Math.ceil(((1 - tokens) * 1_000) / rate);
    const message = `the contract of "${customer}" allows ${limits.callsPerSecond} calls a second; retry after ${retryAfterMs} ms`;
    throw new CallError({ kind: 'rate-limited', message, retryAfterMs });
  }
}
